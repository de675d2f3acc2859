/// \file
/// The clock for all decisions. It is monotonic and keeps counting while the VM
/// is suspended, so that a resumed process sees how long it was suspended.
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
  // The C++ standard requires this name for clocks.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  /// Returns the time since boot, including time spent suspended.
  static time_point now() noexcept;
};

/// A point in time of BootClock. Classes that make decisions receive the time
/// as an argument and never read a clock, so tests control their time.
using Instant = BootClock::time_point;

/// The earliest Instant; stands for an event that has not happened.
inline constexpr Instant kNever = Instant::min();

/// Returns `d` in milliseconds, truncated; for logs and reports.
template <typename Duration>
constexpr std::int64_t ToMillis(Duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

/// Returns `d` in microseconds, truncated; for wire fields and reports.
template <typename Duration>
constexpr std::int64_t ToMicros(Duration d) {
  return std::chrono::duration_cast<microseconds>(d).count();
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_TIME_H_
