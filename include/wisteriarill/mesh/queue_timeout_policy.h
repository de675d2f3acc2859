/// \file
/// How long a call may wait for its turn at a server. Answers the load of more
/// calls than places: what waits so long that its answer comes after the
/// latency objective takes the place of a call that could still be in time.
#ifndef WISTERIARILL_MESH_QUEUE_TIMEOUT_POLICY_H_
#define WISTERIARILL_MESH_QUEUE_TIMEOUT_POLICY_H_

#include <map>
#include <string>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// No I/O, no clock, one thread.
class QueueTimeoutPolicy {
 public:
  /// Takes how long a call of `route` ran at its server.
  void OnServiceTime(const std::string& route, microseconds ran);

  /// Returns how long a call of `route` may wait: what its objective leaves
  /// beside a run that is longer than usual.
  microseconds QueueTimeout(const std::string& route, milliseconds objective) const;

 private:
  struct Runs {
    double mean_micros = 0;
    double deviation_micros = 0;  ///< Mean absolute one.
  };

  std::map<std::string, Runs> runs_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_QUEUE_TIMEOUT_POLICY_H_
