/// \file
/// Rate limit for log lines. A node that rejects most of its calls would
/// otherwise write one line per rejection.
#ifndef WISTERIARILL_PROCESS_LOG_LIMITER_H_
#define WISTERIARILL_PROCESS_LOG_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Allows a limited number of lines per event and second. Performs no I/O,
/// reads no clock, and is not thread-safe.
class LogLimiter {
 public:
  explicit LogLimiter(std::uint32_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  /// Returns whether a line of `event` may be written at `now`, and counts it.
  bool Allow(std::string_view event, Instant now);
  /// Returns how many lines of each event were suppressed since the last call.
  /// Events without suppressed lines are omitted.
  std::map<std::string, std::uint64_t> TakeSuppressed();

 private:
  struct EventCounter {
    Instant window_start = kNever;
    std::uint32_t written_in_window = 0;
    std::uint64_t suppressed = 0;
  };

  std::uint32_t lines_per_second_;
  std::map<std::string, EventCounter, std::less<>> counters_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_LOG_LIMITER_H_
