/// \file
/// Runs the configuration disseminator of a node on a thread of its own, and
/// reads the platform for it on others.
#ifndef WISTERIARILL_VERSION_CONFIG_MANAGER_H_
#define WISTERIARILL_VERSION_CONFIG_MANAGER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/process/bounded_queue.h"
#include "wisteriarill/version/config_disseminator.h"
#include "wisteriarill/version/platform_reader.h"

namespace wisteriarill {

/// The state of the configuration, for other components and for operators.
struct ConfigView {
  std::shared_ptr<const Snapshot> snapshot;
  std::optional<RejectedVersion> rejected;
  std::optional<Version> candidate;
  Instant confirmed_at = kNever;
  Instant published_at = kNever;
  bool is_watcher = false;
  bool ready = false;
  bool isolated = false;
  std::uint64_t platform_reads = 0;
};

/// Callbacks into the rest of the node. Called on the manager's thread.
struct ConfigCallbacks {
  std::function<void(const PeerTarget&, const PeerMessage&)> send;
  std::function<void(std::shared_ptr<const Snapshot>)> on_version_applied;
  std::function<void(const std::vector<std::string>&)> on_vms_leaving;
  /// Called after each event with the current view, on which rate limits and
  /// readiness depend.
  std::function<void(const ConfigView&)> on_view_changed;
};

/// Keeps this node's configuration current and passes it on to peers.
class ConfigManager {
 public:
  /// `make_reader` is called once on each thread that reads the platform.
  ConfigManager(ConfigDisseminatorOptions options, std::uint64_t seed,
                std::function<std::unique_ptr<PlatformReader>()> make_reader,
                ConfigCallbacks callbacks);
  ~ConfigManager();
  ConfigManager(const ConfigManager&) = delete;
  ConfigManager& operator=(const ConfigManager&) = delete;

  void Start();
  /// Queues a message from a peer. Returns false if the queue is full.
  bool OnPeerMessage(PeerTarget from, PeerMessage message);
  void OnTick();
  /// Announces to peers from now on that this node is leaving.
  void SetLeaving();

  /// Returns the current view. Thread-safe.
  ConfigView view() const;

 private:
  struct PeerEvent {
    PeerTarget from;
    PeerMessage message;
  };
  struct ManifestEvent {
    Result<ManifestRead> read;
    Instant began;
  };
  struct ChunkEvent {
    std::string digest;
    Result<std::string> bytes;
  };
  struct VmEvent {
    VmList list;
  };
  struct TickEvent {};
  struct LeavingEvent {};
  using Event = std::variant<PeerEvent, ManifestEvent, ChunkEvent, VmEvent,
                             TickEvent, LeavingEvent>;
  using ReadRequest = std::variant<ReadChunk, ReadVmList>;

  void Run();
  void RunWatchThread();
  void RunReadThread();
  void Handle(Event event);
  void Perform(ConfigDisseminatorAction action);
  void PublishView();

  ConfigDisseminator disseminator_;
  const std::function<std::unique_ptr<PlatformReader>()> make_reader_;
  const ConfigCallbacks callbacks_;
  BoundedQueue<Event> events_;
  BoundedQueue<WatchManifest> watch_requests_;
  BoundedQueue<ReadRequest> read_requests_;
  mutable std::mutex view_mutex_;
  ConfigView view_;
  std::vector<std::thread> threads_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_CONFIG_MANAGER_H_
