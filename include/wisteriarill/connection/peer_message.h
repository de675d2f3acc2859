/// \file
/// The messages between nodes. Each is a typed record; the wire form is
/// MessagePack in frames with a length prefix.
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

/// First message of each side on a link.
struct Hello {
  std::string node;  ///< Name of the sender's backend server.
  InstanceId instance;
  std::string failure_domain;
  std::string address;  ///< Where the sender accepts peers.
  Version version;
  bool leaving = false;
};

/// Keeps a link known to be alive; the other side returns it as a reply.
struct Heartbeat {
  std::uint64_t nonce = 0;
  bool reply = false;
};

/// One HTTP header field.
struct HeaderField {
  std::string name;
  std::string value;
};

/// Hands a call to the node beside a backend server.
struct CallStart {
  RequestId id;
  InstanceId target;  ///< The instance that may run it; others refuse.
  Version version;    ///< What the ingress has in force.
  std::string service;
  std::string workspace;
  CallClass call_class = CallClass::kInteractive;
  std::uint8_t depth = 0;
  bool idempotent = false;
  microseconds remaining{};  ///< Time left until the deadline.
  std::string method;
  std::string uri;
  std::vector<HeaderField> headers;
  std::int64_t body_length = 0;  ///< -1: unknown, ended by a last piece.
  std::string body;              ///< The whole body if `body_whole`.
  bool body_whole = true;
};

/// The load of a gate, reported with every answer.
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

/// Lets the ingress send a request body up to `granted` bytes in all.
struct CallCredit {
  RequestId id;
  std::uint64_t granted = 0;
};

/// Gives up a call; the backend server is told.
struct CallCancel {
  RequestId id;
};

/// Status and headers of an answer, or a refusal.
struct AnswerStart {
  RequestId id;
  Outcome outcome = Outcome::kUnknown;
  Refusal refusal = Refusal::kNone;
  std::uint16_t status = 0;
  std::vector<HeaderField> headers;
  std::int64_t body_length = -1;  ///< -1: unknown, ended by a last piece.
  LoadReport load;
};

/// A piece of an answer's body. The last one carries the digest of all.
struct AnswerPiece {
  RequestId id;
  std::uint64_t offset = 0;
  std::string bytes;
  bool last = false;
  bool cut = false;  ///< The backend server ended early: not whole.
  std::uint64_t digest = 0;
};

/// Lets the target send an answer's body a window beyond `received` bytes.
struct AnswerCredit {
  RequestId id;
  std::uint64_t received = 0;
};

/// Asks over another link what became of a call, and for its answer from
/// where the first link left off.
struct ResultQuery {
  RequestId id;
  bool has_start = false;      ///< The AnswerStart has arrived.
  std::uint64_t received = 0;  ///< Bytes of the answer's body that have.
};

/// The ingress has the whole answer; the target may forget it.
struct ResultAck {
  RequestId id;
};

/// Tokens of one grant that were spent or come back.
struct TokenSettlement {
  std::uint64_t grant = 0;
  std::uint32_t spent = 0;
  std::uint32_t returned = 0;
};

/// Asks the home of a workspace's part for whole tokens.
struct TokenLeaseRequest {
  std::uint64_t request_number = 0;
  std::string workspace;
  std::uint16_t slot = 0;  ///< Of the part, in the home's failure domain.
  InstanceId owner;         ///< The instance asked, 0 if not known.
  Version version;
  std::uint32_t need = 0;   ///< For calls that wait.
  std::uint32_t ahead = 0;  ///< Wanted beyond need, at the home's discretion.
  std::vector<TokenSettlement> settlements;
};

/// A home's answer to a TokenLeaseRequest.
struct TokenLeaseReply {
  std::uint64_t request_number = 0;
  std::string workspace;
  std::uint16_t slot = 0;  ///< Of the part, in the home's failure domain.
  std::uint64_t grant = 0;
  std::uint32_t granted = 0;
  microseconds lifetime{};  ///< From when the ask was sent.
  std::int64_t level = 0;   ///< Micro-tokens left at the home.
  microseconds next{};      ///< Until the home has a whole token again.
};

