/// \file
/// The admission controller: a thread that applies rate limits to the calls
/// that enter at this node, selects their backend servers, and grants tokens of
/// the rate shards that this node owns.
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
#include "wisteriarill/process/load_balancer.h"
#include "wisteriarill/process/metrics.h"
#include "wisteriarill/process/node_settings.h"
#include "wisteriarill/process/rate_limiter.h"
#include "wisteriarill/process/rate_shard_owner.h"
#include "wisteriarill/process/reachability_prober.h"
#include "wisteriarill/request/retry_budget.h"
#include "wisteriarill/version/config_manager.h"

namespace wisteriarill {

/// The decision on a call that wants to enter.
struct AdmissionResult {
  Refusal refusal = Refusal::kNone;
  microseconds retry_after{};
  ChosenServer choice;  ///< Set if the call is not refused.
};

/// Holds the AdmissionResult of one call, for which the caller's thread waits.
class PendingAdmission {
 public:
  void Set(AdmissionResult admission);
  std::optional<AdmissionResult> WaitFor(nanoseconds timeout);

 private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::optional<AdmissionResult> admission_;
};

/// Admits the calls that enter at this node. Public functions post events to
/// the queue of the controller's own thread, which makes all decisions.
class AdmissionController {
 public:
  using Sender = std::function<void(const PeerTarget&, const PeerMessage&)>;

  AdmissionController(const NodeSettings& settings, InstanceId instance,
                      std::string address, Sender send, Metrics* metrics);
  ~AdmissionController();
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  void Start();

  /// Takes a token of `workspace` (none if empty) and selects a server of
  /// `service`. Blocks the caller's thread for up to `timeout`.
  AdmissionResult Admit(const std::string& workspace,
                        const std::string& service, nanoseconds timeout);
  /// Selects a server of `service` for a call that the backend server beside
  /// this node makes. It takes no token, and that server only if there is no
  /// other: its slots may all be held by calls that wait for nested ones.
  AdmissionResult AdmitNested(const std::string& service, nanoseconds timeout);
  /// Selects a server for a further attempt of a call that did not run at the
  /// servers in `tried`. Refuses the call if the retry budget is exhausted.
  AdmissionResult Retry(const std::string& service, std::set<std::string> tried,
                        nanoseconds timeout);
  /// Records the end of an attempt. `load` is null if no response came;
  /// `unresponsive` tells that the server's node did not respond.
  void OnAttemptEnded(const std::string& server, const LoadReport* load,
                      bool unresponsive);

  /// Queues a peer's message; returns false if the queue is full.
  bool OnPeerMessage(PeerTarget from, PeerMessage message);
  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot);
  void OnVmsLeaving(std::vector<std::string> leaving);
  void OnConfigView(const ConfigView& view);
  void OnTick();
  /// Returns the number of rate shards that this node owns. Thread-safe.
  std::size_t shard_count() const { return shard_count_.load(); }

 private:
  struct AdmitEvent {
    std::string workspace;
    std::string service;
    bool nested = false;
    std::shared_ptr<PendingAdmission> pending;
  };
  struct RetryEvent {
    std::string service;
    std::set<std::string> tried;
    std::shared_ptr<PendingAdmission> pending;
  };
  struct AttemptEndedEvent {
    std::string server;
    std::optional<LoadReport> load;
    bool unresponsive = false;
  };
  struct PeerEvent {
    PeerTarget from;
    PeerMessage message;
  };
  struct SnapshotEvent {
    std::shared_ptr<const Snapshot> snapshot;
  };
  struct VmsLeavingEvent {
    std::vector<std::string> leaving;
  };
  struct ConfigViewEvent {
    Version version;
    Instant confirmed_at;
    Instant published_at;
  };
  struct TickEvent {};
  using Event =
      std::variant<AdmitEvent, RetryEvent, AttemptEndedEvent, PeerEvent,
                   SnapshotEvent, VmsLeavingEvent, ConfigViewEvent, TickEvent>;
  struct WaitingCall {
    std::string service;
    std::shared_ptr<PendingAdmission> pending;
  };

  AdmissionResult PostAndWait(Event event,
                              const std::shared_ptr<PendingAdmission>& pending,
                              nanoseconds timeout);
  void Run();
  void Handle(Event event);
  void HandlePeer(const PeerEvent& event, Instant now);
  void HandleAdmit(const AdmitEvent& event, Instant now);
  void HandleRetry(const RetryEvent& event, Instant now);
  void AssignServer(const std::string& service,
                    const std::set<std::string>& tried,
                    PendingAdmission* pending, Instant now);
  void AssignOtherServer(const std::string& service, PendingAdmission* pending,
                         Instant now);
  void Resolve(const RateDecision& decision, Instant now);
  void FlushRateLimiter(Instant now);
  void SendProbes(Instant now);

  const std::string self_;
  const std::string address_;
  const Sender send_;
  Metrics* const metrics_;
  const bool owns_shards_;
  std::unique_ptr<RateLimiter> rate_limiter_;
  RateShardOwner shard_owner_;
  ReachabilityProber prober_;
  std::unique_ptr<LoadBalancer> load_balancer_;
  RetryBudget retry_budget_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::map<std::uint64_t, WaitingCall> waiting_;
  std::uint64_t last_ticket_id_ = 0;
  Instant next_probe_at_ = kNever;
  std::atomic<std::size_t> shard_count_{0};
  BoundedQueue<Event> events_;
  std::mutex config_view_mutex_;
  ConfigViewEvent last_config_view_;
  std::thread thread_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_ADMISSION_CONTROLLER_H_
