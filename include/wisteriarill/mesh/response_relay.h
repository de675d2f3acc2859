/// \file
/// Carries an answer from a connection to its reader.
#ifndef WISTERIARILL_MESH_RESPONSE_RELAY_H_
#define WISTERIARILL_MESH_RESPONSE_RELAY_H_

#include "wisteriarill/mesh/call.h"
#include "wisteriarill/mesh/http_client.h"
#include "wisteriarill/mesh/http_server.h"
#include "wisteriarill/mesh/link_pacer.h"

namespace wisteriarill {

/// How an answer goes on.
struct RelayOptions {
  /// The first bytes are held back until more come or the answer is whole, so
  /// that an answer that breaks early leaves the reader untouched.
  std::size_t held_bytes = 0;
  /// Of this VM, if the reader is on another one; else null.
  LinkPacer* link_pacer = nullptr;
};

/// Copies the answer whose head was read to `sink`.
Task<AttemptResult> RelayResponse(ClientConnection* connection,
                                HttpResponseHead head, ServerExchange* sink,
                                RelayOptions options, Instant deadline);

/// Reads the rest of a short answer that is not passed on, so that its
/// connection can be used again; closes the connection behind a long one.
Task<void> DrainResponse(ClientConnection* connection);

/// Returns the time from now to `deadline`, at least a millisecond.
nanoseconds RemainingTime(Instant deadline);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_RESPONSE_RELAY_H_
