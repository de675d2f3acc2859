/// \file
/// Admission control for the backend server beside the node. The node is the
/// only sender, so it knows exactly how many calls are in flight. If there are
/// more calls than slots, they are queued by urgency, and a call that could not
/// start by its deadline is rejected. A cold server gets a bounded number of
/// requests in any second, and one that names a limit no more than that.
#ifndef WISTERIARILL_ADMISSION_BACKEND_ADMISSION_QUEUE_H_
#define WISTERIARILL_ADMISSION_BACKEND_ADMISSION_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wisteriarill/admission/backend_rate_limiter.h"
#include "wisteriarill/admission/service_time_estimator.h"
#include "wisteriarill/process/ids.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Identifies one call in an admission queue.
using BackendAdmissionTicket =
    TypedId<struct BackendAdmissionTicketTag, std::uint64_t>;

struct BackendAdmissionOptions {
  std::uint32_t slots = 1;  ///< Maximum number of calls in flight.
  double cold_rate = 0;     ///< Requests per second while cold; 0: no limit.
  /// Reports the wait of each level of urgency.
  bool reports_waits = false;
};

/// Expected wait of a call that is as urgent as `urgency` or less, up to the
/// next level that is listed.
struct LevelWait {
  std::int32_t urgency = 0;
  microseconds wait{0};
};

/// What the queue needs to know of a call that asks for admission.
struct BackendAdmissionRequest {
  std::int32_t urgency = 0;  ///< Lower values are admitted first.
  Instant start_deadline;  ///< The call is rejected if it can't start by then.
  /// The call may queue for the rate that the server takes. Otherwise it is
  /// rejected, so that it can run at another server.
  bool waits_for_rate = true;
};

enum class BackendAdmissionDecision { kAdmit, kQueue, kReject };

/// Load of a backend server, as its node reports it to other nodes.
struct BackendLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  microseconds service_time{0};  ///< Expected time that one call runs.
  bool cold = false;
  microseconds link_delay{0};     ///< Expected wait of a response for the link.
  microseconds receive_delay{0};  ///< Expected wait of a body for the link.
  /// Expected wait of a call for the rate that the server takes, and the time
  /// between two calls at that rate; zero: no limit.
  microseconds rate_wait{0};
  microseconds rate_interval{0};
  /// Levels in ascending order; a call that is more urgent than all starts at
  /// once.
  std::vector<LevelWait> waits;
};

/// Decides when calls may start. Does no I/O, reads no clock, and is used from
/// one thread.
class BackendAdmissionQueue {
 public:
  void Configure(const BackendAdmissionOptions& options) { options_ = options; }

  /// Marks the server cold until `until`.
  void SetColdUntil(Instant until) { cold_until_ = until; }
  bool IsCold(Instant now) const { return now < cold_until_; }
  /// Returns whether it matters that the server is cold: it has a cold rate,
  /// and names no limit below that.
  bool HasColdRate() const;
  /// Sets the requests per second that the server takes; unset: no limit. Calls
  /// that are queued may have become hopeless.
  void SetRateLimit(std::optional<double> rate, Instant now) {
    rate_limiter_.SetRate(rate, now);
  }
  /// Returns how long the next call waits for the rate that the server takes.
  microseconds RateWait(Instant now) const {
    return rate_limiter_.WaitBehind(0, now);
  }
  /// Stops admissions while `paused`, for example until a health check
  /// shows whether the server is cold.
  void SetPaused(bool paused) { paused_ = paused; }

  /// Admits, queues or rejects a call. A queued call is returned by
  /// TakeAdmitted once it may start, or never if its deadline passes first.
  BackendAdmissionDecision TryAdmit(BackendAdmissionTicket ticket,
                                    const BackendAdmissionRequest& request,
                                    Instant now);
  /// Records that a running call of `route` ended. A zero `service_time` means
  /// that it is unknown.
  void OnCallFinished(microseconds service_time, Instant now,
                      const std::string& route = "");
  /// Records that work at the server takes `factor` times as long as usual.
  void OnWorkFactor(double factor, Instant now) {
    service_times_.OnWorkFactor(factor, now);
  }
  /// Removes a queued call.
  void CancelQueued(BackendAdmissionTicket ticket);
  /// Removes queued calls whose deadline has passed and returns those that may
  /// start now. They count as running from this call on.
  std::vector<BackendAdmissionTicket> TakeAdmitted(Instant now);
  /// Removes and returns the queued calls that can't start by their deadlines.
  std::vector<BackendAdmissionTicket> TakeHopeless(Instant now);
  /// Returns how long a call of `urgency` that arrives now is expected to wait.
  microseconds ExpectedWait(std::int32_t urgency, Instant now) const;

  BackendLoad load(Instant now) const;
  std::uint32_t running() const { return running_; }
  std::size_t waiting() const;

 private:
  struct QueuedCall {
    BackendAdmissionTicket ticket;
    BackendAdmissionRequest request;
  };

  bool HasCapacity(Instant now);
  std::deque<QueuedCall>* NextQueue();
  void Start(Instant now);
  /// Returns how long a call waits if `before` others start before it.
  microseconds WaitBehind(std::uint32_t before, Instant now) const;
  /// Returns the part of that which slots and a cold server cause.
  microseconds SlotWaitBehind(std::uint32_t before, Instant now) const;
  /// Returns whether a call can start in time if `before` others start first.
  bool CanStartInTime(const BackendAdmissionRequest& request,
                      std::uint32_t before, Instant now) const;
  std::uint32_t QueuedAhead(std::int32_t urgency) const;

  BackendAdmissionOptions options_;
  std::uint32_t running_ = 0;
  Instant cold_until_ = kNever;
  bool paused_ = false;
  /// Start times within the window that a cold server's requests are counted
  /// in.
  std::deque<Instant> recent_starts_;
  std::map<std::int32_t, std::deque<QueuedCall>> queues_;
  ServiceTimeEstimator service_times_;
  BackendRateLimiter rate_limiter_;
  /// Number of calls admitted from the queues; determines whose turn it is.
  std::uint32_t queue_admissions_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_ADMISSION_BACKEND_ADMISSION_QUEUE_H_
