#include "wisteriarill/process/call_trace.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace wisteriarill {
namespace {

/// Length of a timestamp up to its seconds, as in "2026-12-04T14:00:01".
constexpr std::size_t kSecondLength = 19;
constexpr std::size_t kMaxBarLength = 60;

std::string FieldOrEmpty(const LogFields& fields, const std::string& key) {
  const auto found = fields.find(key);
  return found == fields.end() ? std::string() : found->second;
}

// Returns what a logged reason of a rejected or failed call means, and what to
// check next.
std::string_view ExplainReason(std::string_view reason) {
  static const std::map<std::string_view, std::string_view> kExplanations = {
      {"over-rate",
       "the workspace exceeded its rate; see the rate_home lines in the log of "
       "the node that owns its tokens"},
      {"home-silent",
       "the node that owns the workspace's tokens did not respond in time; "
       "check whether that node or the link to it was overloaded or broken"},
      {"backend-full",
       "no server had a free slot early enough to meet the latency objective"},
      {"link-full",
       "the link of the server's VM had no room for the request body in time"},
      {"peer-no-permission",
       "the node beside the server did not say that the body may be sent; the "
       "body was not sent"},
      {"server-refused", "the server refused the call without running it"},
      {"server-failure", "the servers responded with failures of their own"},
      {"no-answer",
       "the server received the call and its connection closed without a "
       "response; the call may have run"},
      {"peer-no-answer",
       "the node beside the server received the call and stopped responding; "
       "the call may have run"},
      {"answer-cut", "the server's response was truncated"},
      {"answer-stalled", "the server's response stalled"},
      {"deadline-passed",
       "the deadline passed; check where and how long the call ran"},
      {"unknown-key",
       "no workspace of the current configuration version has the key"},
      {"no-route",
       "the current configuration version has no route for host and path"},
      {"no-configuration", "the node had no configuration yet"},
      {"no-server", "no registered server of the service accepts calls"},
      {"stopping", "the node was being stopped"},
      {"server-draining", "the server was draining"},
      {"server-not-registered", "the server was no longer in the registry"},
      {"failure-domain-out",
       "the server's failure domain was taken out of service"},
      {"other-instance",
       "another server instance runs at the server's address"},
      {"peer-away", "the node beside the server was unreachable"},
      {"backend-away", "nothing listened at the server's address"},
      {"reader-left", "the caller disconnected before the response"},
  };
  const auto found = kExplanations.find(reason);
  return found == kExplanations.end() ? "unknown reason" : found->second;
}

std::string DescribeLine(const LogFields& line) {
  std::string text =
      FieldOrEmpty(line, "time") + " " + FieldOrEmpty(line, "node") + ": ";
  const std::string event = FieldOrEmpty(line, "event");
  if (event == "call_refused") {
    text += "refused with " + FieldOrEmpty(line, "status") + " after " +
            FieldOrEmpty(line, "after_ms") + " ms, reason " +
            FieldOrEmpty(line, "reason") + ", configuration " +
            FieldOrEmpty(line, "config");
    const std::string tried = FieldOrEmpty(line, "tried");
    if (!tried.empty()) text += ", tried " + tried;
  } else if (event == "attempt") {
    text += "attempt " + FieldOrEmpty(line, "attempt") + " at " +
            FieldOrEmpty(line, "server") + " (" +
            FieldOrEmpty(line, "service") + ") ended " +
            FieldOrEmpty(line, "end") + ", " + FieldOrEmpty(line, "reason") +
            ", after " + FieldOrEmpty(line, "ran_ms") + " ms with " +
            FieldOrEmpty(line, "left_ms") + " ms left";
  } else if (event == "hop_ended") {
    text += "at the node beside " + FieldOrEmpty(line, "server") +
            " the call ended " + FieldOrEmpty(line, "end") + ", " +
            FieldOrEmpty(line, "reason") + ", after " +
            FieldOrEmpty(line, "ran_ms") + " ms";
  } else {
    text += event;
  }
  return text + "\n";
}

}  // namespace