/// Asks a part's former home whether it has let go of it.
struct ShardClaim {
  std::string workspace;
  std::uint16_t slot = 0;  ///< Of the part, in the home's failure domain.
  Version held_in;         ///< The version in which the receiver was home.
  Version version;         ///< The next one, in which the sender is.
};

/// The former home gives out no more tokens of the part.
struct ShardRelease {
  std::string workspace;
  std::uint16_t slot = 0;    ///< Of the part, in the home's failure domain.
  Version version;           ///< As in the claim.
  microseconds remaining{};  ///< Until tokens given out earlier have expired.
};

/// Asks a peer what it knows of recent moves of rate parts.
struct OwnershipHistoryRequest {
  Version version;
  std::string node;
};

/// A server that came to a failure domain or left it.
struct ListingChange {
  std::string server;
  microseconds age{};
};

/// What a peer knows of the homes in the asker's failure domain.
struct OwnershipHistory {
  Version version;
  microseconds history_span{};   ///< How far back the peer knows.
  microseconds shard_count_age{};     ///< Since the number of parts changed last.
  microseconds listed_for{};  ///< Since the asker was listed.
  std::vector<ListingChange> changes;
};

/// A sender's view of VMs that leave or are gone.
struct VmView {
  std::uint64_t revision = 0;
  std::vector<std::string> leaving;
};

/// Anti-entropy: what the sender has in force and how it knows.
struct Gossip {
  Version version;               ///< In force.
  Version candidate;             ///< Being fetched; {0, 0} if none.
  microseconds confirmed_age{};  ///< Since a platform read confirmed it.
  microseconds published_age{};  ///< Since it was published, at least.
  Version rejected;
  std::string rejected_reason;
  std::uint64_t vm_revision = 0;
  bool leaving = false;
  bool wants_reply = false;
};

/// Asks for the newest manifest, as a difference to `base` if possible.
struct ManifestPull {
  Version base;  ///< In force at the sender.
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
  std::string digest;  ///< Empty: the entry is gone.
};

/// A manifest as changes to one that the receiver has.
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

/// Chunks that were asked for; those not held are left out.
struct ChunkData {
  std::vector<std::string> chunks;
};

/// Asks the receiver to send ProbeEcho to the sender's published address.
struct ProbeRequest {
  std::uint64_t nonce = 0;
  std::string node;
};

/// Proof to the instance that receives it that peers reach it.
struct ProbeEcho {
  std::uint64_t nonce = 0;
  Version version;
};

/// Any message between nodes. The position of a type is its wire tag.
using PeerMessage =
    std::variant<Hello, Heartbeat, CallStart, CallPiece, CallCredit, CallCancel,
                 AnswerStart, AnswerPiece, AnswerCredit, ResultQuery, ResultAck,
                 TokenLeaseRequest, TokenLeaseReply, ShardClaim, ShardRelease, OwnershipHistoryRequest,
                 OwnershipHistory, VmView, Gossip, ManifestPull, ManifestData,
                 ManifestDelta, ChunkPull, ChunkData, ProbeRequest, ProbeEcho>;

/// Encodes a message as one frame, length prefix included.
std::string EncodeFrame(const PeerMessage& message);

/// Decodes a frame's body, length prefix excluded.
Result<PeerMessage> DecodeFrameBody(std::string_view body);

/// Cuts a byte stream into frame bodies.
class FrameReader {
 public:
  /// Appends received bytes.
  void Append(std::string_view bytes);
  /// Takes the next whole body. Nothing while incomplete; an error when the
  /// stream announces a frame above kMaxFrameSize.
  Result<bool> Next(std::string* body);

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_PEER_MESSAGE_H_
