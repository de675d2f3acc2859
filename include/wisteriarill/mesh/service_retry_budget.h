/// \file
/// This node's part of the fleet's budget for second attempts at a service.
/// Answers the load of failing servers: what retries add stays a bounded
/// share of first attempts, in any window, over all nodes together.
#ifndef WISTERIARILL_MESH_SERVICE_RETRY_BUDGET_H_
#define WISTERIARILL_MESH_SERVICE_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

struct ServiceRetryBudgetOptions {
  double ratio = 0.2;  ///< Second attempts for each first one.
  seconds window{10};
  double slack = 0;       ///< Second attempts in a window, over all nodes.
  std::size_t nodes = 1;  ///< That share the slack.
};

/// Who wants a second attempt. A caller comes back by itself; a server that
/// waits for a call fails with it, and what it has run is lost.
enum class RetryRequester { kCaller, kServer };

/// No I/O, no clock, one thread.
class ServiceRetryBudget {
 public:
  /// The parts of the fleet's budget that are spent on callers' requests, and
  /// on these and calls of servers; the rest covers the calls that repeated
  /// requests make.
  static constexpr double kCallersPart = 0.4;
  static constexpr double kSpentPart = 0.5;

  void Configure(const ServiceRetryBudgetOptions& options) { options_ = options; }

  /// Notes a first attempt at `service`.
  void OnFirstAttempt(const std::string& service, Instant now) {
    Book& book = books_[service];
    Forget(&book, now);
    book.firsts.push_back(now);
  }

  /// Returns whether a second attempt at `service` is left.
  bool CanRetry(const std::string& service, RetryRequester claim, Instant now) {
    Book& book = books_[service];
    Forget(&book, now);
    const double part =
        claim == RetryRequester::kCaller ? kCallersPart : kSpentPart;
    return static_cast<double>(book.seconds.size() + 1) <= part * Allowed(book);
  }

  /// Spends a second attempt at `service`; false if none is left.
  bool TryTakeRetry(const std::string& service, RetryRequester claim, Instant now) {
    if (!CanRetry(service, claim, now)) return false;
    books_[service].seconds.push_back(now);
    return true;
  }

 private:
  struct Book {
    std::deque<Instant> firsts;
    std::deque<Instant> seconds;
  };

  double Allowed(const Book& book) const {
    const double firsts = static_cast<double>(book.firsts.size());
    const double nodes =
        static_cast<double>(std::max<std::size_t>(1, options_.nodes));
    return options_.ratio * firsts + options_.slack / nodes;
  }

  void Forget(Book* book, Instant now) const {
    const Instant oldest = now - options_.window;
    while (!book->firsts.empty() && book->firsts.front() < oldest) {
      book->firsts.pop_front();
    }
    while (!book->seconds.empty() && book->seconds.front() < oldest) {
      book->seconds.pop_front();
    }
  }

  ServiceRetryBudgetOptions options_;
  std::map<std::string, Book> books_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_SERVICE_RETRY_BUDGET_H_
