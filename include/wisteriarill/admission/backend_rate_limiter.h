/// \file
/// Spends the requests per second that a backend server says it takes. Answers
/// the load of a server in need: all requests of all nodes pass the node beside
/// it, which sends no more than the server named.
#ifndef WISTERIARILL_ADMISSION_BACKEND_RATE_LIMITER_H_
#define WISTERIARILL_ADMISSION_BACKEND_RATE_LIMITER_H_

#include <cstdint>
#include <optional>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// A token bucket that begins empty, so that a node that restarts in series
/// sends no more than one that doesn't. Does no I/O, reads no clock, and is
/// used from one thread.
class BackendRateLimiter {
 public:
  /// Sets the requests per second; unset: no limit.
  void SetRate(std::optional<double> rate, Instant now);
  bool limited() const { return rate_ > 0; }
  /// Returns the requests per second that are sent; 0: no limit.
  double rate() const { return rate_; }
  /// Returns whether a request may be sent.
  bool MaySend(Instant now) const { return WaitBehind(0, now).count() == 0; }
  /// Records that a request is sent.
  void OnSent(Instant now);
  /// Returns how long a request waits if `before` others are sent first.
  microseconds WaitBehind(std::uint32_t before, Instant now) const;
  /// Returns the time between two requests; zero: no limit.
  microseconds interval() const;

 private:
  double TokensAt(Instant now) const;

  double rate_ = 0;  ///< Requests per second; 0: no limit.
  double tokens_ = 0;
  Instant tokens_at_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_ADMISSION_BACKEND_RATE_LIMITER_H_
