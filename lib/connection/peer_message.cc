#include "wisteriarill/connection/peer_message.h"

#include <array>
#include <utility>

#include "wisteriarill/process/codec.h"

MSGPACK_ADD_ENUM(wisteriarill::Outcome)
MSGPACK_ADD_ENUM(wisteriarill::Refusal)
MSGPACK_ADD_ENUM(wisteriarill::CallClass)

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  /// Typed ids are encoded as their number.
  template <typename Tag, typename Rep>
  struct convert<wisteriarill::TypedId<Tag, Rep>> {
    const msgpack::object& operator()(
        const msgpack::object& o, wisteriarill::TypedId<Tag, Rep>& id) const {
      o.convert(id.value);
      return o;
    }
  };
  template <typename Tag, typename Rep>
  struct pack<wisteriarill::TypedId<Tag, Rep>> {
    template <typename Stream>
    packer<Stream>& operator()(
        packer<Stream>& p, const wisteriarill::TypedId<Tag, Rep>& id) const {
      return p.pack(id.value);
    }
  };

  /// Durations are encoded as whole microseconds.
  template <>
  struct convert<wisteriarill::microseconds> {
    const msgpack::object& operator()(const msgpack::object& o,
                                      wisteriarill::microseconds& d) const {
      d = wisteriarill::microseconds(o.as<std::int64_t>());
      return o;
    }
  };
  template <>
  struct pack<wisteriarill::microseconds> {
    template <typename Stream>
    packer<Stream>& operator()(packer<Stream>& p,
                               const wisteriarill::microseconds& d) const {
      return p.pack(static_cast<std::int64_t>(d.count()));
    }
  };

  }  // namespace adaptor
}
}  // namespace msgpack

// Defines the encoding of a record as an array of the listed fields. The order
// is part of the wire format.
#define WISTERIARILL_RECORD(Type, ...)                                   \
  namespace wisteriarill {                                               \
  template <typename Visitor>                                            \
  void VisitFields(Type& r, Visitor&& visit) {                           \
    visit(__VA_ARGS__);                                                  \
  }                                                                      \
  template <typename Visitor>                                            \
  void VisitFields(const Type& r, Visitor&& visit) {                     \
    visit(__VA_ARGS__);                                                  \
  }                                                                      \
  }                                                                      \
  namespace msgpack {                                                    \
  MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {                \
    namespace adaptor {                                                  \
    template <>                                                          \
    struct convert<wisteriarill::Type> {                                 \
      const msgpack::object& operator()(const msgpack::object& o,        \
                                        wisteriarill::Type& r) const {   \
        wisteriarill::VisitFields(r, [&o](auto&... fields) {             \
          msgpack::type::make_define_array(fields...).msgpack_unpack(o); \
        });                                                              \
        return o;                                                        \
      }                                                                  \
    };                                                                   \
    template <>                                                          \
    struct pack<wisteriarill::Type> {                                    \
      template <typename Stream>                                         \
      packer<Stream>& operator()(packer<Stream>& p,                      \
                                 const wisteriarill::Type& r) const {    \
        wisteriarill::VisitFields(r, [&p](const auto&... fields) {       \
          msgpack::type::make_define_array(fields...).msgpack_pack(p);   \
        });                                                              \
        return p;                                                        \
      }                                                                  \
    };                                                                   \
    }                                                                    \
  }                                                                      \
  }

WISTERIARILL_RECORD(Version, r.number, r.revision)
WISTERIARILL_RECORD(RequestId, r.ingress, r.sequence)
WISTERIARILL_RECORD(HeaderField, r.name, r.value)
WISTERIARILL_RECORD(LoadReport, r.in_flight, r.queued, r.limit, r.leaving)
WISTERIARILL_RECORD(TokenSettlement, r.grant, r.spent, r.returned)
WISTERIARILL_RECORD(ManifestChange, r.kind, r.name, r.digest)
WISTERIARILL_RECORD(Hello, r.node, r.instance, r.failure_domain, r.address,
                    r.version, r.leaving)
WISTERIARILL_RECORD(Heartbeat, r.nonce, r.reply)
WISTERIARILL_RECORD(CallStart, r.id, r.target, r.version, r.service,
                    r.workspace, r.call_class, r.depth, r.idempotent,
                    r.remaining, r.method, r.uri, r.headers, r.body_length,
                    r.body, r.body_whole)
WISTERIARILL_RECORD(CallPiece, r.id, r.offset, r.bytes, r.last)
WISTERIARILL_RECORD(CallCredit, r.id, r.granted)
WISTERIARILL_RECORD(CallCancel, r.id)
WISTERIARILL_RECORD(ResponseStart, r.id, r.outcome, r.refusal, r.status,
                    r.headers, r.body_length, r.load)
WISTERIARILL_RECORD(ResponsePiece, r.id, r.offset, r.bytes, r.last, r.truncated,
                    r.digest)
WISTERIARILL_RECORD(ResponseCredit, r.id, r.received)
WISTERIARILL_RECORD(ResultQuery, r.id, r.has_start, r.received)
WISTERIARILL_RECORD(ResultAck, r.id)
WISTERIARILL_RECORD(TokenLeaseRequest, r.request_number, r.workspace, r.slot,
                    r.owner, r.version, r.need, r.ahead, r.settlements)
