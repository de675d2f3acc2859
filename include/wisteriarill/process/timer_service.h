/// \file
/// Periodic timers that the components of a process subscribe to.
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

/// Identifies a subscription of a TimerService.
using TimerId = TypedId<struct TimerTag, std::uint64_t>;

/// Runs callbacks periodically on a single thread of its own. A callback must
/// return quickly, because it delays all others: it only enqueues work for the
/// component that subscribed.
class TimerService {
 public:
  /// Takes the time at which the timer fired.
  using Callback = std::function<void(Instant)>;

  TimerService();
  ~TimerService();
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;

  /// Calls `callback` every `interval`. After a late wake-up it runs once, not
  /// once for each missed interval.
  TimerId Subscribe(nanoseconds interval, Callback callback);

  /// Ends a subscription. Blocks until the callback is not running, unless
  /// called from a callback.
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
  std::mutex callback_mutex_;
  std::condition_variable wake_up_;
  std::map<TimerId, Subscription> subscriptions_;
  std::uint64_t last_id_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_TIMER_SERVICE_H_
