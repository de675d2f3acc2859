/// \file
/// Checks the guarantees of a fleet from outside, by comparing the callers'
/// samples with the execution logs of the backend servers.
#ifndef WISTERIARILL_STANDIN_GUARANTEE_CHECK_H_
#define WISTERIARILL_STANDIN_GUARANTEE_CHECK_H_

#include <map>
#include <string>
#include <vector>

#include "wisteriarill/standin/fleet.h"
#include "wisteriarill/standin/load_generator.h"

namespace wisteriarill {

/// How often a guarantee was checked, and how often it was violated.
struct GuaranteeResult {
  std::string guarantee;
  std::uint64_t checked = 0;
  std::uint64_t violations = 0;
};

/// One execution of a request at a backend server, from its log.
struct LoggedExecution {
  std::string server;
  std::string method;
  std::string workspace;
  std::string load_id;  ///< The caller's own id of the request.
  bool has_authorization = false;
};

/// Reads the execution logs of all backend servers, keyed by request id.
/// Includes those of backend servers that have exited only if the fleet logs
/// executions (FleetOptions::log_executions).
std::multimap<std::string, LoggedExecution> ReadExecutions(Fleet* fleet);

/// Checks `samples` against `executions`, and the count of invariant violations
/// that each running node reports.
std::vector<GuaranteeResult> CheckGuarantees(
    Fleet* fleet, const std::vector<LoadSample>& samples,
    const std::multimap<std::string, LoggedExecution>& executions);

/// Returns how many intervals have more admitted calls than `burst` + `rate` x
/// length. A call counts in an interval only if it was both sent and finished
/// in it, because the time of its admission in between is unknown.
std::uint64_t CountRateViolations(const std::vector<LoadSample>& samples,
                                  const std::string& workspace, double rate,
                                  double burst);

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_GUARANTEE_CHECK_H_
