/// \file
/// The admission duty: a thread that decides rates and routes for calls that
/// enter here, and gives out tokens of the parts whose home this node is.
#ifndef WISTERIARILL_PROCESS_ADMISSION_DUTY_H_
#define WISTERIARILL_PROCESS_ADMISSION_DUTY_H_

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
#include "wisteriarill/process/bounded_ring.h"
#include "wisteriarill/process/metrics.h"
#include "wisteriarill/process/node_settings.h"
#include "wisteriarill/process/rate_admission.h"
#include "wisteriarill/process/rate_home.h"
#include "wisteriarill/process/reach_probe.h"
#include "wisteriarill/process/route_chooser.h"
#include "wisteriarill/request/retry_budget.h"
#include "wisteriarill/version/config_manager.h"

namespace wisteriarill {

/// The decision on a call that wants to enter.
struct Admission {
  Refusal refusal = Refusal::kNone;
  microseconds retry_after{};
  Choice choice;  ///< Set if not refused.
};

/// Where a caller's thread waits for its Admission.
class AdmissionSlot {
 public:
  void Set(Admission admission);
  std::optional<Admission> WaitFor(nanoseconds timeout);

 private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::optional<Admission> admission_;
};

class AdmissionDuty {
 public:
  using Sender = std::function<void(const PeerTarget&, const PeerMessage&)>;

  AdmissionDuty(const NodeSettings& settings, InstanceId instance,
                std::string address, Sender send, Metrics* metrics);
  ~AdmissionDuty();
  AdmissionDuty(const AdmissionDuty&) = delete;
  AdmissionDuty& operator=(const AdmissionDuty&) = delete;

  void Start();

  /// Takes a token of `workspace` (none if empty) and chooses a server of
  /// `service`. Blocks the caller's thread up to `timeout`.
  Admission Admit(const std::string& workspace, const std::string& service,
                  nanoseconds timeout);
  /// Chooses again for a call that did not run at `tried`; refused if the
  /// retry budget is spent.
  Admission Retry(const std::string& service, std::set<std::string> tried,
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
  std::size_t part_count() const { return part_count_.load(); }

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

  Admission Ask(Event event, const std::shared_ptr<AdmissionSlot>& slot,
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
  std::unique_ptr<RateAdmission> rates_;
  RateHome home_;
  ReachProbe probe_;
  std::unique_ptr<RouteChooser> chooser_;
  RetryBudget budget_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t last_ticket_ = 0;
  Instant next_probe_ = kNever;
  std::atomic<std::size_t> part_count_{0};
  BoundedRing<Event> events_;
  std::mutex view_mutex_;
  ViewEvent last_view_;
  std::thread thread_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_ADMISSION_DUTY_H_
