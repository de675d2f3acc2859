#include "wisteriarill/process/timer_service.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace wisteriarill {
namespace {

constexpr nanoseconds kMaxIdleWait = seconds(1);

}  // namespace

TimerService::TimerService() : thread_([this] { Run(); }) {}

TimerService::~TimerService() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_up_.notify_all();
  thread_.join();
}

TimerId TimerService::Subscribe(nanoseconds interval, Callback callback) {
  const std::lock_guard lock(mutex_);
  const TimerId id{++last_id_};
  subscriptions_[id] =
      Subscription{interval, BootClock::now() + interval, std::move(callback)};
  wake_up_.notify_all();
  return id;
}

void TimerService::Unsubscribe(TimerId id) {
  if (std::this_thread::get_id() == thread_.get_id()) {
    const std::lock_guard lock(mutex_);
    subscriptions_.erase(id);
    return;
  }
  const std::lock_guard running(callback_mutex_);
  const std::lock_guard lock(mutex_);
  subscriptions_.erase(id);
}

Instant TimerService::NextDue() const {
  Instant next = BootClock::now() + kMaxIdleWait;
  for (const auto& [id, subscription] : subscriptions_) {
    next = std::min(next, subscription.due);
  }
  return next;
}

void TimerService::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const nanoseconds wait = NextDue() - BootClock::now();
    if (wait > nanoseconds::zero()) {
      wake_up_.wait_for(lock, wait);
      continue;
    }
    const Instant now = BootClock::now();
    std::vector<Callback> due;
    for (auto& [id, subscription] : subscriptions_) {
      if (subscription.due > now) continue;
      subscription.due = now + subscription.interval;
      due.push_back(subscription.callback);
    }
    lock.unlock();
    {
      const std::lock_guard running(callback_mutex_);
      for (const Callback& callback : due) callback(now);
    }
    lock.lock();
  }
}

}  // namespace wisteriarill
