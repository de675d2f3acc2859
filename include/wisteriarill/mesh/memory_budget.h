/// \file
/// Bounds the memory that a node uses for one purpose, so that a burst is
/// refused instead of ending the process.
#ifndef WISTERIARILL_MESH_MEMORY_BUDGET_H_
#define WISTERIARILL_MESH_MEMORY_BUDGET_H_

#include <cassert>
#include <cstddef>
#include <utility>

namespace wisteriarill {

/// Counts bytes in use. Does no I/O, and is used from one thread.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::size_t used_bytes() const { return used_bytes_; }

 private:
  friend class MemoryReservation;

  std::size_t max_bytes_;
  std::size_t used_bytes_ = 0;
};

/// Bytes of a budget, given back when the reservation ends.
class MemoryReservation {
 public:
  /// Without a budget, every size is granted.
  explicit MemoryReservation(MemoryBudget* budget) : budget_(budget) {}
  ~MemoryReservation() { Release(); }
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  /// Changes the size of the reservation. Returns false and changes nothing if
  /// the budget doesn't have the bytes.
  bool Resize(std::size_t bytes) {
    if (budget_ == nullptr) return true;
    assert(budget_->used_bytes_ >= bytes_ &&
           "reservations are given back once");
    const std::size_t others = budget_->used_bytes_ - bytes_;
    if (bytes > bytes_ && others + bytes > budget_->max_bytes_) return false;
    budget_->used_bytes_ = others + bytes;
    bytes_ = bytes;
    return true;
  }
  void Release() { Resize(0); }

 private:
  MemoryBudget* budget_;
  std::size_t bytes_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_MEMORY_BUDGET_H_
