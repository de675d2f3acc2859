/// \file
/// Checks the promises on a fleet from outside: callers' samples against the
/// backend stand-ins' execution logs.
#ifndef WISTERIARILL_STANDIN_GUARANTEE_CHECK_H_
#define WISTERIARILL_STANDIN_GUARANTEE_CHECK_H_

#include <map>
#include <string>
#include <vector>

#include "wisteriarill/standin/fleet.h"
#include "wisteriarill/standin/load_generator.h"

namespace wisteriarill {

/// The verdict on one promise.
struct GuaranteeResult {
  std::string guarantee;
  std::uint64_t checked = 0;
  std::uint64_t violations = 0;
};

/// One execution of a request at a backend server.
struct LoggedExecution {
  std::string server;
  std::string method;
  std::string workspace;
  std::string load_id;  ///< The caller's own name for the request.
  bool has_authorization = false;
};

/// Reads the execution logs of all backend servers, by request id; those of
/// ended processes too if the fleet logs executions.
std::multimap<std::string, LoggedExecution> ReadExecutions(Fleet* fleet);

/// Checks samples against executions and the nodes' own invariants.
std::vector<GuaranteeResult> CheckGuarantees(
    Fleet* fleet, const std::vector<LoadSample>& samples,
    const std::multimap<std::string, LoggedExecution>& executions);

/// Returns how many intervals saw more admitted calls than burst + rate x
/// length allows. A call counts in an interval only if it was sent and ended
/// within it.
std::uint64_t CountRateBreaks(const std::vector<LoadSample>& samples,
                              const std::string& workspace, double rate,
                              double burst);

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_GUARANTEE_CHECK_H_
