/// \file
/// What the parts of the rate model share.
#ifndef WISTERIARILL_LIB_MODEL_RATE_MODEL_PROCESS_H_
#define WISTERIARILL_LIB_MODEL_RATE_MODEL_PROCESS_H_

#include <memory>
#include <string>

#include "wisteriarill/model/rate_model.h"
#include "wisteriarill/process/reachability_prober.h"

namespace wisteriarill {

/// How often a process of the model exchanges versions.
inline constexpr nanoseconds kModelGossipInterval = milliseconds(500);

/// Returns where peers dial `server`; empty if the version does not list it.
inline std::string AddressOf(const Snapshot& snapshot,
                             const std::string& server) {
  const auto id = snapshot.FindServer(server);
  return id.has_value() ? snapshot.server(*id).node_address : std::string();
}

/// One process: a home, an asker and what it knows of its peers.
struct RateModel::Process {
  std::size_t index = 0;
  std::string server;
  std::string domain;
  std::string address;
  bool alive = true;
  double speed = 1.0;
  Instant frozen_until = kNever;
  std::unique_ptr<RateShardOwner> home;
  std::unique_ptr<RateLimiter> admission;
  std::shared_ptr<const Snapshot> snapshot;
  Instant confirmed = kNever;  ///< Local time.
  Instant published = kNever;  ///< Local time; of the version in force.
  std::unique_ptr<ReachabilityProber> probe;
};

struct RateModel::Call {
  std::string workspace;
  Instant entered;
  Process* process = nullptr;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_LIB_MODEL_RATE_MODEL_PROCESS_H_
