/// \file
/// Structured logging: one line of key=value pairs per event. The API keys of
/// callers are never logged.
#ifndef WISTERIARILL_PROCESS_LOG_H_
#define WISTERIARILL_PROCESS_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include "wisteriarill/process/error.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets up the log of a daemon. Lines go to standard output with the time, the
/// level and `name`. A separate thread writes them from a bounded queue, so
/// that a log reader that stops reading does not block the daemon. When the
/// queue is full, the oldest lines are dropped and counted. Call once, before
/// any LogEvent.
void InitializeLog(std::string_view name, LogLevel min_level);
/// Sets up the log of a command-line tool: every line is written synchronously
/// to standard error.
void InitializeToolLog(std::string_view name, LogLevel min_level);
/// Logs how many lines were dropped from the full queue or suppressed by the
/// rate limit since the last call, if any. Daemons call it once a second.
void ReportLostLogLines();
/// Waits up to 100 ms for queued log lines to be written, then exits the
/// process with `code`. The limit keeps a log reader that does not read from
/// delaying the exit.
[[noreturn]] void FlushLogAndExit(int code);

/// Builds one log line and writes it on destruction.
class LogEvent {
 public:
  LogEvent(LogLevel level, std::string_view event);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  /// Adds a text field. The value is quoted if it is empty or contains
  /// whitespace, quotes, backslashes or '='.
  LogEvent& With(std::string_view key, std::string_view value);
  /// Adds a numeric field.
  template <typename T, typename = std::enable_if_t<std::is_arithmetic_v<T>>>
  LogEvent& With(std::string_view key, T value) {
    return With(key, std::string_view(std::to_string(value)));
  }
  /// Adds the kind, message and remedy of `error` as three fields.
  LogEvent& With(const Error& error);

 private:
  LogLevel level_;
  bool enabled_;  ///< False if the line exceeds the event's rate limit.
  std::string line_;
};

/// Returns `value`, quoted if a parser of key=value pairs needs it. Control
/// characters are replaced by spaces in a quoted value.
std::string QuoteLogValue(std::string_view value);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_LOG_H_
