/// \file
/// Decides when calls go to the backend server beside the node. The node is
/// its only sender, so what is in flight is known exactly. Answers two loads:
/// more calls than slots (queue by urgency, refuse what would come too late)
/// and a cold server (requests in any one second bounded).
#ifndef WISTERIARILL_MESH_BACKEND_ADMISSION_QUEUE_H_
#define WISTERIARILL_MESH_BACKEND_ADMISSION_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "wisteriarill/process/ids.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Names one call at a gate.
using BackendAdmissionTicket = TypedId<struct GateTicketTag, std::uint64_t>;

struct BackendAdmissionOptions {
  std::uint32_t slots = 1;  ///< In flight at most.
  double cold_rate = 0;     ///< Requests in any second while cold; 0: any.
};

/// A call that wants to run.
struct BackendAdmissionRequest {
  std::int32_t urgency = 0;  ///< Lower goes first.
  Instant patience;          ///< Refused if it can't start by then.
};

enum class BackendAdmissionDecision { kAdmit, kWait, kReject };

/// What other nodes are told of a gate.
struct BackendLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  microseconds service_time{0};  ///< Smoothed time that one call runs.
  bool cold = false;
  microseconds link_delay{0};  ///< Until an answer goes out to other VMs.
};

/// The decision. No I/O, no clock, one thread.
class BackendAdmissionQueue {
 public:
  void Configure(const BackendAdmissionOptions& options) { options_ = options; }

  /// Marks the server cold until `until`.
  void SetColdUntil(Instant until) { cold_until_ = until; }
  bool IsCold(Instant now) const { return now < cold_until_; }
  /// Holds calls back, such as while the server is asked whether it is cold.
  void SetPaused(bool paused) { paused_ = paused; }

  /// Takes a call; kWait means that TakeAdmitted names it later or never.
  BackendAdmissionDecision TryAdmit(BackendAdmissionTicket ticket, const BackendAdmissionRequest& offer, Instant now);
  /// Takes the end of a running call; a zero `ran` says nothing of speed.
  void OnCallFinished(microseconds ran, Instant now);
  /// Forgets a waiting call.
  void CancelQueued(BackendAdmissionTicket ticket);
  /// Returns the waiting calls that may run now.
  std::vector<BackendAdmissionTicket> TakeAdmitted(Instant now);
  /// Returns how long a call of `urgency` offered now would wait.
  microseconds ExpectedWait(std::int32_t urgency, Instant now) const;

  BackendLoad load(Instant now) const;
  std::uint32_t running() const { return running_; }

 private:
  struct Waiting {
    BackendAdmissionTicket ticket;
    Instant patience;
  };

  bool HasRoom(Instant now);
  std::deque<Waiting>* NextQueue();
  void Start(Instant now);
  std::uint32_t WaitingBefore(std::int32_t urgency) const;

  BackendAdmissionOptions options_;
  std::uint32_t running_ = 0;
  Instant cold_until_ = kNever;
  bool paused_ = false;
  std::deque<Instant> starts_;  ///< Of the last second.
  std::map<std::int32_t, std::deque<Waiting>> queues_;
  microseconds service_time_{50000};
  std::uint32_t admissions_ = 0;  ///< From the queues.
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_BACKEND_ADMISSION_QUEUE_H_
