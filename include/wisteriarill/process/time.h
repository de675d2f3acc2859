/// \file
/// The clock of every decision: monotonic and counting suspended time, so a
/// process that was frozen sees how long it was away.
#ifndef WISTERIARILL_PROCESS_TIME_H_
#define WISTERIARILL_PROCESS_TIME_H_

#include <chrono>
#include <cstdint>

namespace wisteriarill {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// CLOCK_BOOTTIME as a std::chrono clock.
struct BootClock {
  using duration = nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  // The standard's clock requirements set the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  /// Returns the time since boot, suspension included.
  static time_point now() noexcept;
};

/// A moment on BootClock. Decisions receive it; they never read a clock.
using Instant = BootClock::time_point;

/// The earliest Instant; used for "never happened".
inline constexpr Instant kNever = Instant::min();

/// Returns `d` in whole milliseconds, for logs and reports.
template <typename Duration>
constexpr std::int64_t ToMillis(Duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

/// Returns `d` in whole microseconds, for wire fields and reports.
template <typename Duration>
constexpr std::int64_t ToMicros(Duration d) {
  return std::chrono::duration_cast<microseconds>(d).count();
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_TIME_H_
