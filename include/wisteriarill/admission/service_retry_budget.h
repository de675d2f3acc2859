/// \file
/// A node's part of the fleet-wide retry budget of each service. It keeps
/// retries from overloading servers that already fail: over all nodes together
/// and in any window, retries stay a bounded fraction of first attempts.
#ifndef WISTERIARILL_ADMISSION_SERVICE_RETRY_BUDGET_H_
#define WISTERIARILL_ADMISSION_SERVICE_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

struct ServiceRetryBudgetOptions {
  double ratio = 0.2;  ///< Retries for each first attempt.
  seconds window{10};
  double slack = 0;       ///< Additional retries in a window, over all nodes.
  std::size_t nodes = 1;  ///< Nodes that share the slack.
};

/// Says who made the call that is to be retried. A caller can retry by itself;
/// a server that waits for a nested call fails with it, and the work that it
/// has done is lost.
enum class RetryRequester { kCaller, kServer };

/// Counts first attempts and retries of each service in a sliding window. Does
/// no I/O, reads no clock, and is used from one thread.
class ServiceRetryBudget {
 public:
  /// Fraction of the budget up to which callers' requests are retried, and
  /// fraction up to which servers' calls are. Nested calls that a retried
  /// request makes again count as retries, too, and are made even if nothing is
  /// left, so a part is kept for them.
  static constexpr double kCallerFraction = 0.4;
  static constexpr double kTotalFraction = 0.65;
  /// When this fraction of a service's budget is used and a server's call needs
  /// a retry, callers' requests get only the smaller fraction for a while: a
  /// refused caller can come back, but a failed nested call loses the work of
  /// the server that made it.
  static constexpr double kNestedPressure = 0.1;
  static constexpr double kCallerFractionUnderPressure = 0.1;

  void Configure(const ServiceRetryBudgetOptions& options) {
    options_ = options;
  }

  /// Records a first attempt at `service`.
  void OnFirstAttempt(const std::string& service, Instant now) {
    AttemptWindow& window = windows_[service];
    DropExpired(&window, now);
    window.first_attempts.push_back(now);
  }

  /// Records a nested call at `service` that was made by a request which, with
  /// the given probability, was itself a retry.
  void OnNestedCall(const std::string& service, double retry_probability,
                    Instant now) {
    AttemptWindow& window = windows_[service];
    DropExpired(&window, now);
    window.repeated_calls += retry_probability;
    if (window.repeated_calls < 1) return;
    window.repeated_calls -= 1;
    window.retries.push_back(now);
  }

  /// Returns whether the budget allows another retry at `service`.
  bool CanRetry(const std::string& service, RetryRequester requester,
                Instant now) {
    AttemptWindow& window = windows_[service];
    DropExpired(&window, now);
    return static_cast<double>(window.retries.size() + 1) <=
           Fraction(requester, now) * MaxRetries(window);
  }

  /// Takes one retry at `service` from the budget; returns false if none is
  /// left.
  bool TryTakeRetry(const std::string& service, RetryRequester requester,
                    Instant now) {
    if (!CanRetry(service, requester, now)) return false;
    AttemptWindow& window = windows_[service];
    window.retries.push_back(now);
    const bool pressure = requester == RetryRequester::kServer &&
                          static_cast<double>(window.retries.size()) >
                              kNestedPressure * MaxRetries(window);
    if (pressure) pressure_until_ = now + options_.window / 2;
    return true;
  }

 private:
  struct AttemptWindow {
    std::deque<Instant> first_attempts;
    std::deque<Instant> retries;
    /// Expected number of repeated nested calls that `retries` lacks, below 1.
    double repeated_calls = 0;
  };

  double Fraction(RetryRequester requester, Instant now) const {
    if (requester == RetryRequester::kServer) return kTotalFraction;
    return now < pressure_until_ ? kCallerFractionUnderPressure
                                 : kCallerFraction;
  }

  double MaxRetries(const AttemptWindow& window) const {
    const double first_attempts =
        static_cast<double>(window.first_attempts.size());
    const double nodes =
        static_cast<double>(std::max<std::size_t>(1, options_.nodes));
    return options_.ratio * first_attempts + options_.slack / nodes;
  }

  void DropExpired(AttemptWindow* window, Instant now) const {
    const Instant oldest = now - options_.window;
    while (!window->first_attempts.empty() &&
           window->first_attempts.front() < oldest) {
      window->first_attempts.pop_front();
    }
    while (!window->retries.empty() && window->retries.front() < oldest) {
      window->retries.pop_front();
    }
  }

  ServiceRetryBudgetOptions options_;
  std::map<std::string, AttemptWindow> windows_;
  Instant pressure_until_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_ADMISSION_SERVICE_RETRY_BUDGET_H_
