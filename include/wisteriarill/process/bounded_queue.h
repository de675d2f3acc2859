/// \file
/// A bounded queue that joins two duties of a process.
#ifndef WISTERIARILL_PROCESS_BOUNDED_QUEUE_H_
#define WISTERIARILL_PROCESS_BOUNDED_QUEUE_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// A multi-producer, multi-consumer FIFO of at most `capacity` items.
template <typename T>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t capacity) : capacity_(capacity) {}

  /// Appends `item`; returns false when the ring is full or closed.
  bool TryPush(T item) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || items_.size() >= capacity_) return false;
      items_.push_back(std::move(item));
    }
    ready_.notify_one();
    return true;
  }

  /// Appends `item`, waiting for room; false when the ring is closed.
  bool Push(T item) {
    {
      std::unique_lock lock(mutex_);
      room_.wait(lock, [this] { return closed_ || items_.size() < capacity_; });
      if (closed_) return false;
      items_.push_back(std::move(item));
    }
    ready_.notify_one();
    return true;
  }

  /// Takes the oldest item, waiting up to `timeout`; nothing when the wait
  /// ends empty or the ring is closed and drained.
  std::optional<T> PopFor(nanoseconds timeout) {
    std::unique_lock lock(mutex_);
    ready_.wait_for(lock, timeout,
                    [this] { return closed_ || !items_.empty(); });
    if (items_.empty()) return std::nullopt;
    T item = std::move(items_.front());
    items_.pop_front();
    lock.unlock();
    room_.notify_one();
    return item;
  }

  /// Refuses further items and wakes all consumers.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
    room_.notify_all();
  }

  /// Returns whether Close was called.
  bool closed() const {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

 private:
  const std::size_t capacity_;
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::condition_variable room_;
  std::deque<T> items_;
  bool closed_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_BOUNDED_QUEUE_H_
