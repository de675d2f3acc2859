/// \file
/// The configuration duty: takes what the platform publishes from its store
/// or from peers, keeps the copy, and turns changes into typed updates.
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
#include "wisteriarill/mesh/registry_replica.h"
#include "wisteriarill/process/bounded_queue.h"

namespace wisteriarill {

/// What a published item is about.
enum class ItemKind { kConfiguration, kServer, kEvacuation, kOther };

struct ClassifiedKey {
  ItemKind kind = ItemKind::kOther;
  std::string name;  ///< Of the server's instance or the failure domain.
};

/// Reads the platform's items.
class ItemDecoder {
 public:
  virtual ~ItemDecoder() = default;
  virtual ClassifiedKey Classify(const std::string& key) const = 0;
  virtual Result<MeshConfigParts> DecodeConfiguration(
      const RegistryItem& item) const = 0;
  virtual Result<BackendEntry> DecodeServer(const RegistryItem& item) const = 0;
};

/// One step of the platform's state.
struct RegistryUpdate {
  std::uint64_t revision = 0;
  std::shared_ptr<const MeshConfig> config;  ///< Null: unchanged.
  std::vector<BackendEntry> changed;
  std::vector<std::string> removed;                ///< Instances.
  std::optional<std::set<std::string>> evacuated;  ///< Failure domains.
  bool complete = false;  ///< A complete list was taken at least once.
  bool store_unavailable = false;      ///< The store could not be read just now.
};

/// Thread-safe; the decoding runs on the thread that calls Apply.
class RegistrySynchronizer {
 public:
  /// Called on the applying thread when an update waits in the ring.
  using Wake = std::function<void()>;

  RegistrySynchronizer(const ItemDecoder* decoder, Wake wake)
      : decoder_(decoder), wake_(std::move(wake)), updates_(kRingSize) {}

  /// Takes a batch; `source` names it in logs.
  void Apply(RegistryBatch batch, const std::string& source);
  /// Notes that the store could not be read just now.
  void OnStoreUnavailable();
  /// Returns the next update, if one waits.
  std::optional<RegistryUpdate> TakeUpdate();
  /// Returns the items for a peer that has those up to `after`.
  RegistryBatch MakeCompleteBatch(std::uint64_t after) const;
  std::uint64_t revision() const;
  /// Returns whether a complete list was taken at least once.
  bool complete() const;

  /// Says whether this node is to watch the store, or is told by its peers.
  void SetWatchWanted(bool wanted);
  bool watch_wanted() const { return watch_wanted_; }
  /// Names what is called when a watch is wanted again. Call before the duty
  /// is used by several threads.
  void OnWatchWanted(std::function<void()> callback) {
    on_watch_wanted_ = std::move(callback);
  }
  /// Says whether the store's reader has the store's newest state.
  void SetWatching(bool watching) {
    watching_ = watching;
    if (watching) away_ = false;
  }
  bool watching() const { return watching_; }
  /// Returns whether the last read of the store failed.
  bool store_unavailable() const { return away_; }

 private:
  static constexpr std::size_t kRingSize = 1024;

  RegistryUpdate MakeUpdate(const std::vector<RegistryItem>& changes);
  void TakeItem(const RegistryItem& item, RegistryUpdate* update);
  void TakeConfiguration(const RegistryItem& item, RegistryUpdate* update);
  void TakeServer(const RegistryItem& item, const std::string& instance,
                  RegistryUpdate* update);

  const ItemDecoder* decoder_;
  Wake wake_;
  mutable std::mutex mutex_;
  RegistryReplica mirror_;
  Version newest_;
  std::set<std::string> evacuated_;
  BoundedQueue<RegistryUpdate> updates_;
  std::function<void()> on_watch_wanted_;
  std::atomic<bool> watch_wanted_{true};
  std::atomic<bool> watching_{false};
  std::atomic<bool> away_{false};
};

/// Returns a batch as bytes for peers, and back.
std::string EncodeBatch(const RegistryBatch& batch);
Result<RegistryBatch> DecodeBatch(std::string_view bytes);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_REGISTRY_SYNCHRONIZER_H_
