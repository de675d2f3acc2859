#include "wisteriarill/mesh/peer_datagram.h"

#include <utility>

#include "wisteriarill/process/codec.h"

namespace wisteriarill {
namespace {

// The records as they are encoded: plain fields only.
struct BeatRecord {
  std::uint64_t registry_revision = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  std::uint32_t service_micros = 0;
  std::uint32_t link_micros = 0;
  bool cold = false;
  bool leaving = false;
  bool watching = false;
  std::vector<std::string> lent;
  MSGPACK_DEFINE(registry_revision, running, waiting, slots, service_micros,
                 link_micros, cold, leaving, watching, lent);
};

struct AskRecord {
  std::string workspace;
  std::uint32_t wanted = 0;
  MSGPACK_DEFINE(workspace, wanted);
};

struct GrantRecord {
  std::string workspace;
  std::uint32_t tokens = 0;
  std::uint32_t retry_millis = 0;
  MSGPACK_DEFINE(workspace, tokens, retry_millis);
};

constexpr char kBeatTag = 'B';
constexpr char kAskTag = 'A';
constexpr char kGrantTag = 'G';

std::string Encode(const PeerHeartbeat& beat) {
  const BeatRecord record = {
      beat.registry_revision,
      beat.load.running,
      beat.load.waiting,
      beat.load.slots,
      static_cast<std::uint32_t>(beat.load.service_time.count()),
      static_cast<std::uint32_t>(beat.load.link_delay.count()),
      beat.load.cold,
      beat.leaving,
      beat.watching,
      beat.lent};
  return kBeatTag + EncodeRecord(record);
}

std::string Encode(const TokenAsk& ask) {
  return kAskTag + EncodeRecord(AskRecord{ask.workspace, ask.wanted});
}

std::string Encode(const TokenGrant& grant) {
  return kGrantTag + EncodeRecord(GrantRecord{grant.workspace, grant.tokens,
                                              static_cast<std::uint32_t>(
                                                  grant.retry_after.count())});
}

std::optional<PeerDatagram> DecodeBeat(std::string_view bytes) {
  Result<BeatRecord> record = DecodeRecord<BeatRecord>(bytes);
  if (!record) return std::nullopt;
  BeatRecord& r = record.value();
  PeerHeartbeat beat;
  beat.registry_revision = r.registry_revision;
  beat.load = {r.running, r.waiting,
               r.slots,   microseconds(r.service_micros),
               r.cold,    microseconds(r.link_micros)};
  beat.leaving = r.leaving;
  beat.watching = r.watching;
  beat.lent = std::move(r.lent);
  return beat;
}

}  // namespace

std::string EncodeDatagram(const PeerDatagram& datagram) {
  return std::visit([](const auto& message) { return Encode(message); },
                    datagram);
}

std::optional<PeerDatagram> DecodeDatagram(std::string_view bytes) {
  if (bytes.empty()) return std::nullopt;
  const char tag = bytes.front();
  bytes.remove_prefix(1);
  if (tag == kBeatTag) return DecodeBeat(bytes);
  if (tag == kAskTag) {
    Result<AskRecord> ask = DecodeRecord<AskRecord>(bytes);
    if (!ask) return std::nullopt;
    return TokenAsk{ask.value().workspace, ask.value().wanted};
  }
  if (tag != kGrantTag) return std::nullopt;
  Result<GrantRecord> grant = DecodeRecord<GrantRecord>(bytes);
  if (!grant) return std::nullopt;
  return TokenGrant{grant.value().workspace, grant.value().tokens,
                    milliseconds(grant.value().retry_millis)};
}

}  // namespace wisteriarill
