/// \file
/// Keeps the registry replica up to date with batches from the platform's store
/// or from peers, and turns changes into typed updates.
#ifndef WISTERIARILL_MESH_REGISTRY_SYNCHRONIZER_H_
#define WISTERIARILL_MESH_REGISTRY_SYNCHRONIZER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wisteriarill/mesh/membership.h"
#include "wisteriarill/mesh/mesh_config.h"
#include "wisteriarill/process/bounded_queue.h"
#include "wisteriarill/registry/registry_batch_codec.h"
#include "wisteriarill/registry/registry_replica.h"

namespace wisteriarill {

/// Kind of an item and the name in its key.
struct ClassifiedKey {
  ItemKind kind = ItemKind::kOther;
  std::string name;  ///< Server instance or failure domain.
};

/// Decodes the platform's items.
class ItemDecoder : public ItemStamper {
 public:
  virtual ClassifiedKey Classify(const std::string& key) const = 0;
  virtual Result<MeshConfigParts> DecodeConfiguration(
      const RegistryItem& item) const = 0;
  virtual Result<BackendEntry> DecodeServer(const RegistryItem& item) const = 0;
};

/// The typed changes of one batch.
struct RegistryUpdate {
  StorePosition position;
  std::shared_ptr<const MeshConfig> config;  ///< Null: unchanged.
  std::vector<BackendEntry> changed;
  std::vector<std::string> removed;                ///< Instances.
  std::optional<std::set<std::string>> evacuated;  ///< Failure domains.
  bool complete = false;  ///< A complete list was applied at least once.
  bool store_unavailable = false;  ///< The last read of the store failed.
  bool from_store = false;         ///< Read from the store by this node.
};

/// Where a batch comes from.
enum class RegistrySource {
  kPeer,
  kStore,
  /// A read that the store may answer from an old state.
  kStaleStore,
};

/// Applies batches to the replica and queues the typed changes for the event
/// loop's thread. Thread-safe; items are decoded on the thread that calls
/// Apply.
class RegistrySynchronizer {
 public:
  /// Called on the applying thread when an update was added to the queue.
  using WakeCallback = std::function<void()>;

  RegistrySynchronizer(const ItemDecoder* decoder, WakeCallback wake)
      : decoder_(decoder),
        wake_(std::move(wake)),
        replica_(decoder),
        updates_(kQueueSize) {}

  /// Applies a batch; `name` names its origin in logs.
  void Apply(RegistryBatch batch, RegistrySource source,
             const std::string& name);
  /// Records that a read of the store failed.
  void OnStoreUnavailable();
  /// Returns the next update from the queue, or nothing if it is empty.
  std::optional<RegistryUpdate> TakeUpdate();
  /// Lets go of what was carried from an earlier era for long enough.
  void ReleaseExpired(Instant now);
  /// Returns what a peer lacks that has the position `after`.
  RegistryBatch MakeBatch(StorePosition after) const;
  StorePosition position() const;
  /// Returns the digest of what is carried from an earlier era, and the number
  /// of items.
  std::uint32_t carried_digest() const { return carried_digest_; }
  std::size_t carried_count() const { return carried_count_; }
  /// Returns whether a peer with this digest carries something from an earlier
  /// era that this node doesn't.
  bool LacksCarried(std::uint32_t digest) const;
  /// Returns whether a complete list was applied at least once.
  bool complete() const;
  /// Returns whether any item of the registry is known.
  bool has_items() const;

  /// Records that the registry is known to be up to date for the first time:
  /// it was read from the store, or a peer that knows this about its own has
  /// no newer one.
  void SetConfirmed() { confirmed_ = true; }
  bool confirmed() const { return confirmed_; }
  /// Sets whether this node is one of those that read the store for all others.
  void SetInControlGroup(bool in_group) { in_control_group_ = in_group; }
  bool in_control_group() const { return in_control_group_; }

  /// Sets whether this node watches the store itself or gets changes from its
  /// peers.
  void SetWatchWanted(bool wanted);
  bool watch_wanted() const { return watch_wanted_; }
  /// Sets whether another node watches the store before this one, and what it
  /// reads arrives here, so that this one may read changes less often.
  void SetSecondaryWatcher(bool secondary) { secondary_watcher_ = secondary; }
  bool secondary_watcher() const { return secondary_watcher_; }
  /// Sets the callback for when this node becomes a watcher again. Call before
  /// other threads use this object.
  void OnWatchWanted(std::function<void()> callback) {
    on_watch_wanted_ = std::move(callback);
  }
  /// Records whether the store reader has the newest state of the store.
  void SetWatching(bool watching) {
    watching_ = watching;
    if (!watching) return;
    store_unavailable_ = false;
    confirmed_ = true;
  }
  bool watching() const { return watching_; }
  /// Records that what this node holds was the newest state of the store at
  /// `at`.
  void OnStoreRead(Instant at) {
    store_read_at_ = at.time_since_epoch().count();
  }
  /// Sets whether a watch is open at the store, so that it tells this node of
  /// the next change at once. While a response is read, and between watches, it
  /// doesn't.
  void SetAwaitingChange(bool awaiting) { awaiting_change_ = awaiting; }
  /// Returns when what this node holds was last known to be the newest state of
  /// the store by its own reads; kNever if it never was.
  Instant StoreReadAt(Instant now) const {
    if (awaiting_change_) return now;
    return Instant(nanoseconds(store_read_at_.load()));
  }
  /// Returns whether the last read of the store failed.
  bool store_unavailable() const { return store_unavailable_; }

 private:
  static constexpr std::size_t kQueueSize = 1024;

  /// Queues the changes that a batch, or time, has made.
  void QueueUpdate(const std::vector<RegistryItem>& changes, bool from_store,
                   const std::string& name);
  void LogEra(const std::string& name);
  /// Publishes what is carried to the thread of the event loop, which doesn't
  /// wait for batches that are being applied.
  void UpdateCarried();
  RegistryUpdate MakeUpdate(const std::vector<RegistryItem>& changes);
  void AddChange(const RegistryItem& item, RegistryUpdate* update);
  void AddConfigurationChange(const RegistryItem& item, RegistryUpdate* update);
  void AddServerChange(const RegistryItem& item, const std::string& instance,
                       RegistryUpdate* update);

  const ItemDecoder* decoder_;
  WakeCallback wake_;
  mutable std::mutex mutex_;
  RegistryReplica replica_;
  Version newest_version_;
  StoreEra logged_era_ = kFirstEra;
  std::set<std::string> evacuated_;
  BoundedQueue<RegistryUpdate> updates_;
  std::function<void()> on_watch_wanted_;
  std::atomic<bool> watch_wanted_{true};
  std::atomic<bool> watching_{false};
  std::atomic<bool> store_unavailable_{false};
  std::atomic<bool> confirmed_{false};
  std::atomic<bool> in_control_group_{false};
  std::atomic<bool> secondary_watcher_{false};
  std::atomic<bool> awaiting_change_{false};
  std::atomic<std::uint32_t> carried_digest_{0};
  std::atomic<std::size_t> carried_count_{0};
  std::atomic<std::int64_t> store_read_at_{kNever.time_since_epoch().count()};
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_REGISTRY_SYNCHRONIZER_H_
