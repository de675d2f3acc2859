/// \file
/// MessagePack arrays in the order of the fields, compressed.
#include "wisteriarill/registry/registry_batch_codec.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/process/codec.h"
#include "wisteriarill/process/compression.h"

namespace wisteriarill {
namespace {

/// Maximum decompressed size of a value from a peer.
constexpr std::size_t kMaxDecompressedSize = 16U << 20;
constexpr std::uint64_t kMaxAgeMillis = 3'600'000;

// Fields that earlier versions don't send come last in each record.
struct ItemRecord {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;
  bool compressed = false;  ///< `value` is compressed.
  std::uint64_t created = 0;
  std::uint64_t era = 0;
  std::uint64_t created_era = 0;
  bool missing_from_copy = false;
  MSGPACK_DEFINE(key, value, revision, removed, compressed, created, era,
                 created_era, missing_from_copy);
};

struct CarriedRecord {
  ItemRecord item;
  std::uint32_t kind = 0;
  std::uint64_t start = 0;
  std::uint64_t sequence = 0;
  std::uint64_t removed_era = 0;
  std::uint64_t removed_revision = 0;
  std::uint64_t removed_digest = 0;
  bool missing = false;
  std::uint64_t age_millis = 0;
  MSGPACK_DEFINE(item, kind, start, sequence, removed_era, removed_revision,
                 removed_digest, missing, age_millis);
};

struct BatchRecord {
  std::vector<ItemRecord> items;
  std::uint64_t revision = 0;
  bool complete = false;
  std::uint64_t era = 0;
  std::uint64_t after_era = 0;
  std::uint64_t after_revision = 0;
  std::vector<CarriedRecord> carried;
  bool lacks_short_lived = false;
  MSGPACK_DEFINE(items, revision, complete, era, after_era, after_revision,
                 carried, lacks_short_lived);
};

ItemRecord ToRecord(const RegistryItem& item) {
  const bool compressed = !item.compressed.empty();
  return {item.key,
          compressed ? item.compressed : item.value,
          item.position.revision,
          item.removed,
          compressed,
          item.created.revision,
          NumberOf(item.position.era),
          NumberOf(item.created.era),
          item.missing_from_copy};
}

CarriedRecord ToRecord(const CarriedItem& carried) {
  return {ToRecord(carried.item),
          static_cast<std::uint32_t>(carried.stamp.kind),
          carried.stamp.start,
          carried.stamp.sequence,
          NumberOf(carried.removed_position.era),
          carried.removed_position.revision,
          carried.removed_digest,
          carried.missing,
          static_cast<std::uint64_t>(carried.age.count())};
}

Result<StorePosition> ToPosition(std::uint64_t era_number,
                                 std::uint64_t revision) {
  const auto era = MakeStoreEra(era_number);
  if (era) return StorePosition{*era, revision};
  return MakeError(ErrorKind::kMalformedMessage,
                   "a peer states an impossible era of the store",
                   "check that both nodes run compatible versions");
}

Result<RegistryItem> FromRecord(ItemRecord record) {
  const auto position = ToPosition(record.era, record.revision);
  if (!position) return position.error();
  const auto created = ToPosition(record.created_era, record.created);
  if (!created) return created.error();
  RegistryItem item{std::move(record.key),
                    std::move(record.value),
                    position.value(),
                    record.removed,
                    "",
                    created.value()};
  item.missing_from_copy = record.missing_from_copy;
  if (record.compressed) {
    Result<std::string> value = Decompress(item.value, kMaxDecompressedSize);
    if (!value) return value.error();
    item.compressed = std::exchange(item.value, std::move(value.value()));
  }
  return item;
}

Result<CarriedItem> FromRecord(CarriedRecord record) {
  Result<RegistryItem> item = FromRecord(std::move(record.item));
  if (!item) return item.error();
  const auto removed = ToPosition(record.removed_era, record.removed_revision);
  if (!removed) return removed.error();
  CarriedItem carried;
  carried.item = std::move(item.value());
  const auto last_kind = static_cast<std::uint32_t>(ItemKind::kOther);
  carried.stamp.kind = static_cast<ItemKind>(std::min(record.kind, last_kind));
  carried.stamp.start = record.start;
  carried.stamp.sequence = record.sequence;
  carried.removed_position = removed.value();
  carried.removed_digest = record.removed_digest;
  carried.missing = record.missing;
  carried.age = milliseconds(std::min(record.age_millis, kMaxAgeMillis));
  return carried;
}

}  // namespace

std::string EncodeBatch(const RegistryBatch& batch) {
  BatchRecord record;
  record.revision = batch.position.revision;
  record.complete = batch.complete;
  record.lacks_short_lived = batch.lacks_short_lived;
  record.era = NumberOf(batch.position.era);
  record.after_era = NumberOf(batch.after.era);
  record.after_revision = batch.after.revision;
  for (const RegistryItem& item : batch.items)
    record.items.push_back(ToRecord(item));
  for (const CarriedItem& carried : batch.carried)
    record.carried.push_back(ToRecord(carried));
  return Compress(EncodeRecord(record));
}

Result<RegistryBatch> DecodeBatch(std::string_view bytes) {
  const Result<std::string> encoded = Decompress(bytes, kMaxDecompressedSize);
  if (!encoded) return encoded.error();
  Result<BatchRecord> decoded = DecodeRecord<BatchRecord>(encoded.value());
  if (!decoded) return decoded.error();
  BatchRecord& record = decoded.value();
  const auto position = ToPosition(record.era, record.revision);
  if (!position) return position.error();
  const auto after = ToPosition(record.after_era, record.after_revision);
  if (!after) return after.error();
  RegistryBatch batch;
  batch.position = position.value();
  batch.after = after.value();
  batch.complete = record.complete;
  batch.lacks_short_lived = record.lacks_short_lived;
  for (ItemRecord& item_record : record.items) {
    Result<RegistryItem> item = FromRecord(std::move(item_record));
    if (!item) return item.error();
    batch.items.push_back(std::move(item.value()));
  }
  for (CarriedRecord& carried_record : record.carried) {
    Result<CarriedItem> carried = FromRecord(std::move(carried_record));
    if (!carried) return carried.error();
    batch.carried.push_back(std::move(carried.value()));
  }
  return batch;
}

}  // namespace wisteriarill
