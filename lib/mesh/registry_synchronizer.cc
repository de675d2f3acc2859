#include "wisteriarill/mesh/registry_synchronizer.h"

#include <utility>

#include "wisteriarill/process/codec.h"
#include "wisteriarill/process/compression.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// Values of at least this size are compressed for transfer.
constexpr std::size_t kMinCompressedSize = 4U << 10;
/// Maximum decompressed size of a value from a peer.
constexpr std::size_t kMaxDecompressedSize = 16U << 20;

struct ItemRecord {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;
  bool compressed = false;  ///< `value` is compressed.
  std::uint64_t created = 0;
  MSGPACK_DEFINE(key, value, revision, removed, compressed, created);
};

struct BatchRecord {
  std::vector<ItemRecord> items;
  std::uint64_t revision = 0;
  bool complete = false;
  MSGPACK_DEFINE(items, revision, complete);
};

}  // namespace

void RegistrySynchronizer::Apply(RegistryBatch batch, RegistrySource source,
                                 const std::string& name) {
  for (RegistryItem& item : batch.items) {
    const bool is_long = item.value.size() >= kMinCompressedSize;
    if (is_long && item.compressed.empty())
      item.compressed = Compress(item.value);
  }
  {
    const std::lock_guard lock(mutex_);
    const std::vector<RegistryItem> changes = replica_.Apply(batch);
    RegistryUpdate update = MakeUpdate(changes);
    update.from_store = source == RegistrySource::kStore;
    if (!changes.empty()) {
      LogEvent(LogLevel::kInfo, "registry_changed")
          .With("source", name)
          .With("revision", replica_.revision())
          .With("items", changes.size())
          .With("config", update.config ? ToString(update.config->version())
                                        : std::string("unchanged"));
    }
    updates_.Push(std::move(update));
  }
  wake_();
}

void RegistrySynchronizer::OnStoreUnavailable() {
  store_unavailable_ = true;
  RegistryUpdate update;
  update.store_unavailable = true;
  {
    const std::lock_guard lock(mutex_);
    update.revision = replica_.revision();
    updates_.Push(std::move(update));
  }
  wake_();
}

RegistryUpdate RegistrySynchronizer::MakeUpdate(
    const std::vector<RegistryItem>& changes) {
  RegistryUpdate update;
  update.revision = replica_.revision();
  update.complete = replica_.complete();
  for (const RegistryItem& item : changes) AddChange(item, &update);
  return update;
}

void RegistrySynchronizer::AddChange(const RegistryItem& item,
                                     RegistryUpdate* update) {
  const ClassifiedKey name = decoder_->Classify(item.key);
  switch (name.kind) {
    case ItemKind::kConfiguration:
      return AddConfigurationChange(item, update);
    case ItemKind::kServer:
      return AddServerChange(item, name.name, update);
    case ItemKind::kEvacuation:
      if (item.removed) {
        evacuated_.erase(name.name);
      } else {
        evacuated_.insert(name.name);
      }
      update->evacuated = evacuated_;
      return;
    case ItemKind::kOther:
      return;
  }
}

void RegistrySynchronizer::AddConfigurationChange(const RegistryItem& item,
                                                  RegistryUpdate* update) {
  if (item.removed) return;
  Result<MeshConfigParts> parts = decoder_->DecodeConfiguration(item);
  if (!parts) {
    LogEvent(LogLevel::kError, "config_refused")
        .With("revision", item.revision)
        .With(parts.error());
    return;
  }
  const Version version = parts.value().version;
  if (version <= newest_version_) {
    LogEvent(LogLevel::kWarning, "config_superseded")
        .With("version", ToString(version))
        .With("in_force", ToString(newest_version_));
    return;
  }
  auto config = MeshConfig::Compile(std::move(parts.value()));
  if (!config) {
    LogEvent(LogLevel::kError, "config_refused")
        .With("version", ToString(version))
        .With(config.error());
    return;
  }
  newest_version_ = version;
  update->config = std::move(config.value());
}

void RegistrySynchronizer::AddServerChange(const RegistryItem& item,
                                           const std::string& instance,
                                           RegistryUpdate* update) {
  // A batch may hold an entry's removal and the entry anew, in either order.
  std::erase(update->removed, instance);
  std::erase_if(update->changed, [&instance](const BackendEntry& entry) {
    return entry.instance == instance;
  });
  if (item.removed) {
    update->removed.push_back(instance);
    return;
  }
  Result<BackendEntry> entry = decoder_->DecodeServer(item);
  if (entry) {
    update->changed.push_back(std::move(entry.value()));
    return;
  }
  LogEvent(LogLevel::kWarning, "server_entry_ignored")
      .With("key", item.key)
      .With("revision", item.revision)
      .With(entry.error());
  // An unreadable entry replaces a readable one: the server is not used.
  update->removed.push_back(instance);
}

std::optional<RegistryUpdate> RegistrySynchronizer::TakeUpdate() {
  return updates_.PopFor(nanoseconds(0));
}

RegistryBatch RegistrySynchronizer::MakeBatch(std::uint64_t after) const {
  const std::lock_guard lock(mutex_);
  return replica_.MakeBatch(after);
}

bool RegistrySynchronizer::has_items() const {
  const std::lock_guard lock(mutex_);
  return replica_.has_items();
}

void RegistrySynchronizer::SetWatchWanted(bool wanted) {
  if (watch_wanted_.exchange(wanted) == wanted) return;
  if (wanted && on_watch_wanted_) on_watch_wanted_();
}

std::uint64_t RegistrySynchronizer::revision() const {
  const std::lock_guard lock(mutex_);
  return replica_.revision();
}

bool RegistrySynchronizer::complete() const {
  const std::lock_guard lock(mutex_);
  return replica_.complete();
}

std::string EncodeBatch(const RegistryBatch& batch) {
  BatchRecord record;
  record.revision = batch.revision;
  record.complete = batch.complete;
  for (const RegistryItem& item : batch.items) {
    const bool compressed = !item.compressed.empty();
    record.items.push_back({item.key, compressed ? item.compressed : item.value,
                            item.revision, item.removed, compressed,
                            item.created});
  }
  return Compress(EncodeRecord(record));
}

Result<RegistryBatch> DecodeBatch(std::string_view bytes) {
  const Result<std::string> encoded = Decompress(bytes, kMaxDecompressedSize);
  if (!encoded) return encoded.error();
  Result<BatchRecord> record = DecodeRecord<BatchRecord>(encoded.value());
  if (!record) return record.error();
  RegistryBatch batch;
  batch.revision = record.value().revision;
  batch.complete = record.value().complete;
  for (ItemRecord& record_item : record.value().items) {
    RegistryItem item{std::move(record_item.key),
                      std::move(record_item.value),
                      record_item.revision,
                      record_item.removed,
                      "",
                      record_item.created};
    if (record_item.compressed) {
      Result<std::string> value = Decompress(item.value, kMaxDecompressedSize);
      if (!value) return value.error();
      item.compressed = std::exchange(item.value, std::move(value.value()));
    }
    batch.items.push_back(std::move(item));
  }
  return batch;
}

}  // namespace wisteriarill
