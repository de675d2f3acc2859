/// \file
/// Estimates how long a call runs at the local backend server at present.
/// Servers of one service differ in speed, and their VMs slow down for
/// fractions of a second. Nodes compare servers by this estimate, so it must
/// not depend on which calls a server happened to get.
#ifndef WISTERIARILL_ADMISSION_SERVICE_TIME_ESTIMATOR_H_
#define WISTERIARILL_ADMISSION_SERVICE_TIME_ESTIMATOR_H_

#include <map>
#include <string>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Smooths the service times of each route by itself. A server that reports how
/// long work takes on its VM is followed at once; without reports, the smoothed
/// times follow a change within some tens of calls. An idle server's estimate
/// stays as it is. Does no I/O, reads no clock, and is used from one thread.
class ServiceTimeEstimator {
 public:
  /// Records that the server ran a call of `route` for `service_time`. Calls
  /// without a route count as one.
  void OnServiceTime(const std::string& route, microseconds service_time,
                     Instant now);
  /// Records that work on the server's VM takes `factor` times as long as
  /// usual.
  void OnWorkFactor(double factor, Instant now);

  /// Returns how long a call runs that starts at `now`, on average over the
  /// routes by their shares of the calls.
  microseconds Expected(Instant now) const;

 private:
  struct RouteTimes {
    double micros = 0;  ///< Smoothed service time at the usual speed.
    double share = 0;   ///< Smoothed share of the calls.
  };

  /// Returns the reported factor, or 1 if it is too old to say anything.
  double WorkFactor(Instant now) const;

  std::map<std::string, RouteTimes> routes_;
  double work_factor_ = 1;
  Instant work_factor_at_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_ADMISSION_SERVICE_TIME_ESTIMATOR_H_
