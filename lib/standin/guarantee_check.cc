#include "wisteriarill/standin/guarantee_check.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "wisteriarill/process/log.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kIntervalStep = milliseconds(250);
constexpr std::size_t kMaxLoggedViolations = 3;

class ResultTable {
 public:
  void Check(const std::string& guarantee, bool held,
             const std::string& example) {
    GuaranteeResult& result = results_[guarantee];
    result.guarantee = guarantee;
    ++result.checked;
    if (held) return;
    if (++result.violations <= kMaxLoggedViolations) {
      LogEvent(LogLevel::kError, "promise_broken")
          .With("promise", guarantee)
          .With("example", example);
    }
  }

  std::vector<GuaranteeResult> ToVector() const {
    std::vector<GuaranteeResult> list;
    for (const auto& [guarantee, result] : results_) list.push_back(result);
    return list;
  }

 private:
  std::map<std::string, GuaranteeResult> results_;
};

void ReadLoggedExecutions(
    const std::string& server, const std::string& path,
    std::multimap<std::string, LoggedExecution>* executions) {
  std::ifstream log(path);
  std::string line;
  while (std::getline(log, line)) {
    auto fields = ParseLogLine(line);
    if (fields["event"] != "executed") continue;
    executions->emplace(
        fields["id"],
        LoggedExecution{server, fields["method"], fields["workspace"],
                        fields["load_id"], fields["key"] == "seen"});
  }
}

// Counts executions by the caller's own id of the request (the Load-Id field),
// because a retry has a request id of its own.
void CheckNonIdempotentRunsOnce(
    const std::multimap<std::string, LoggedExecution>& executions,
    ResultTable* results) {
  std::map<std::string, int> executions_by_load_id;
  for (const auto& [id, execution] : executions) {
    const bool must_run_once = !IsIdempotentMethod(execution.method) &&
                               !execution.load_id.empty() &&
                               execution.load_id != "-";
    if (must_run_once) ++executions_by_load_id[execution.load_id];
  }
  for (const auto& [load_id, count] : executions_by_load_id) {
    results->Check("a non-idempotent request runs at most once", count == 1,
                   load_id);
  }
}

void CheckSample(const LoadSample& sample,
                 const std::multimap<std::string, LoggedExecution>& executions,
                 ResultTable* results) {
  const std::string& id = sample.request_id;
  if (sample.status == 200) {
    results->Check("the answer is the request's own and whole",
                   sample.body_has_request_id, id);
  }
  if (sample.outcome == "not-run") {
    results->Check("a request told as not run did not run",
                   executions.count(id) == 0, id);
  }
  const auto execution = executions.find(id);
  if (execution != executions.end() && !sample.workspace.empty()) {
    results->Check("a request runs for the workspace of its key",
                   execution->second.workspace == sample.workspace, id);
  }
}

}  // namespace

std::multimap<std::string, LoggedExecution> ReadExecutions(Fleet* fleet) {
  std::multimap<std::string, LoggedExecution> executions;
  for (auto& [name, server] : fleet->servers()) {
    if (fleet->logs_executions()) {
      for (const std::string& path : server.backend_logs) {
        ReadLoggedExecutions(name, path, &executions);
      }
      continue;
    }
    if (!server.backend_process.has_value()) continue;
    std::istringstream lines(HttpGet(server.backend_address, "/admin/log"));
    std::string id;
    std::string method;
    std::string workspace;
    std::string load_id;
    std::string key;
    while (lines >> id >> method >> workspace >> load_id >> key) {
      executions.emplace(
          id, LoggedExecution{name, method, workspace, load_id, key == "key"});
    }
  }
  return executions;
}

std::vector<GuaranteeResult> CheckGuarantees(
    Fleet* fleet, const std::vector<LoadSample>& samples,
    const std::multimap<std::string, LoggedExecution>& executions) {
  ResultTable results;
  for (const LoadSample& sample : samples) {
    CheckSample(sample, executions, &results);
  }
  for (const auto& [id, execution] : executions) {
    results.Check("no request id runs twice", executions.count(id) == 1, id);
    results.Check("no backend server sees a key", !execution.has_authorization,
                  id);
  }
  CheckNonIdempotentRunsOnce(executions, &results);
  for (auto& [name, server] : fleet->servers()) {
    if (!server.node_process.has_value()) continue;
    const std::string metrics = HttpGet(server.operator_address, "/metrics");
    results.Check("no invariant is violated inside a node",
                  !metrics.empty() &&
                      FindMetric(metrics, "wisteria_invariant_violations") == 0,
                  name);
  }
  for (const auto& [workspace, limit] : fleet->max_rates()) {
    const std::uint64_t violations = CountRateViolations(
        samples, workspace,
        static_cast<double>(limit.rate) / kMicroTokensPerToken,
        static_cast<double>(limit.burst) / kMicroTokensPerToken);
    results.Check("no workspace gets more than its rate and burst",
                  violations == 0, workspace);
  }
  return results.ToVector();
}

std::uint64_t CountRateViolations(const std::vector<LoadSample>& samples,
                                  const std::string& workspace, double rate,
                                  double burst) {
  std::vector<const LoadSample*> admitted;
  for (const LoadSample& sample : samples) {
    if (sample.workspace == workspace && sample.status == 200) {
      admitted.push_back(&sample);
    }
  }
  if (admitted.empty()) return 0;
  const Instant first = admitted.front()->sent;
  const auto interval_of = [&](Instant at) {
    return static_cast<std::size_t>((at - first) / kIntervalStep);
  };
  std::size_t intervals = 0;
  for (const LoadSample* sample : admitted) {
    intervals = std::max(intervals, interval_of(sample->done) + 1);
  }
  std::uint64_t violations = 0;
  for (std::size_t from = 0; from < intervals; ++from) {
    std::vector<double> finished(intervals + 1, 0);
    for (const LoadSample* sample : admitted) {
      if (sample->sent >= first && interval_of(sample->sent) >= from) {
        finished[interval_of(sample->done)] += 1;
      }
    }
    double count = 0;
    for (std::size_t to = from; to < intervals; ++to) {
      count += finished[to];
      const double length =
          std::chrono::duration<double>(kIntervalStep).count() *
          static_cast<double>(to - from + 1);
      if (count > burst + rate * length) ++violations;
    }
  }
  return violations;
}

}  // namespace wisteriarill
