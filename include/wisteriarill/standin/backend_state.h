/// \file
/// The state of a simulated backend server: its slots, a warm-up with reduced
/// capacity, load shedding, and a log of the requests it ran.
#ifndef WISTERIARILL_STANDIN_BACKEND_STATE_H_
#define WISTERIARILL_STANDIN_BACKEND_STATE_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Capacity and speed of a simulated backend server.
struct BackendStateOptions {
  std::uint32_t slots = 12;  ///< Capacity once warm, in concurrent requests.
  double cold_capacity_share = 0.25;    ///< Share of `slots` usable when cold.
  microseconds warmup = seconds(3);     ///< Time until the capacity is `slots`.
  microseconds work = milliseconds(5);  ///< Default service time.
  double cold_slowdown = 3;  ///< Factor on the service time during warm-up.
};

/// A request that the server ran, for checking guarantees.
struct Execution {
  std::string request_id;
  std::string method;
  std::string workspace;
  std::string load_id;             ///< The caller's own id of the request.
  bool has_authorization = false;  ///< It had an Authorization field.
};

/// Counters of a simulated backend server since its start.
struct BackendStats {
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t shed = 0;
  std::uint64_t overloaded = 0;  ///< Started beyond the capacity.
  std::uint64_t collapses = 0;   ///< Warm-ups restarted by overload.
  std::uint32_t in_flight = 0;
  std::uint32_t max_in_flight = 0;
};

/// The thread-safe state of a simulated backend server.
class BackendState {
 public:
  explicit BackendState(BackendStateOptions options);

  /// Whether a request runs, and for how long.
  struct StartResult {
    bool admitted = false;  ///< False if the request was shed.
    microseconds work{};    ///< Service time under the present load.
  };

  /// Starts a request, or sheds it so that it does not run. `work` is its
  /// service time on a warm server without overload.
  StartResult TryStart(const Execution& execution, microseconds work,
                       Instant now);
  /// Ends a request that TryStart admitted.
  void Finish();
  /// Restarts the warm-up, as a restart of the server would. The instance name
  /// changes only if `announced`.
  void ResetToCold(bool announced, Instant now);
  /// Sheds every new request while `draining`.
  void SetDraining(bool draining);

  std::string instance() const;
  BackendStats stats() const;
  std::vector<Execution> log() const;
  /// Returns the number of running requests as it was up to a second ago,
  /// because load reports of real backend servers lag too.
  std::uint32_t lagging_load(Instant now);

 private:
  /// Returns how many concurrent requests run without overload. Rises linearly
  /// over the warm-up.
  double Capacity(Instant now) const;

  const BackendStateOptions options_;
  mutable std::mutex mutex_;
  Instant warmup_start_;
  std::string instance_;
  bool draining_ = false;
  BackendStats stats_;
  std::vector<Execution> log_;
  std::uint32_t reported_load_ = 0;
  Instant reported_at_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_BACKEND_STATE_H_
