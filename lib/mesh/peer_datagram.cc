#include "wisteriarill/mesh/peer_datagram.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/process/codec.h"

namespace wisteriarill {
namespace {

/// Bounds of the values that a peer may send.
constexpr std::uint32_t kMaxCalls = 1U << 20;
constexpr std::uint32_t kMaxMicros = 600'000'000;
/// Maximum number of levels of urgency whose waits are reported.
constexpr std::size_t kMaxLevels = 8;
constexpr std::uint32_t kMaxMillis = 3'600'000;
constexpr std::uint32_t kMaxTokens = 1U << 20;

// The encoded form of the datagrams: MessagePack arrays, in the order of the
// fields.
struct StatusRecord {
  std::uint64_t registry_revision = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  std::uint32_t service_micros = 0;
  std::uint32_t link_micros = 0;
  bool cold = false;
  bool leaving = false;
  bool watching = false;
  bool confirmed = false;
  std::uint32_t store_age_millis = 0;
  std::uint32_t store_failure_age_millis = 0;
  bool reply_wanted = false;
  // The rest is absent in datagrams of earlier versions.
  std::uint32_t receive_micros = 0;
  /// Urgency and expected wait in microseconds of each level.
  std::vector<std::pair<std::int32_t, std::uint32_t>> waits;
  std::uint32_t store_read_source = 0;
  std::uint32_t store_read_sequence = 0;
  std::uint32_t read_begun_source = 0;
  std::uint32_t read_begun_sequence = 0;
  std::uint32_t read_begun_age_millis = 0;
  std::uint64_t registry_era = 0;
  std::uint32_t carried_digest = 0;
  std::uint32_t rate_wait_micros = 0;
  std::uint32_t rate_interval_micros = 0;
  std::uint32_t leaving_server = 0;
  MSGPACK_DEFINE(registry_revision, running, waiting, slots, service_micros,
                 link_micros, cold, leaving, watching, confirmed,
                 store_age_millis, store_failure_age_millis, reply_wanted,
                 receive_micros, waits, store_read_source, store_read_sequence,
                 read_begun_source, read_begun_sequence, read_begun_age_millis,
                 registry_era, carried_digest, rate_wait_micros,
                 rate_interval_micros, leaving_server);
};

struct DeltaRecord {
  StatusRecord status;
  std::uint64_t after = 0;
  std::string batch;
  std::uint64_t after_era = 0;
  MSGPACK_DEFINE(status, after, batch, after_era);
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
  bool not_owner = false;
  MSGPACK_DEFINE(workspace, tokens, retry_millis, not_owner);
};

constexpr char kStatusTag = 'S';
constexpr char kDeltaTag = 'D';
constexpr char kGrantRequestTag = 'A';
constexpr char kGrantTag = 'G';

/// Returns the position that a peer states; the first one if its era is
/// impossible.
StorePosition BoundedPosition(std::uint64_t era_number,
                              std::uint64_t revision) {
  const auto era = MakeStoreEra(era_number);
  return era ? StorePosition{*era, revision} : StorePosition();
}

microseconds BoundedMicros(std::uint32_t micros) {
  return microseconds(std::min(micros, kMaxMicros));
}

std::uint32_t EncodeMicros(microseconds time) {
  return static_cast<std::uint32_t>(
      std::clamp<microseconds::rep>(time.count(), 0, kMaxMicros));
}

StatusRecord ToRecord(const PeerStatus& status) {
  const BackendLoad& load = status.load;
  StatusRecord record;
  record.registry_revision = status.registry_position.revision;
  record.registry_era = NumberOf(status.registry_position.era);
  record.carried_digest = status.carried_digest;
  record.running = load.running;
  record.waiting = load.waiting;
  record.slots = load.slots;
  record.service_micros = static_cast<std::uint32_t>(load.service_time.count());
  record.link_micros = static_cast<std::uint32_t>(load.link_delay.count());
  record.cold = load.cold;
  record.leaving = status.leaving;
  record.leaving_server = status.leaving_server;
  record.watching = status.watching;
  record.confirmed = status.confirmed;
  record.store_age_millis =
      static_cast<std::uint32_t>(status.store_read.age.count());
  record.store_failure_age_millis =
      static_cast<std::uint32_t>(status.store_failure_age.count());
  record.reply_wanted = status.reply_wanted;
  record.receive_micros =
      static_cast<std::uint32_t>(load.receive_delay.count());
  record.rate_wait_micros = EncodeMicros(load.rate_wait);
  record.rate_interval_micros = EncodeMicros(load.rate_interval);
  for (const LevelWait& level : load.waits) {
    if (record.waits.size() == kMaxLevels) break;
    record.waits.emplace_back(level.urgency,
                              static_cast<std::uint32_t>(level.wait.count()));
  }
  record.store_read_source = status.store_read.source;
  record.store_read_sequence = status.store_read.sequence;
  if (status.read_begun.source == 0) return record;
  record.read_begun_source = status.read_begun.source;
  record.read_begun_sequence = status.read_begun.sequence;
  record.read_begun_age_millis =
      static_cast<std::uint32_t>(status.read_begun.age.count());
  return record;
}

ToldEvent MakeEvent(std::uint32_t source, std::uint32_t sequence,
                    std::uint32_t age_millis) {
  if (source == 0) return {};
  return {source, sequence, std::min(milliseconds(age_millis), kUnknownAge)};
}

PeerStatus FromRecord(const StatusRecord& record) {
  PeerStatus status;
  status.registry_position =
      BoundedPosition(record.registry_era, record.registry_revision);
  status.carried_digest = record.carried_digest;
  BackendLoad& load = status.load;
  load.running = std::min(record.running, kMaxCalls);
  load.waiting = std::min(record.waiting, kMaxCalls);
  load.slots = std::clamp(record.slots, 1U, kMaxCalls);
  load.service_time = BoundedMicros(record.service_micros);
  load.cold = record.cold;
  load.link_delay = BoundedMicros(record.link_micros);
  load.receive_delay = BoundedMicros(record.receive_micros);
  load.rate_wait = BoundedMicros(record.rate_wait_micros);
  load.rate_interval = BoundedMicros(record.rate_interval_micros);
  for (const auto& [urgency, micros] : record.waits) {
    if (load.waits.size() == kMaxLevels) break;
    load.waits.push_back({urgency, BoundedMicros(micros)});
  }
  status.leaving = record.leaving;
  status.leaving_server = record.leaving_server;
  status.watching = record.watching;
  status.confirmed = record.confirmed;
  status.store_read =
      MakeEvent(record.store_read_source, record.store_read_sequence,
                record.store_age_millis);
  status.store_failure_age =
      std::min(milliseconds(record.store_failure_age_millis), kUnknownAge);
  status.reply_wanted = record.reply_wanted;
  status.read_begun =
      MakeEvent(record.read_begun_source, record.read_begun_sequence,
                record.read_begun_age_millis);
  return status;
}

std::string Encode(const PeerStatus& status) {
  return kStatusTag + EncodeRecord(ToRecord(status));
}

std::string Encode(const RegistryDelta& delta) {
  return kDeltaTag +
         EncodeRecord(DeltaRecord{ToRecord(delta.status), delta.after.revision,
                                  delta.batch, NumberOf(delta.after.era)});
}

std::string Encode(const TokenGrantRequest& request) {
  return kGrantRequestTag +
         EncodeRecord(GrantRequestRecord{request.workspace, request.wanted});
}

std::string Encode(const TokenGrant& grant) {
  return kGrantTag + EncodeRecord(GrantRecord{
                         grant.workspace, grant.tokens,
                         static_cast<std::uint32_t>(grant.retry_after.count()),
                         grant.not_owner});
}

std::optional<PeerDatagram> DecodeDelta(std::string_view bytes) {
  Result<DeltaRecord> record = DecodeRecord<DeltaRecord>(bytes);
  if (!record) return std::nullopt;
  DeltaRecord& r = record.value();
  return RegistryDelta{FromRecord(r.status),
                       BoundedPosition(r.after_era, r.after),
                       std::move(r.batch)};
}

std::optional<PeerDatagram> DecodeGrantRequest(std::string_view bytes) {
  Result<GrantRequestRecord> record = DecodeRecord<GrantRequestRecord>(bytes);
  if (!record) return std::nullopt;
  GrantRequestRecord& r = record.value();
  return TokenGrantRequest{std::move(r.workspace),
                           std::min(r.wanted, kMaxTokens)};
}

std::optional<PeerDatagram> DecodeGrant(std::string_view bytes) {
  Result<GrantRecord> record = DecodeRecord<GrantRecord>(bytes);
  if (!record) return std::nullopt;
  GrantRecord& r = record.value();
  return TokenGrant{std::move(r.workspace), std::min(r.tokens, kMaxTokens),
                    milliseconds(std::min(r.retry_millis, kMaxMillis)),
                    r.not_owner};
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
  switch (tag) {
    case kStatusTag: {
      const Result<StatusRecord> record = DecodeRecord<StatusRecord>(bytes);
      if (!record) return std::nullopt;
      return FromRecord(record.value());
    }
    case kDeltaTag:
      return DecodeDelta(bytes);
    case kGrantRequestTag:
      return DecodeGrantRequest(bytes);
    case kGrantTag:
      return DecodeGrant(bytes);
    default:
      return std::nullopt;
  }
}

}  // namespace wisteriarill
