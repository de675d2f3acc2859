/// \file
/// Structured logs: one line of key=value pairs for each event. Keys of
/// callers never reach a log line.
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

/// Sets up a daemon's log: lines go to standard output with a time, the level
/// and the name of the process. They pass a bounded queue to a thread of their
/// own, so that a reader who stops reading holds nothing up; the oldest lines
/// are lost instead and counted. Call once, before any LogEvent.
void InitializeLog(std::string_view name, LogLevel least);
/// Sets up the log of a program that is no daemon: every line goes straight to
/// standard error.
void InitializeToolLog(std::string_view name, LogLevel least);
/// Logs how many lines were lost or left out since the last call, if any.
/// Daemons call it about once a second.
void ReportLostLogLines();
/// Ends a daemon: gives the last lines a moment to be written, but waits for
/// no reader.
[[noreturn]] void FlushLogAndExit(int code);

/// Builds one line and writes it when it goes out of scope.
class LogEvent {
 public:
  LogEvent(LogLevel level, std::string_view event);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  /// Adds a text field; quoted when it holds spaces, quotes or controls.
  LogEvent& With(std::string_view key, std::string_view value);
  /// Adds a number.
  template <typename T, typename = std::enable_if_t<std::is_arithmetic_v<T>>>
  LogEvent& With(std::string_view key, T value) {
    return With(key, std::string_view(std::to_string(value)));
  }
  /// Adds the kind, message and remedy of `error`.
  LogEvent& With(const Error& error);

 private:
  LogLevel level_;
  bool written_;  ///< Too many lines of one event are left out.
  std::string line_;
};

/// Returns `value`, quoted where a key=value reader needs it.
std::string QuoteLogValue(std::string_view value);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_LOG_H_
