#include "wisteriarill/mesh/peer_datagram.h"

#include <utility>

#include "wisteriarill/process/codec.h"

namespace wisteriarill {
namespace {

// The encoded form of the datagrams: MessagePack arrays, in the order of the
// fields.
struct HeartbeatRecord {
  std::uint64_t registry_revision = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  std::uint32_t service_micros = 0;
  std::uint32_t link_micros = 0;
  bool cold = false;
  bool leaving = false;
  bool watching = false;
  std::vector<std::string> leased_workspaces;
  MSGPACK_DEFINE(registry_revision, running, waiting, slots, service_micros,
                 link_micros, cold, leaving, watching, leased_workspaces);
};

struct GrantRequestRecord {
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

constexpr char kHeartbeatTag = 'B';
constexpr char kGrantRequestTag = 'A';
constexpr char kGrantTag = 'G';

std::string Encode(const PeerHeartbeat& heartbeat) {
  const HeartbeatRecord record = {
      heartbeat.registry_revision,
      heartbeat.load.running,
      heartbeat.load.waiting,
      heartbeat.load.slots,
      static_cast<std::uint32_t>(heartbeat.load.service_time.count()),
      static_cast<std::uint32_t>(heartbeat.load.link_delay.count()),
      heartbeat.load.cold,
      heartbeat.leaving,
      heartbeat.watching,
      heartbeat.leased_workspaces};
  return kHeartbeatTag + EncodeRecord(record);
}

std::string Encode(const TokenGrantRequest& request) {
  return kGrantRequestTag +
         EncodeRecord(GrantRequestRecord{request.workspace, request.wanted});
}

std::string Encode(const TokenGrant& grant) {
  return kGrantTag + EncodeRecord(GrantRecord{grant.workspace, grant.tokens,
                                              static_cast<std::uint32_t>(
                                                  grant.retry_after.count())});
}

std::optional<PeerDatagram> DecodeHeartbeat(std::string_view bytes) {
  Result<HeartbeatRecord> record = DecodeRecord<HeartbeatRecord>(bytes);
  if (!record) return std::nullopt;
  HeartbeatRecord& r = record.value();
  PeerHeartbeat heartbeat;
  heartbeat.registry_revision = r.registry_revision;
  heartbeat.load = {r.running, r.waiting,
                    r.slots,   microseconds(r.service_micros),
                    r.cold,    microseconds(r.link_micros)};
  heartbeat.leaving = r.leaving;
  heartbeat.watching = r.watching;
  heartbeat.leased_workspaces = std::move(r.leased_workspaces);
  return heartbeat;
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
  if (tag == kHeartbeatTag) return DecodeHeartbeat(bytes);
  if (tag == kGrantRequestTag) {
    Result<GrantRequestRecord> request =
        DecodeRecord<GrantRequestRecord>(bytes);
    if (!request) return std::nullopt;
    return TokenGrantRequest{request.value().workspace, request.value().wanted};
  }
  if (tag != kGrantTag) return std::nullopt;
  Result<GrantRecord> grant = DecodeRecord<GrantRecord>(bytes);
  if (!grant) return std::nullopt;
  return TokenGrant{grant.value().workspace, grant.value().tokens,
                    milliseconds(grant.value().retry_millis)};
}

}  // namespace wisteriarill
