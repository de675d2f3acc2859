/// \file
/// The configuration duty: a thread that runs the spread decision and the
/// threads that read the platform for it.
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
#include "wisteriarill/version/platform_reader.h"
#include "wisteriarill/version/config_disseminator.h"

namespace wisteriarill {

/// What other parts and operators may know of the configuration.
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

/// What the duty tells the rest of the node. Called on its thread.
struct ConfigCallbacks {
  std::function<void(const PeerTarget&, const PeerMessage&)> send;
  std::function<void(std::shared_ptr<const Snapshot>)> on_version_applied;
  std::function<void(const std::vector<std::string>&)> on_vms_leaving;
  /// The view changed in a way that rates or readiness depend on.
  std::function<void(const ConfigView&)> on_view_changed;
};

class ConfigManager {
 public:
  /// `make_reader` is called once for each reading thread.
  ConfigManager(ConfigDisseminatorOptions options, std::uint64_t seed,
             std::function<std::unique_ptr<PlatformReader>()> make_reader,
             ConfigCallbacks listener);
  ~ConfigManager();
  ConfigManager(const ConfigManager&) = delete;
  ConfigManager& operator=(const ConfigManager&) = delete;

  void Start();
  /// Hands over a peer's message; false if the duty can't keep up.
  bool OnPeerMessage(PeerTarget from, PeerMessage message);
  void OnTick();
  /// Marks this node as leaving towards peers.
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
  void RunWatch();
  void RunReads();
  void Handle(Event event);
  void Perform(ConfigDisseminatorAction action);
  void PublishView();

  ConfigDisseminator spread_;
  const std::function<std::unique_ptr<PlatformReader>()> make_reader_;
  const ConfigCallbacks listener_;
  BoundedQueue<Event> events_;
  BoundedQueue<WatchManifest> watches_;
  BoundedQueue<ReadRequest> reads_;
  mutable std::mutex view_mutex_;
  ConfigView view_;
  std::vector<std::thread> threads_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_CONFIG_MANAGER_H_
