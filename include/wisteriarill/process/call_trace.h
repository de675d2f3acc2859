/// \file
/// Explains from the logs of nodes what happened to a call, and how calls
/// ended over time.
#ifndef WISTERIARILL_PROCESS_CALL_TRACE_H_
#define WISTERIARILL_PROCESS_CALL_TRACE_H_

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace wisteriarill {

/// The key=value fields of one log line. Text before the first of them, such
/// as what a log collector adds, is skipped.
using LogFields = std::map<std::string, std::string>;

/// Parses a log line.
LogFields ParseLogLine(const std::string& line);

/// The lines of one call and of the calls that its servers made for it.
class CallTrace {
 public:
  explicit CallTrace(std::string id) : id_(std::move(id)) {}

  /// Takes the lines of a log that are about the call.
  void Read(std::istream& log);
  /// Returns all lines in the order of their times, in words, and why the
  /// call ended as it did.
  std::string Render();
  bool empty() const { return lines_.empty(); }

 private:
  std::string id_;
  std::vector<LogFields> lines_;
};

/// Counts refusals and failures by cause.
class CallSummary {
 public:
  void Read(std::istream& log);
  /// Returns a line a second with a bar for each cause, and their sums.
  std::string Render() const;

 private:
  /// By second ("2026-12-04T14:00:01") and cause ("503 backend-full").
  std::map<std::string, std::map<std::string, std::size_t>> ends_;
  std::size_t left_out_ = 0;  ///< Lines that were not written.
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_CALL_TRACE_H_
