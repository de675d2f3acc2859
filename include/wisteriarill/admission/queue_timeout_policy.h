/// \file
/// Decides how long a call may wait for a slot at a server. Under overload, a
/// call that waits too long is answered after its latency objective and takes
/// the slot of a call that could still be answered in time.
#ifndef WISTERIARILL_ADMISSION_QUEUE_TIMEOUT_POLICY_H_
#define WISTERIARILL_ADMISSION_QUEUE_TIMEOUT_POLICY_H_

#include <map>
#include <string>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Derives queue timeouts from the smoothed service times of each route. Does
/// no I/O, reads no clock, and is used from one thread.
class QueueTimeoutPolicy {
 public:
  /// Records how long a call of `route` ran at its server.
  void OnServiceTime(const std::string& route, microseconds service_time);

  /// Returns how long a call of `route` may wait: its objective less a service
  /// time one mean deviation above average and the network round trip, within
  /// fixed fractions of the objective.
  microseconds QueueTimeout(const std::string& route,
                            milliseconds objective) const;
  /// Returns how long a nested call of `route` that has `time_left` may wait:
  /// all of that less the time that the call needs to run and to return.
  /// Waiting costs less than a refusal, which wastes the work of the call that
  /// made it.
  microseconds NestedQueueTimeout(const std::string& route,
                                  microseconds time_left) const;

 private:
  struct ServiceTimes {
    double mean_micros = 0;
    double deviation_micros = 0;  ///< Mean absolute deviation.
  };

  std::map<std::string, ServiceTimes> service_times_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_ADMISSION_QUEUE_TIMEOUT_POLICY_H_
