/// \file
/// Event queue of a discrete-event simulation: runs callbacks in order of their
/// simulated time.
#ifndef WISTERIARILL_MODEL_EVENT_QUEUE_H_
#define WISTERIARILL_MODEL_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Queue of callbacks on a simulated clock. Events scheduled for the same time
/// run in the order in which they were added.
class EventQueue {
 public:
  using Action = std::function<void()>;

  /// Schedules `action` for time `at`, or for the current time if `at` has
  /// passed.
  void ScheduleAt(Instant at, Action action) {
    events_.push(
        Event{at < now_ ? now_ : at, ++last_sequence_, std::move(action)});
  }
  /// Schedules `action` to run after `delay`.
  void ScheduleAfter(nanoseconds delay, Action action) {
    ScheduleAt(now_ + delay, std::move(action));
  }
  /// Runs all events up to and including time `end`, then sets the clock to
  /// `end`.
  void RunUntil(Instant end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    now_ = end;
  }

  Instant now() const { return now_; }

 private:
  struct Event {
    Instant at;
    std::uint64_t sequence;
    Action action;
    friend bool operator<(const Event& a, const Event& b) {
      return std::pair(b.at, b.sequence) < std::pair(a.at, a.sequence);
    }
  };

  std::priority_queue<Event> events_;
  Instant now_{};
  std::uint64_t last_sequence_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MODEL_EVENT_QUEUE_H_
