#include "wisteriarill/mesh/registry_synchronizer.h"

#include <utility>

#include "wisteriarill/process/compression.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// Values of at least this size are compressed for transfer.
constexpr std::size_t kMinCompressedSize = 4U << 10;

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
    const std::vector<RegistryItem> changes =
        replica_.Apply(batch, BootClock::now());
    UpdateCarried();
    LogEra(name);
    QueueUpdate(changes, source == RegistrySource::kStore, name);
  }
  wake_();
}

void RegistrySynchronizer::ReleaseExpired(Instant now) {
  if (carried_count_ == 0) return;
  {
    const std::lock_guard lock(mutex_);
    const std::vector<RegistryItem> changes = replica_.ReleaseExpired(now);
    if (changes.empty()) return;
    UpdateCarried();
    for (const RegistryItem& change : changes) {
      LogEvent(LogLevel::kInfo, "carried_item_expired").With("key", change.key);
    }
    QueueUpdate(changes, false, "carried-items");
  }
  wake_();
}

void RegistrySynchronizer::LogEra(const std::string& name) {
  const StorePosition position = replica_.position();
  if (std::exchange(logged_era_, position.era) == position.era) return;
  LogEvent(LogLevel::kWarning, "store_era_entered")
      .With("era", ToString(position.era))
      .With("position", ToString(position))
      .With("source", name)
      .With("carried", replica_.carryover().size());
  for (const CarriedItem& carried :
       replica_.carryover().List(BootClock::now())) {
    LogEvent(LogLevel::kInfo, "item_carried_over")
        .With("key", carried.item.key)
        .With("as", carried.item.removed ? "removed" : "listed")
        .With("position", ToString(carried.item.position))
        .With("start", carried.stamp.start)
        .With("sequence", carried.stamp.sequence);
  }
}

void RegistrySynchronizer::QueueUpdate(const std::vector<RegistryItem>& changes,
                                       bool from_store,
                                       const std::string& name) {
  RegistryUpdate update = MakeUpdate(changes);
  update.from_store = from_store;
  if (!changes.empty()) {
    LogEvent(LogLevel::kInfo, "registry_changed")
        .With("source", name)
        .With("revision", ToString(replica_.position()))
        .With("items", changes.size())
        .With("config", update.config ? ToString(update.config->version())
                                      : std::string("unchanged"));
  }
  updates_.Push(std::move(update));
}

void RegistrySynchronizer::OnStoreUnavailable() {
  store_unavailable_ = true;
  RegistryUpdate update;
  update.store_unavailable = true;
  {
    const std::lock_guard lock(mutex_);
    update.position = replica_.position();
    updates_.Push(std::move(update));
  }
  wake_();
}

RegistryUpdate RegistrySynchronizer::MakeUpdate(
    const std::vector<RegistryItem>& changes) {
  RegistryUpdate update;
  update.position = replica_.position();
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
        .With("revision", ToString(item.position))
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
      .With("revision", ToString(item.position))
      .With(entry.error());
  // An unreadable entry replaces a readable one: the server is not used.
  update->removed.push_back(instance);
}

std::optional<RegistryUpdate> RegistrySynchronizer::TakeUpdate() {
  return updates_.PopFor(nanoseconds(0));
}

RegistryBatch RegistrySynchronizer::MakeBatch(StorePosition after) const {
  const std::lock_guard lock(mutex_);
  return replica_.MakeBatch(after, BootClock::now());
}

bool RegistrySynchronizer::has_items() const {
  const std::lock_guard lock(mutex_);
  return replica_.has_items();
}

void RegistrySynchronizer::SetWatchWanted(bool wanted) {
  if (watch_wanted_.exchange(wanted) == wanted) return;
  if (wanted && on_watch_wanted_) on_watch_wanted_();
}

StorePosition RegistrySynchronizer::position() const {
  const std::lock_guard lock(mutex_);
  return replica_.position();
}

void RegistrySynchronizer::UpdateCarried() {
  carried_digest_ = replica_.carryover().digest();
  const std::size_t count = replica_.carryover().size();
  if (carried_count_.exchange(count) == count) return;
  LogEvent(LogLevel::kInfo, "carried_items")
      .With("count", count)
      .With("position", ToString(replica_.position()));
}

bool RegistrySynchronizer::LacksCarried(std::uint32_t digest) const {
  if (digest == 0) return false;
  const std::lock_guard lock(mutex_);
  return replica_.carryover().LacksDigest(digest);
}

bool RegistrySynchronizer::complete() const {
  const std::lock_guard lock(mutex_);
  return replica_.complete();
}

}  // namespace wisteriarill
