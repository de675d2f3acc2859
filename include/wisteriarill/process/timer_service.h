/// \file
/// The timer service that parts of a process subscribe to.
#ifndef WISTERIARILL_PROCESS_TIMER_SERVICE_H_
#define WISTERIARILL_PROCESS_TIMER_SERVICE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "wisteriarill/process/ids.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Names one subscription of a TimerService.
using TimerId = TypedId<struct TimerTag, std::uint64_t>;

/// Runs callbacks at intervals on one thread of its own. A callback must be
/// short: it enqueues work for the duty that subscribed.
class TimerService {
 public:
  /// Receives the time at which the timer ran.
  using Callback = std::function<void(Instant)>;

  TimerService();
  ~TimerService();
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;

  /// Calls `callback` every `interval`. After a late wake-up it runs once,
  /// not once for every interval missed.
  TimerId Subscribe(nanoseconds interval, Callback callback);

  /// Ends a subscription; the callback is not running once this returns,
  /// unless it is the caller.
  void Unsubscribe(TimerId id);

 private:
  struct Subscription {
    nanoseconds interval;
    Instant due;
    Callback callback;
  };

  void Run();
  Instant NextDue() const;

  std::mutex mutex_;
  std::mutex running_mutex_;
  std::condition_variable changed_;
  std::map<TimerId, Subscription> subscriptions_;
  std::uint64_t last_id_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_TIMER_SERVICE_H_
