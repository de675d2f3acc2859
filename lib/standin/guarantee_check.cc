#include "wisteriarill/standin/guarantee_check.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "wisteriarill/process/log.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kInterval = milliseconds(250);
constexpr std::size_t kExamples = 3;

class Verdicts {
 public:
  void Check(const std::string& promise, bool held,
             const std::string& example) {
    GuaranteeResult& verdict = verdicts_[promise];
    verdict.guarantee = promise;
    ++verdict.checked;
    if (held) return;
    if (++verdict.violations <= kExamples) {
      LogEvent(LogLevel::kError, "promise_broken")
          .With("promise", promise)
          .With("example", example);
    }
  }

  std::vector<GuaranteeResult> Take() const {
    std::vector<GuaranteeResult> list;
    for (const auto& [promise, verdict] : verdicts_) list.push_back(verdict);
    return list;
  }

 private:
  std::map<std::string, GuaranteeResult> verdicts_;
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

// A retry has a request id of its own, so runs are counted by the caller's
// name for the request.
void CheckRunsOnce(
    const std::multimap<std::string, LoggedExecution>& executions,
    Verdicts* verdicts) {
  std::map<std::string, int> runs;
  for (const auto& [id, execution] : executions) {
    const bool once = !IsIdempotentMethod(execution.method) &&
                      !execution.load_id.empty() && execution.load_id != "-";
    if (once) ++runs[execution.load_id];
  }
  for (const auto& [load_id, count] : runs) {
    verdicts->Check("a non-idempotent request runs at most once", count == 1,
                    load_id);
  }
}

void CheckSample(const LoadSample& sample,
                 const std::multimap<std::string, LoggedExecution>& executions,
                 Verdicts* verdicts) {
  const std::string& id = sample.request_id;
  if (sample.status == 200) {
    verdicts->Check("the answer is the request's own and whole",
                    sample.own_answer, id);
  }
  if (sample.outcome == "not-run") {
    verdicts->Check("a request told as not run did not run",
                    executions.count(id) == 0, id);
  }
  const auto execution = executions.find(id);
  if (execution != executions.end() && !sample.workspace.empty()) {
    verdicts->Check("a request runs for the workspace of its key",
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
  Verdicts verdicts;
  for (const LoadSample& sample : samples) {
    CheckSample(sample, executions, &verdicts);
  }
  for (const auto& [id, execution] : executions) {
    verdicts.Check("no request id runs twice", executions.count(id) == 1, id);
    verdicts.Check("no backend server sees a key", !execution.has_authorization,
                   id);
  }
  CheckRunsOnce(executions, &verdicts);
  for (auto& [name, server] : fleet->servers()) {
    if (!server.node_process.has_value()) continue;
    const std::string metrics = HttpGet(server.operator_address, "/metrics");
    verdicts.Check(
        "no invariant is violated inside a node",
        !metrics.empty() &&
            FindMetric(metrics, "wisteria_invariant_violations") == 0,
        name);
  }
  for (const auto& [workspace, size] : fleet->largest_rates()) {
    const std::uint64_t breaks =
        CountRateBreaks(samples, workspace,
                        static_cast<double>(size.rate) / kMicroTokensPerToken,
                        static_cast<double>(size.burst) / kMicroTokensPerToken);
    verdicts.Check("no workspace gets more than its rate and burst",
                   breaks == 0, workspace);
  }
  return verdicts.Take();
}

std::uint64_t CountRateBreaks(const std::vector<LoadSample>& samples,
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
  const auto slot_of = [&](Instant at) {
    return static_cast<std::size_t>((at - first) / kInterval);
  };
  std::size_t slots = 0;
  for (const LoadSample* sample : admitted) {
    slots = std::max(slots, slot_of(sample->done) + 1);
  }
  std::uint64_t breaks = 0;
  for (std::size_t from = 0; from < slots; ++from) {
    std::vector<double> ended(slots + 1, 0);
    for (const LoadSample* sample : admitted) {
      if (sample->sent >= first && slot_of(sample->sent) >= from) {
        ended[slot_of(sample->done)] += 1;
      }
    }
    double count = 0;
    for (std::size_t to = from; to < slots; ++to) {
      count += ended[to];
      const double length = std::chrono::duration<double>(kInterval).count() *
                            static_cast<double>(to - from + 1);
      if (count > burst + rate * length) ++breaks;
    }
  }
  return breaks;
}

}  // namespace wisteriarill