WISTERIARILL_RECORD(TokenLeaseReply, r.request_number, r.workspace, r.slot,
                    r.grant, r.granted, r.lifetime, r.level, r.next)
WISTERIARILL_RECORD(ShardClaim, r.workspace, r.slot, r.held_in, r.version)
WISTERIARILL_RECORD(ShardRelease, r.workspace, r.slot, r.version, r.remaining)
WISTERIARILL_RECORD(OwnershipHistoryRequest, r.version, r.node)
WISTERIARILL_RECORD(ListingChange, r.server, r.age)
WISTERIARILL_RECORD(OwnershipHistory, r.version, r.history_span,
                    r.shard_count_age, r.listed_for, r.changes)
WISTERIARILL_RECORD(VmView, r.revision, r.leaving)
WISTERIARILL_RECORD(Gossip, r.version, r.candidate, r.confirmed_age,
                    r.published_age, r.rejected, r.rejected_reason,
                    r.vm_revision, r.leaving, r.wants_reply)
WISTERIARILL_RECORD(ManifestPull, r.base)
WISTERIARILL_RECORD(ManifestData, r.version, r.bytes)
WISTERIARILL_RECORD(ManifestDelta, r.base, r.version, r.digest, r.changes)
WISTERIARILL_RECORD(ChunkPull, r.digests)
WISTERIARILL_RECORD(ChunkData, r.chunks)
WISTERIARILL_RECORD(ProbeRequest, r.nonce, r.node)
WISTERIARILL_RECORD(ProbeEcho, r.nonce, r.version)

namespace wisteriarill {
namespace {

constexpr std::uint8_t kFrameFormat = 1;
constexpr std::size_t kPrefixSize = 4;
// A body begins with one byte each for the format and the type tag.
constexpr std::size_t kBodyHeaderSize = 2;

using BodyDecoder = Result<PeerMessage> (*)(std::string_view);

template <typename T>
Result<PeerMessage> DecodeAs(std::string_view bytes) {
  Result<T> record = DecodeRecord<T>(bytes);
  if (!record) return record.error();
  return PeerMessage(std::move(record).value());
}

template <std::size_t... kTags>
constexpr auto MakeDecoders(std::index_sequence<kTags...> /*tags*/) {
  return std::array<BodyDecoder, sizeof...(kTags)>{
      &DecodeAs<std::variant_alternative_t<kTags, PeerMessage>>...};
}

constexpr auto kDecoders =
    MakeDecoders(std::make_index_sequence<std::variant_size_v<PeerMessage>>());

void AppendPrefix(std::size_t size, std::string* frame) {
  for (std::size_t i = 0; i < kPrefixSize; ++i) {
    frame->push_back(static_cast<char>((size >> (8 * i)) & 0xff));
  }
}

std::size_t ReadPrefix(std::string_view bytes) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < kPrefixSize; ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    size |= static_cast<std::size_t>(byte) << (8 * i);
  }
  return size;
}

}  // namespace

std::string EncodeFrame(const PeerMessage& message) {
  const std::string record = std::visit(
      [](const auto& typed) { return EncodeRecord(typed); }, message);
  std::string frame;
  frame.reserve(kPrefixSize + kBodyHeaderSize + record.size());
  AppendPrefix(kBodyHeaderSize + record.size(), &frame);
  frame.push_back(static_cast<char>(kFrameFormat));
  frame.push_back(static_cast<char>(message.index()));
  return frame + record;
}

Result<PeerMessage> DecodeFrameBody(std::string_view body) {
  if (body.size() < kBodyHeaderSize) {
    return MakeError(ErrorKind::kMalformedMessage, "frame is too short",
                     "check that the peer is a wisterianode");
  }
  const auto format = static_cast<std::uint8_t>(body[0]);
  if (format != kFrameFormat) {
    return MakeError(ErrorKind::kUnsupportedFormat,
                     "peer uses frame format " + std::to_string(format),
                     "run nodes of compatible versions");
  }
  const auto tag = static_cast<std::uint8_t>(body[1]);
  if (tag >= kDecoders.size()) {
    return MakeError(ErrorKind::kMalformedMessage,
                     "message type " + std::to_string(tag) + " is unknown",
                     "run nodes of compatible versions");
  }
  return kDecoders.at(tag)(body.substr(kBodyHeaderSize));
}

void FrameReader::Append(std::string_view bytes) {
  if (consumed_ > 0) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
  buffer_ += bytes;
}

Result<bool> FrameReader::Next(std::string* body) {
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  if (rest.size() < kPrefixSize) return false;
  const std::size_t size = ReadPrefix(rest);
  if (size > kMaxFrameSize) {
    return MakeError(
        ErrorKind::kTooLarge,
        "frame of " + std::to_string(size) + " bytes exceeds the size limit",
        "check that the peer is a wisterianode");
  }
  if (rest.size() < kPrefixSize + size) return false;
  body->assign(rest.substr(kPrefixSize, size));
  consumed_ += kPrefixSize + size;
  return true;
}

}  // namespace wisteriarill
