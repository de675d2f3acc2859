/// \file
/// How a call travels from its ingress to the node beside the server: HTTP
/// with fields of this project's own.
#ifndef WISTERIARILL_MESH_FORWARDED_CALL_H_
#define WISTERIARILL_MESH_FORWARDED_CALL_H_

#include <optional>
#include <string>

#include "wisteriarill/mesh/call.h"
#include "wisteriarill/mesh/http_message.h"

namespace wisteriarill {

/// Field of an answer that says how an attempt ended at the serving node.
inline constexpr const char* kHopOutcome = "Wisteria-Outcome";
inline constexpr const char* kHopReason = "Wisteria-Reason";
inline constexpr const char* kHopRetryAfter = "Wisteria-Retry-Millis";
inline constexpr const char* kHopArrived = "Wisteria-Arrived";
/// Field of a server's answer: microseconds that the call ran there.
inline constexpr const char* kHopRan = "Wisteria-Ran-Micros";
/// Path from which a peer's copy of the registry is read.
inline constexpr const char* kMirrorPath = "/wisteria/mirror";

/// Returns the request that carries `call` to a peer.
HttpRequest MakeHopRequest(const MeshCall& call, Instant now);

/// Reads a call that a peer sent; nothing if it is none. Takes over the
/// request.
std::optional<MeshCall> ParseHopRequest(HttpRequest* request, Instant now);

/// Returns the fields that tell an ingress how an attempt ended.
HttpFields MakeHopResult(const AttemptResult& result);

/// Reads how an attempt ended; nothing if the answer is the server's own.
std::optional<AttemptResult> ParseHopResult(const HttpResponseHead& head);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_FORWARDED_CALL_H_
