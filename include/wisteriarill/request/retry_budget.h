/// \file
/// A retry budget that keeps retries a small fraction of all calls.
#ifndef WISTERIARILL_REQUEST_RETRY_BUDGET_H_
#define WISTERIARILL_REQUEST_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace wisteriarill {

/// Each first attempt earns 0.09 retries, and each retry spends one. Any series
/// of calls has at most 0.09 retries per call, plus the 10 retries that can be
/// saved up. Not thread-safe.
class RetryBudget {
 public:
  /// Records the first attempt of a call.
  void OnFirstAttempt() {
    saved_ = std::min(saved_ + kEarnedPerFirstAttempt, kMaxSaved);
  }
  /// Spends one retry; returns false if less than one is left.
  bool TryTakeRetry() {
    if (saved_ < kRetryCost) return false;
    saved_ -= kRetryCost;
    return true;
  }

 private:
  // All in hundredths of a retry.
  static constexpr std::int64_t kRetryCost = 100;
  static constexpr std::int64_t kEarnedPerFirstAttempt = 9;
  static constexpr std::int64_t kMaxSaved = 1000;

  std::int64_t saved_ = kMaxSaved / 2;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REQUEST_RETRY_BUDGET_H_