LogFields ParseLogLine(const std::string& line) {
  LogFields fields;
  std::size_t position = 0;
  while (position < line.size()) {
    const std::size_t equals = line.find('=', position);
    if (equals == std::string::npos) break;
    std::string key = line.substr(position, equals - position);
    const std::size_t space = key.rfind(' ');
    if (space != std::string::npos) key.erase(0, space + 1);
    std::size_t end = 0;
    std::string value;
    if (equals + 1 < line.size() && line[equals + 1] == '"') {
      end = line.find('"', equals + 2);
      if (end == std::string::npos) end = line.size();
      value = line.substr(equals + 2, end - equals - 2);
      ++end;
    } else {
      end = line.find(' ', equals);
      if (end == std::string::npos) end = line.size();
      value = line.substr(equals + 1, end - equals - 1);
    }
    fields[key] = value;
    position = end + 1;
  }
  return fields;
}

void CallTrace::Read(std::istream& log) {
  std::string text;
  while (std::getline(log, text)) {
    if (text.find(id_) == std::string::npos) continue;
    LogFields line = ParseLogLine(text);
    const std::string id = FieldOrEmpty(line, "id");
    // The id of a nested call is the id of its parent, a dot and a suffix.
    const bool is_own = id == id_ || id.starts_with(id_ + ".");
    if (is_own) lines_.push_back(std::move(line));
  }
}

std::string CallTrace::Render() {
  std::stable_sort(lines_.begin(), lines_.end(),
                   [](const LogFields& a, const LogFields& b) {
                     return FieldOrEmpty(a, "time") < FieldOrEmpty(b, "time");
                   });
  std::string text;
  const LogFields* final_line = nullptr;
  const LogFields* failed_nested_line = nullptr;
  for (const LogFields& line : lines_) {
    text += DescribeLine(line);
    const bool is_end = FieldOrEmpty(line, "event") != "hop_ended";
    if (is_end && FieldOrEmpty(line, "id") == id_) final_line = &line;
    if (is_end && FieldOrEmpty(line, "id") != id_ &&
        FieldOrEmpty(line, "end") != "delivered") {
      failed_nested_line = &line;
    }
  }
  if (final_line == nullptr) {
    return text +
           "conclusion: the log of the call's ingress is missing, or the " +
           "first attempt succeeded within the latency objective\n";
  }
  const std::string reason = FieldOrEmpty(*final_line, "reason");
  if (FieldOrEmpty(*final_line, "end") == "delivered") {
    text += "conclusion: the caller received the server's response, status " +
            FieldOrEmpty(*final_line, "status") + ", at attempt " +
            FieldOrEmpty(*final_line, "attempt") + "\n";
  } else {
    text += "conclusion: " + reason + ": " +
            std::string(ExplainReason(reason)) + "\n";
  }
  if (failed_nested_line != nullptr) {
    const std::string nested_reason =
        FieldOrEmpty(*failed_nested_line, "reason");
    text += "a nested call failed: " + nested_reason + ": " +
            std::string(ExplainReason(nested_reason)) + "\n";
  }
  return text;
}

void CallSummary::Read(std::istream& log) {
  std::string text;
  while (std::getline(log, text)) {
    const LogFields line = ParseLogLine(text);
    const std::string event = FieldOrEmpty(line, "event");
    if (event == "call_refused") {
      const std::string second =
          FieldOrEmpty(line, "time").substr(0, kSecondLength);
      ++counts_by_second_[second][FieldOrEmpty(line, "status") + " " +
                                  FieldOrEmpty(line, "reason")];
    } else if (event == "log_lines_left_out" || event == "log_lines_lost") {
      omitted_lines_ +=
          std::strtoul(FieldOrEmpty(line, "lines").c_str(), nullptr, 10);
    }
  }
}

std::string CallSummary::Render() const {
  std::string text;
  std::map<std::string, std::size_t> sums;
  for (const auto& [second, causes] : counts_by_second_) {
    text += second;
    for (const auto& [cause, count] : causes) {
      sums[cause] += count;
      text += "  " + cause + " " + std::to_string(count) + " " +
              std::string(std::min(count, kMaxBarLength), '#');
    }
    text += "\n";
  }
  for (const auto& [cause, count] : sums) {
    const std::string reason = cause.substr(cause.find(' ') + 1);
    text += "total: " + cause + " " + std::to_string(count) + " (" +
            std::string(ExplainReason(reason)) + ")\n";
  }
  text +=
      "suppressed or lost log lines: " + std::to_string(omitted_lines_) + "\n";
  return text;
}

}  // namespace wisteriarill
