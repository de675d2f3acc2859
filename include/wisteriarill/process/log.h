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

namespace wisteriarill {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Sets up the process's logger: lines go to standard error with a time, the
/// level and `role`. Call once, before any LogEvent.
void InitializeLog(std::string_view role, LogLevel least);

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
  std::string line_;
};

/// Returns `value`, quoted where a key=value reader needs it.
std::string QuoteLogValue(std::string_view value);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_LOG_H_
