/// \file
/// A bounded queue that passes work between the threads of a process.
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

/// A thread-safe multi-producer, multi-consumer FIFO queue of at most
/// `capacity` items.
template <typename T>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t capacity) : capacity_(capacity) {}

  /// Appends `item` without blocking; returns false if the queue is full or
  /// closed.
  bool TryPush(T item) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || items_.size() >= capacity_) return false;
      items_.push_back(std::move(item));
    }
    not_empty_.notify_one();
    return true;
  }

  /// Appends `item`, blocking while the queue is full; returns false if the
  /// queue is closed.
  bool Push(T item) {
    {
      std::unique_lock lock(mutex_);
      not_full_.wait(lock,
                     [this] { return closed_ || items_.size() < capacity_; });
      if (closed_) return false;
      items_.push_back(std::move(item));
    }
    not_empty_.notify_one();
    return true;
  }

  /// Removes and returns the oldest item, waiting up to `timeout` for one.
  /// Returns nothing on timeout, or when the queue is closed and empty.
  std::optional<T> PopFor(nanoseconds timeout) {
    std::unique_lock lock(mutex_);
    not_empty_.wait_for(lock, timeout,
                        [this] { return closed_ || !items_.empty(); });
    if (items_.empty()) return std::nullopt;
    T item = std::move(items_.front());
    items_.pop_front();
    lock.unlock();
    not_full_.notify_one();
    return item;
  }

  /// Rejects further items and wakes all blocked producers and consumers.
  /// Items that are already queued can still be taken.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_empty_.notify_all();
    not_full_.notify_all();
  }

  /// Returns whether Close() was called.
  bool closed() const {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

 private:
  const std::size_t capacity_;
  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  std::deque<T> items_;
  bool closed_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_BOUNDED_QUEUE_H_
