/// \file
/// Simulated time: runs callbacks in order of their moments.
#ifndef WISTERIARILL_MODEL_EVENT_QUEUE_H_
#define WISTERIARILL_MODEL_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Events at one moment run in the order in which they were added.
class EventQueue {
 public:
  using Action = std::function<void()>;

  /// Runs `action` at `at`, or now if that has passed.
  void At(Instant at, Action action) {
    events_.push(Event{at < now_ ? now_ : at, ++last_, std::move(action)});
  }
  /// Runs `action` after `delay`.
  void After(nanoseconds delay, Action action) {
    At(now_ + delay, std::move(action));
  }
  /// Runs everything up to and including `end`.
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
    std::uint64_t order;
    Action action;
    friend bool operator<(const Event& a, const Event& b) {
      return std::pair(b.at, b.order) < std::pair(a.at, a.order);
    }
  };

  std::priority_queue<Event> events_;
  Instant now_{};
  std::uint64_t last_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MODEL_EVENT_QUEUE_H_
