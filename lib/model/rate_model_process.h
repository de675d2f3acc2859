/// \file
/// Definitions shared by the source files of the rate model.
#ifndef WISTERIARILL_LIB_MODEL_RATE_MODEL_PROCESS_H_
#define WISTERIARILL_LIB_MODEL_RATE_MODEL_PROCESS_H_

#include <memory>
#include <string>

#include "wisteriarill/model/rate_model.h"
#include "wisteriarill/process/reachability_prober.h"

namespace wisteriarill {

/// Interval at which each process of the model exchanges versions with a peer.
inline constexpr nanoseconds kModelGossipInterval = milliseconds(500);

/// Returns the address at which the node of `server` accepts peers, or an empty
/// string if `snapshot` does not contain the server.
inline std::string AddressOf(const Snapshot& snapshot,
                             const std::string& server) {
  const auto id = snapshot.FindServer(server);
  return id.has_value() ? snapshot.server(*id).node_address : std::string();
}

/// A node process: its shard owner, rate limiter and reachability prober, and
/// the configuration version that it has in force.
struct RateModel::Process {
  std::size_t index = 0;
  std::string server;
  std::string failure_domain;
  std::string address;
  bool alive = true;
  double clock_speed = 1.0;  ///< Local seconds per simulated second.
  Instant frozen_until = kNever;
  std::unique_ptr<RateShardOwner> owner;
  std::unique_ptr<RateLimiter> rate_limiter;
  std::shared_ptr<const Snapshot> snapshot;
  /// Local time of the latest platform read known to confirm the version in
  /// force.
  Instant confirmed_at = kNever;
  /// Local time by which the version in force had been published.
  Instant published_at = kNever;
  std::unique_ptr<ReachabilityProber> prober;
};

/// A call that waits for the rate limiter's decision.
struct RateModel::Call {
  std::string workspace;
  Instant arrived_at;
  Process* process = nullptr;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_LIB_MODEL_RATE_MODEL_PROCESS_H_
