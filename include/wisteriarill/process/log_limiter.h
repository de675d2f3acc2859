/// \file
/// Decides which lines of a log are written when there are many. Answers the
/// load of a node that refuses most of its callers: each refusal is a line.
#ifndef WISTERIARILL_PROCESS_LOG_LIMITER_H_
#define WISTERIARILL_PROCESS_LOG_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Lets a bounded number of lines of each event through in a second. No I/O,
/// no clock, one thread at a time.
class LogLimiter {
 public:
  explicit LogLimiter(std::uint32_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  /// Returns whether a line of `event` may be written at `now`.
  bool Allow(std::string_view event, Instant now);
  /// Returns how many lines of each event were left out since the last call.
  std::map<std::string, std::uint64_t> TakeLeftOut();

 private:
  struct Book {
    Instant second_began = kNever;
    std::uint32_t written = 0;
    std::uint64_t left_out = 0;
  };

  std::uint32_t lines_per_second_;
  std::map<std::string, Book, std::less<>> books_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_LOG_LIMITER_H_
