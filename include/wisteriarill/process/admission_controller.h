/// \file
/// The admission duty: a thread that decides rates and routes for calls that
/// enter here, and gives out tokens of the parts whose home this node is.
#ifndef WISTERIARILL_PROCESS_ADMISSION_CONTROLLER_H_
#define WISTERIARILL_PROCESS_ADMISSION_CONTROLLER_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/process/bounded_queue.h"
#include "wisteriarill/process/metrics.h"
#include "wisteriarill/process/node_settings.h"
#include "wisteriarill/process/rate_limiter.h"
#include "wisteriarill/process/rate_shard_owner.h"
#include "wisteriarill/process/reachability_prober.h"
#include "wisteriarill/process/load_balancer.h"
#include "wisteriarill/request/retry_budget.h"
#include "wisteriarill/version/config_manager.h"

namespace wisteriarill {

/// The decision on a call that wants to enter.
struct AdmissionResult {
  Refusal refusal = Refusal::kNone;
  microseconds retry_after{};
  ChosenServer choice;  ///< Set if not refused.
};

/// Where a caller's thread waits for its AdmissionResult.
class AdmissionSlot {
 public:
  void Set(AdmissionResult admission);
  std::optional<AdmissionResult> WaitFor(nanoseconds timeout);

 private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::optional<AdmissionResult> admission_;
};

class AdmissionController {
 public:
  using Sender = std::function<void(const PeerTarget&, const PeerMessage&)>;

  AdmissionController(const NodeSettings& settings, InstanceId instance,
                std::string address, Sender send, Metrics* metrics);
  ~AdmissionController();
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  void Start();

  /// Takes a token of `workspace` (none if empty) and chooses a server of
  /// `service`. Blocks the caller's thread up to `timeout`.
  AdmissionResult Admit(const std::string& workspace, const std::string& service,
                  nanoseconds timeout);
  /// Chooses again for a call that did not run at `tried`; refused if the
  /// retry budget is spent.
  AdmissionResult Retry(const std::string& service, std::set<std::string> tried,
                  nanoseconds timeout);
  /// Notes the end of an attempt. `load` is null if no answer came.
  void OnAttemptEnded(const std::string& server, const LoadReport* load,
                      bool silent);

  /// Hands over a peer's message; false if the duty can't keep up.
  bool OnPeerMessage(PeerTarget from, PeerMessage message);
  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot);
  void OnVmsLeaving(std::vector<std::string> leaving);
  void OnConfigView(const ConfigView& view);
  void OnTick();
  /// Returns how many rate parts this node is home to. Thread-safe.
  std::size_t shard_count() const { return part_count_.load(); }

 private:
  struct EnterEvent {
    std::string workspace;
    std::string service;
    std::shared_ptr<AdmissionSlot> slot;
  };
  struct RetryEvent {
    std::string service;
    std::set<std::string> tried;
    std::shared_ptr<AdmissionSlot> slot;
  };
  struct EndedEvent {
    std::string server;
    std::optional<LoadReport> load;
    bool silent = false;
  };
  struct PeerEvent {
    PeerTarget from;
    PeerMessage message;
  };
  struct SnapshotEvent {
    std::shared_ptr<const Snapshot> snapshot;
  };
  struct VmEvent {
    std::vector<std::string> leaving;
  };
  struct ViewEvent {
    Version version;
    Instant confirmed_at;
    Instant published_at;
  };
  struct TickEvent {};
  using Event = std::variant<EnterEvent, RetryEvent, EndedEvent, PeerEvent,
                             SnapshotEvent, VmEvent, ViewEvent, TickEvent>;
  struct Waiting {
    std::string service;
    std::shared_ptr<AdmissionSlot> slot;
  };

  AdmissionResult Ask(Event event, const std::shared_ptr<AdmissionSlot>& slot,
                nanoseconds timeout);
  void Run();
  void Handle(Event event);
  void HandlePeer(const PeerEvent& event, Instant now);
  void Enter(const EnterEvent& event, Instant now);
  void Retry(const RetryEvent& event, Instant now);
  void Choose(const std::string& service, const std::set<std::string>& tried,
              AdmissionSlot* slot, Instant now);
  void Decide(const RateDecision& decision, Instant now);
  void Flush(Instant now);
  void SendProbes(Instant now);

  const std::string self_;
  const std::string address_;
  const Sender send_;
  Metrics* const metrics_;
  const bool homes_;
  std::unique_ptr<RateLimiter> rates_;
  RateShardOwner home_;
  ReachabilityProber probe_;
  std::unique_ptr<RouteChooser> chooser_;
  RetryBudget budget_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t last_ticket_ = 0;
  Instant next_probe_ = kNever;
  std::atomic<std::size_t> part_count_{0};
  BoundedQueue<Event> events_;
  std::mutex view_mutex_;
  ViewEvent last_view_;
  std::thread thread_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_ADMISSION_CONTROLLER_H_
