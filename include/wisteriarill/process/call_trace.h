/// \file
/// Analyzes the logs of nodes: explains what happened to one call, and counts
/// rejected and failed calls over time.
#ifndef WISTERIARILL_PROCESS_CALL_TRACE_H_
#define WISTERIARILL_PROCESS_CALL_TRACE_H_

#include <istream>
#include <map>
#include <string>
#include <vector>

namespace wisteriarill {

/// The key=value fields of one log line.
using LogFields = std::map<std::string, std::string>;

/// Parses a log line. Text before the first field, such as the prefix that a
/// log collector adds, is skipped.
LogFields ParseLogLine(const std::string& line);

/// Collects the log lines of one call and of its nested calls, the calls that
/// servers made while they ran it.
class CallTrace {
 public:
  explicit CallTrace(std::string id) : id_(std::move(id)) {}

  /// Reads a node's log and keeps the lines that concern the call.
  void Read(std::istream& log);
  /// Returns a readable description of every kept line, ordered by time,
  /// followed by the reason for the call's outcome.
  std::string Render();
  /// Returns whether no log line of the call was found.
  bool empty() const { return lines_.empty(); }

 private:
  std::string id_;
  std::vector<LogFields> lines_;
};

/// Counts rejected and failed calls by cause.
class CallSummary {
 public:
  /// Reads a node's log and adds its counts.
  void Read(std::istream& log);
  /// Returns one line per second with a bar for each cause, and the totals.
  std::string Render() const;

 private:
  /// Keyed by second ("2026-12-04T14:00:01") and by cause, the HTTP status and
  /// the reason ("503 backend-full").
  std::map<std::string, std::map<std::string, std::size_t>> counts_by_second_;
  std::size_t omitted_lines_ = 0;  ///< Lines that the nodes suppressed or lost.
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_CALL_TRACE_H_
