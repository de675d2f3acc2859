#include "wisteriarill/mesh/call.h"

#include <utility>

namespace wisteriarill {

AttemptResult MakeNotRunResult(std::string reason, bool reached_server) {
  AttemptResult result;
  result.outcome = AttemptOutcome::kNotRun;
  result.reason = std::move(reason);
  result.reached_server = reached_server;
  return result;
}

AttemptResult MakeResult(AttemptOutcome outcome, std::string reason) {
  AttemptResult result;
  result.outcome = outcome;
  result.reason = std::move(reason);
  result.reached_server = outcome != AttemptOutcome::kNotRun;
  return result;
}

}  // namespace wisteriarill
