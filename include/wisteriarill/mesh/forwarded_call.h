/// \file
/// Encodes calls that an ingress node forwards to the node on the backend
/// server's VM. They travel over HTTP with additional header fields.
#ifndef WISTERIARILL_MESH_FORWARDED_CALL_H_
#define WISTERIARILL_MESH_FORWARDED_CALL_H_

#include <optional>
#include <string>

#include "wisteriarill/mesh/call.h"
#include "wisteriarill/mesh/http_message.h"
#include "wisteriarill/mesh/http_server.h"

namespace wisteriarill {

/// Fields of a response that tell how an attempt ended at the serving node.
inline constexpr const char* kOutcomeField = "Wisteria-Outcome";
inline constexpr const char* kReasonField = "Wisteria-Reason";
inline constexpr const char* kRetryAfterField = "Wisteria-Retry-Millis";
inline constexpr const char* kReachedServerField = "Wisteria-Arrived";
/// Field of a relayed response: the microseconds that the call ran at the
/// server.
inline constexpr const char* kServiceTimeField = "Wisteria-Ran-Micros";
/// Path at which a node serves its registry replica to peers.
inline constexpr const char* kRegistryReplicaPath = "/wisteria/mirror";

/// Reason of an attempt whose body the receiving VM's link has no room for.
inline constexpr const char* kLinkFullReason = "link-full";

/// Returns the limits for requests of peers where `published` are those for
/// callers. The head of a forwarded call holds the caller's and the fields of
/// the call. The times are the nodes' own matter.
CallerLimits PeerLimits(const CallerLimits& published);

/// Returns whether a peer's request is a call that it forwards. Its target is
/// the caller's, which may be any path.
bool IsForwardedCall(const HttpRequest& request);

/// Returns whether the body of `call` is sent to a peer only with the peer's
/// permission.
bool AsksBeforeBody(const MeshCall& call);

/// Returns the decision that refuses a body and tells the ingress node when to
/// come back.
BodyDecision MakeBodyRefusal(milliseconds retry_after);

/// Returns how long a forwarded call may wait before it starts, as its ingress
/// node said in `fields`.
milliseconds MaxStartDelay(const HttpFields& fields);

/// Returns the request that forwards `call` to a peer. Its deadlines are sent
/// as the milliseconds that are left at `now`.
HttpRequest MakeForwardRequest(const MeshCall& call, Instant now);

/// Decodes a call that a peer forwarded, and moves the request into it. Returns
/// nullopt if a required field is missing or malformed.
std::optional<MeshCall> ParseForwardRequest(HttpRequest* request, Instant now);

/// Returns the fields that tell the ingress node how an attempt ended.
HttpFields MakeForwardResult(const AttemptResult& result);

/// Decodes how an attempt ended. Returns nullopt if the response is the backend
/// server's own.
std::optional<AttemptResult> ParseForwardResult(const HttpResponseHead& head);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_FORWARDED_CALL_H_
