/// \file
/// Keeps retries a small share of calls, whatever fails.
#ifndef WISTERIARILL_REQUEST_RETRY_BUDGET_H_
#define WISTERIARILL_REQUEST_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace wisteriarill {

/// Each first attempt earns a part of a retry; each retry spends a whole one.
/// Over any stretch of calls, attempts stay under 1 + kShare times the calls,
/// plus kMostSaved.
class RetryBudget {
 public:
  /// Notes a first attempt.
  void OnFirstAttempt() { saved_ = std::min(saved_ + kEarned, kMostSaved); }
  /// Spends a retry; false if there is none left.
  bool TryTakeRetry() {
    if (saved_ < kWhole) return false;
    saved_ -= kWhole;
    return true;
  }

 private:
  // In hundredths of a retry.
  static constexpr std::int64_t kWhole = 100;
  static constexpr std::int64_t kEarned = 9;
  static constexpr std::int64_t kMostSaved = 1000;

  std::int64_t saved_ = kMostSaved / 2;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REQUEST_RETRY_BUDGET_H_
