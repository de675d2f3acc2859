/// \file
/// The messages between nodes and their encoding: MessagePack records in
/// length-prefixed frames.
#ifndef WISTERIARILL_CONNECTION_PEER_MESSAGE_H_
#define WISTERIARILL_CONNECTION_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wisteriarill/process/error.h"
#include "wisteriarill/process/ids.h"
#include "wisteriarill/process/time.h"
#include "wisteriarill/request/outcome.h"
#include "wisteriarill/version/deployment.h"
#include "wisteriarill/version/version.h"

namespace wisteriarill {

/// The largest frame that a node accepts, in bytes.
inline constexpr std::size_t kMaxFrameSize = 1'200'000;

/// The first message that each side sends on a link.
struct Hello {
  std::string node;  ///< Name of the sender's backend server.
  InstanceId instance;
  std::string failure_domain;
  std::string address;  ///< IP:port on which the sender accepts peers.
  Version version;
  bool leaving = false;
};

/// Checks that a link is alive. The receiver returns it with `reply` set.
struct Heartbeat {
  std::uint64_t nonce = 0;
  bool reply = false;
};

/// One HTTP header field.
struct HeaderField {
  std::string name;
  std::string value;
};

/// Starts a call. Sent by the ingress, the node that received the call from
/// the caller, to the node of the selected backend server.
struct CallStart {
  RequestId id;
  /// The process that may run the call. A node with another instance id refuses
  /// it.
  InstanceId target;
  Version version;  ///< The configuration version in force at the ingress.
  std::string service;
  std::string workspace;
  CallClass call_class = CallClass::kInteractive;
  std::uint8_t depth = 0;
  bool idempotent = false;
  microseconds remaining{};  ///< Time until the deadline.
  std::string method;
  std::string uri;
  std::vector<HeaderField> headers;
  /// -1 if unknown. The last CallPiece ends the body.
  std::int64_t body_length = 0;
  std::string body;  ///< The whole body if `body_whole`, else empty.
  bool body_whole = true;
};

/// The load of a node's concurrency limiter, sent with every response.
struct LoadReport {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;
  bool leaving = false;
};

/// A piece of a request body.
struct CallPiece {
  RequestId id;
  std::uint64_t offset = 0;
  std::string bytes;
  bool last = false;
};

/// Flow control of a request body: the ingress may send its first `granted`
/// bytes.
struct CallCredit {
  RequestId id;
  std::uint64_t granted = 0;
};

/// Cancels a call. The receiver closes the connection to the backend server.
struct CallCancel {
  RequestId id;
};

/// The status and headers of a response, or the reason why there is none.
struct ResponseStart {
  RequestId id;
  Outcome outcome = Outcome::kUnknown;
  Refusal refusal = Refusal::kNone;
  std::uint16_t status = 0;
  std::vector<HeaderField> headers;
  /// -1 if unknown. The last ResponsePiece ends the body.
  std::int64_t body_length = -1;
  LoadReport load;
};

/// A piece of a response's body.
struct ResponsePiece {
  RequestId id;
  std::uint64_t offset = 0;
  std::string bytes;
  bool last = false;
  /// Set on the last piece if the backend server's response was incomplete.
  bool truncated = false;
  std::uint64_t digest = 0;  ///< On the last piece: XXH64 of the whole body.
};

/// Flow control of a response's body: acknowledges the first `received` bytes
/// and allows the target to send one window beyond them.
struct ResponseCredit {
  RequestId id;
  std::uint64_t received = 0;
};

/// Sent on a new link after the link of a call was lost. Asks for the state of
/// the call and for the part of its response that has not arrived.
struct ResultQuery {
  RequestId id;
  bool has_start = false;      ///< Whether the ResponseStart has arrived.
  std::uint64_t received = 0;  ///< Bytes of the response's body that arrived.
};

/// The ingress has the whole response, so the target may discard it.
struct ResultAck {
  RequestId id;
};

/// The tokens of one grant that were spent and those that are returned unused.
struct TokenSettlement {
  std::uint64_t grant = 0;
  std::uint32_t spent = 0;
  std::uint32_t returned = 0;
};

/// Asks the owner of a shard of a workspace's token bucket for a lease on whole
/// tokens.
struct TokenLeaseRequest {
  std::uint64_t request_number = 0;
  std::string workspace;
  std::uint16_t slot = 0;  ///< Rank of the owner in its failure domain.
  InstanceId owner;        ///< The instance that is asked, 0 if unknown.
  Version version;
  std::uint32_t need = 0;   ///< Tokens for calls that are already waiting.
  std::uint32_t ahead = 0;  ///< Tokens beyond `need`. The owner may grant less.
  std::vector<TokenSettlement> settlements;
};

/// An owner's reply to a TokenLeaseRequest.
struct TokenLeaseReply {
  std::uint64_t request_number = 0;
  std::string workspace;
  std::uint16_t slot = 0;     ///< Rank of the owner in its failure domain.
  std::uint64_t grant = 0;    ///< Identifies the grant in settlements.
  std::uint32_t granted = 0;  ///< Number of tokens.
  /// Lifetime of the lease, counted from when the request was sent.
  microseconds lifetime{};
  std::int64_t level = 0;  ///< Micro-tokens left at the owner.
  microseconds next{};     ///< Time until the owner has a whole token again.
};

/// Asks the former owner of a shard whether it has stopped granting tokens.
struct ShardClaim {
  std::string workspace;
  std::uint16_t slot = 0;  ///< Rank of the owner in its failure domain.
  Version held_in;         ///< The version in which the receiver is the owner.
  Version version;         ///< The next one, in which the sender is the owner.
};

/// The former owner's statement that it grants no more tokens of the shard.
struct ShardRelease {
  std::string workspace;
  std::uint16_t slot = 0;    ///< Rank of the owner in its failure domain.
  Version version;           ///< `version` of the claim.
  microseconds remaining{};  ///< Time until the last lease expires.
};

/// Asks a peer for recent changes of the ownership of shards.
struct OwnershipHistoryRequest {
  Version version;
  std::string node;
};

/// A server that was added to a failure domain or removed from it.
struct ListingChange {
  std::string server;
  microseconds age{};
};

/// Recent changes that affect the owners of shards in the failure domain of the
/// node that asked.
struct OwnershipHistory {
  Version version;
  microseconds history_span{};     ///< How far back the peer's history goes.
  microseconds shard_count_age{};  ///< Since the number of shards changed.
  microseconds listed_for{};       ///< Since the asking node was listed.
  std::vector<ListingChange> changes;
};

/// The VMs that, as far as the sender knows, are leaving or have left.
struct VmView {
  std::uint64_t revision = 0;
  std::vector<std::string> leaving;
};

/// The anti-entropy message of configuration dissemination: which version the
/// sender has in force and when the platform last confirmed it.
struct Gossip {
  Version version;               ///< The version in force at the sender.
  Version candidate;             ///< The version it fetches, {0, 0} if none.
  microseconds confirmed_age{};  ///< Time since a platform read confirmed it.
  microseconds published_age{};  ///< Lower bound of the time since publication.
  Version rejected;              ///< The last version that failed validation.
  std::string rejected_reason;
  std::uint64_t vm_revision = 0;  ///< Revision of the sender's VmView.
  bool leaving = false;
  bool wants_reply = false;
};

/// Asks for the newest manifest, as a delta to `base` if possible.
struct ManifestPull {
  Version base;  ///< The version in force at the sender.
};

/// A whole manifest.
struct ManifestData {
  Version version;
  std::string bytes;
};

/// One changed entry of a manifest.
struct ManifestChange {
  std::uint8_t kind = 0;
  std::string name;
  std::string digest;  ///< Empty if the entry was removed.
};

/// A manifest encoded as changes to one that the receiver has.
struct ManifestDelta {
  Version base;
  Version version;
  std::string digest;  ///< SHA-256 of the resulting manifest.
  std::vector<ManifestChange> changes;
};

/// Asks for chunks by digest.
struct ChunkPull {
  std::vector<std::string> digests;
};

/// The requested chunks. Chunks that the sender does not have are left out.
struct ChunkData {
  std::vector<std::string> chunks;
};

/// Asks the receiver to send a ProbeEcho to the sender's published address.
struct ProbeRequest {
  std::uint64_t nonce = 0;
  std::string node;
};

/// The reply to a ProbeRequest. Receiving it proves to the instance that peers
/// can reach its published address.
struct ProbeEcho {
  std::uint64_t nonce = 0;
  Version version;
};

/// Any message between nodes. The index of a type is its tag on the wire.
using PeerMessage =
    std::variant<Hello, Heartbeat, CallStart, CallPiece, CallCredit, CallCancel,
                 ResponseStart, ResponsePiece, ResponseCredit, ResultQuery,
                 ResultAck, TokenLeaseRequest, TokenLeaseReply, ShardClaim,
                 ShardRelease, OwnershipHistoryRequest, OwnershipHistory,
                 VmView, Gossip, ManifestPull, ManifestData, ManifestDelta,
                 ChunkPull, ChunkData, ProbeRequest, ProbeEcho>;

/// Encodes a message as one frame, including the length prefix.
std::string EncodeFrame(const PeerMessage& message);

/// Decodes the body of a frame, which excludes the length prefix.
Result<PeerMessage> DecodeFrameBody(std::string_view body);

/// Splits a byte stream into frame bodies.
class FrameReader {
 public:
  /// Appends received bytes.
  void Append(std::string_view bytes);
  /// Moves the next complete body to `body` and returns true. Returns false if
  /// more bytes are needed, and an error if the length prefix exceeds
  /// kMaxFrameSize.
  Result<bool> Next(std::string* body);

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_PEER_MESSAGE_H_
