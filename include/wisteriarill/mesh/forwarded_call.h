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

/// Removes the fields that only nodes may write. Every message of a caller or a
/// server passes through it where it enters the mesh, so that such a field that
/// arrives from a peer is the peer's word.
void EraseNodeFields(HttpFields* fields);

/// Who wrote a response that arrived over a connection to a peer.
enum class PeerResponseOrigin {
  kServer,   ///< The backend server; the peer relays it.
  kPeer,     ///< The peer, which tells how the attempt ended.
  kRefusal,  ///< The peer's HTTP server, before it took the request for a call.
  kUnknown,  ///< None of these. The call may have run.
};

/// Returns who wrote a response that arrived from a peer.
PeerResponseOrigin OriginOf(const HttpResponseHead& head);

/// Marks a response as the backend server's own that the node relays to a peer,
/// with how long the call ran at the server.
void MarkServerResponse(HttpFields* fields, microseconds service_time);

/// Returns how long the call ran at its server, and removes the mark. Returns
/// zero if the mark has no valid time.
microseconds TakeServerResponseMark(HttpFields* fields);

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

/// Decodes how an attempt ended from the response of a peer. Returns nullopt if
/// the peer doesn't tell it.
std::optional<AttemptResult> ParseForwardResult(const HttpResponseHead& head);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_FORWARDED_CALL_H_
