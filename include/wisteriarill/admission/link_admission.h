/// \file
/// Admits request bodies to a VM's link. Without it, bodies that several nodes
/// send at once fill the link's queue, and short requests and responses of the
/// same VM wait behind them.
#ifndef WISTERIARILL_ADMISSION_LINK_ADMISSION_H_
#define WISTERIARILL_ADMISSION_LINK_ADMISSION_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Gives each body a time slot on the receiving link, in order of arrival, so
/// that bodies leave a part of the link free. Does no I/O, reads no clock, and
/// is used from one thread.
class LinkAdmission {
 public:
  /// `megabits` is the link's rate in Mbit/s. With zero, the rate is unknown
  /// and every body is admitted at once.
  explicit LinkAdmission(double megabits)
      : megabits_(megabits * kBodyFraction) {}

  /// Reserves the link for `bytes`. Returns how long the sender has to wait
  /// before it sends them, or nothing, and reserves nothing, if that is longer
  /// than `max_wait`.
  std::optional<nanoseconds> TryReserve(std::uint64_t bytes,
                                        nanoseconds max_wait, Instant now) {
    const Instant start = std::max(free_at_, now);
    const nanoseconds wait = start - now;
    if (wait > max_wait) return std::nullopt;
    free_at_ = start + ReceiveTime(bytes);
    return wait;
  }

  /// Returns how long a body that is announced at `now` would have to wait.
  microseconds QueueDelay(Instant now) const {
    if (free_at_ <= now) return microseconds(0);
    return std::chrono::duration_cast<microseconds>(free_at_ - now);
  }

 private:
  /// Fraction of the link's rate that bodies use. Short messages pass beside
  /// them without waiting, and bodies of local callers need a part, too.
  static constexpr double kBodyFraction = 0.75;

  microseconds ReceiveTime(std::uint64_t bytes) const {
    if (megabits_ <= 0) return microseconds(0);
    const double micros = static_cast<double>(bytes) * 8 / megabits_;
    return microseconds(static_cast<std::int64_t>(micros));
  }

  double megabits_;
  Instant free_at_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_ADMISSION_LINK_ADMISSION_H_
