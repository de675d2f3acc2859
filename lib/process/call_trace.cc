#include "wisteriarill/process/call_trace.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace wisteriarill {
namespace {

/// Characters of a time up to its second.
constexpr std::size_t kSecondLength = 19;
constexpr std::size_t kMostBar = 60;

std::string Value(const LogFields& fields, const std::string& key) {
  const auto found = fields.find(key);
  return found == fields.end() ? std::string() : found->second;
}

// What the reason of a refusal or failure means, and what to look at.
std::string_view Meaning(std::string_view reason) {
  static const std::map<std::string_view, std::string_view> kMeanings = {
      {"over-rate",
       "the workspace was over its rate; see the rate_home lines of its home"},
      {"home-silent",
       "the workspace's home did not answer in time; see whether its node or "
       "link was busy or cut"},
      {"backend-full",
       "no server had a turn early enough for the latency objective"},
      {"server-refused", "the server itself refused the call unrun"},
      {"server-failure", "servers answered with failures of their own"},
      {"no-answer",
       "the server had the call and its connection ended without an answer; "
       "it may have run"},
      {"peer-no-answer",
       "the node beside the server went silent with the call; it may have run"},
      {"answer-cut", "the server's answer broke off midway"},
      {"answer-stalled", "the server's answer stopped coming"},
      {"deadline-passed", "the deadline passed; see how long it ran and where"},
      {"unknown-key", "no workspace of the version in force has the key"},
      {"no-route", "the version in force has no route for host and path"},
      {"no-configuration", "the node had no configuration yet"},
      {"no-server", "no registered server of the service takes work"},
      {"stopping", "the node was being stopped"},
      {"server-draining", "the server was leaving"},
      {"server-not-registered", "the server was gone from the registry"},
      {"failure-domain-out", "the server's failure domain was taken out"},
      {"other-instance", "another instance runs at the server's address"},
      {"peer-away", "the node beside the server could not be reached"},
      {"backend-away", "nothing listened at the server's address"},
      {"reader-left", "the caller left before the answer"},
  };
  const auto found = kMeanings.find(reason);
  return found == kMeanings.end() ? "no explanation is known" : found->second;
}

std::string Describe(const LogFields& line) {
  std::string text = Value(line, "time") + " " + Value(line, "node") + ": ";
  const std::string event = Value(line, "event");
  if (event == "call_refused") {
    text += "refused with " + Value(line, "status") + " after " +
            Value(line, "after_ms") + " ms, reason " + Value(line, "reason") +
            ", configuration " + Value(line, "config");
    const std::string tried = Value(line, "tried");
    if (!tried.empty()) text += ", tried " + tried;
  } else if (event == "attempt") {
    text += "attempt " + Value(line, "attempt") + " at " +
            Value(line, "server") + " (" + Value(line, "service") + ") ended " +
            Value(line, "end") + ", " + Value(line, "reason") + ", after " +
            Value(line, "ran_ms") + " ms with " + Value(line, "left_ms") +
            " ms left";
  } else if (event == "hop_ended") {
    text += "beside " + Value(line, "server") + " it ended " +
            Value(line, "end") + ", " + Value(line, "reason") + ", after " +
            Value(line, "ran_ms") + " ms";
  } else {
    text += event;
  }
  return text + "\n";
}

}  // namespace

LogFields ParseLogLine(const std::string& line) {
  LogFields fields;
  std::size_t at = 0;
  while (at < line.size()) {
    const std::size_t equals = line.find('=', at);
    if (equals == std::string::npos) break;
    std::string key = line.substr(at, equals - at);
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
    at = end + 1;
  }
  return fields;
}

void CallTrace::Read(std::istream& log) {
  std::string text;
  while (std::getline(log, text)) {
    if (text.find(id_) == std::string::npos) continue;
    LogFields line = ParseLogLine(text);
    const std::string id = Value(line, "id");
    // A call that a server makes for this one has its id as a prefix.
    const bool own = id == id_ || id.starts_with(id_ + ".");
    if (own) lines_.push_back(std::move(line));
  }
}

std::string CallTrace::Render() {
  std::stable_sort(lines_.begin(), lines_.end(),
                   [](const LogFields& a, const LogFields& b) {
                     return Value(a, "time") < Value(b, "time");
                   });
  std::string text;
  const LogFields* last = nullptr;
  const LogFields* nested = nullptr;
  for (const LogFields& line : lines_) {
    text += Describe(line);
    const bool is_end = Value(line, "event") != "hop_ended";
    if (is_end && Value(line, "id") == id_) last = &line;
    if (is_end && Value(line, "id") != id_ &&
        Value(line, "end") != "delivered") {
      nested = &line;
    }
  }
  if (last == nullptr) {
    return text + "conclusion: no log of its ingress was given, or the call " +
           "was answered at once within its objective\n";
  }
  const std::string reason = Value(*last, "reason");
  if (Value(*last, "end") == "delivered") {
    text += "conclusion: the caller got the server's answer, status " +
            Value(*last, "status") + ", at attempt " + Value(*last, "attempt") +
            "\n";
  } else {
    text +=
        "conclusion: " + reason + ": " + std::string(Meaning(reason)) + "\n";
  }
  if (nested != nullptr) {
    const std::string why = Value(*nested, "reason");
    text += "a call that its server made failed: " + why + ": " +
            std::string(Meaning(why)) + "\n";
  }
  return text;
}

void CallSummary::Read(std::istream& log) {
  std::string text;
  while (std::getline(log, text)) {
    const LogFields line = ParseLogLine(text);
    const std::string event = Value(line, "event");
    if (event == "call_refused") {
      const std::string second = Value(line, "time").substr(0, kSecondLength);
      ++ends_[second][Value(line, "status") + " " + Value(line, "reason")];
    } else if (event == "log_lines_left_out" || event == "log_lines_lost") {
      left_out_ += std::strtoul(Value(line, "lines").c_str(), nullptr, 10);
    }
  }
}

std::string CallSummary::Render() const {
  std::string text;
  std::map<std::string, std::size_t> sums;
  for (const auto& [second, causes] : ends_) {
    text += second;
    for (const auto& [cause, count] : causes) {
      sums[cause] += count;
      text += "  " + cause + " " + std::to_string(count) + " " +
              std::string(std::min(count, kMostBar), '#');
    }
    text += "\n";
  }
  for (const auto& [cause, count] : sums) {
    const std::string reason = cause.substr(cause.find(' ') + 1);
    text += "all: " + cause + " " + std::to_string(count) + " (" +
            std::string(Meaning(reason)) + ")\n";
  }
  text += "lines that the logs leave out: " + std::to_string(left_out_) + "\n";
  return text;
}

}  // namespace wisteriarill
