/// \file
/// Copies a response from a server's connection to the client that sent
/// the request.
#ifndef WISTERIARILL_MESH_RESPONSE_RELAY_H_
#define WISTERIARILL_MESH_RESPONSE_RELAY_H_

#include "wisteriarill/mesh/call.h"
#include "wisteriarill/mesh/http_client.h"
#include "wisteriarill/mesh/http_server.h"
#include "wisteriarill/mesh/link_pacer.h"

namespace wisteriarill {

/// How a response is passed on.
struct RelayOptions {
  /// Up to this many bytes are buffered before the response is started, so
  /// that a response that breaks early can be replaced by that of another
  /// server.
  std::size_t max_buffered_bytes = 0;
  /// Pacer of this VM's link if the client is on another VM; otherwise null.
  LinkPacer* link_pacer = nullptr;
};

/// Copies the response whose head was read from `connection` to `sink`. A
/// response of which `sink` has got a part may go on for a few seconds after
/// `deadline`, while its bytes still come.
Task<AttemptResult> RelayResponse(ClientConnection* connection,
                                  HttpResponseHead head, ServerExchange* sink,
                                  RelayOptions options, Instant deadline);

/// Reads and discards the body of a short response that is not passed on, so
/// that the connection can be reused. Closes the connection if the body is
/// long.
Task<void> DrainResponse(ClientConnection* connection);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_RESPONSE_RELAY_H_
