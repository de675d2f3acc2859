/// \file
/// Selects the backend server of a call, by load and failure domain.
#ifndef WISTERIARILL_PROCESS_LOAD_BALANCER_H_
#define WISTERIARILL_PROCESS_LOAD_BALANCER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// The backend server selected for a call.
struct ChosenServer {
  std::string server;
  std::string node;  ///< Address at which its node accepts peers.
};

/// Interface of load balancers. Does no I/O, reads no clock, and is used by one
/// thread.
class LoadBalancer {
 public:
  virtual ~LoadBalancer() = default;
  virtual void OnSnapshot(std::shared_ptr<const Snapshot> snapshot) = 0;
  /// Selects a server for a call that was already tried at the servers in
  /// `tried`. Returns nothing if no server may get the call. The call counts as
  /// in flight until OnEnded.
  virtual std::optional<ChosenServer> Choose(const std::string& service,
                                             const std::set<std::string>& tried,
                                             Instant now) = 0;
  /// Records the end of a call. `load` is the load that the response reported,
  /// if any.
  virtual void OnEnded(const std::string& server, const LoadReport* load,
                       Instant now) = 0;
  /// Records that a server's node was unreachable or did not respond.
  virtual void OnUnresponsive(const std::string& server, Instant now) = 0;
  /// Replaces the VMs that the platform lists as leaving or gone.
  virtual void SetLeavingVms(const std::vector<std::string>& leaving) = 0;
};

struct PowerOfTwoLoadBalancerOptions {
  /// Maximum number of candidates in each failure domain. Bounds the number of
  /// links of a node in a large fleet.
  std::size_t max_candidates_per_domain = 8;
  /// Load above which calls also go to other failure domains.
  double spill_threshold = 0.9;
  /// How much lower the load in another failure domain must be.
  double min_spill_improvement = 0.2;
  /// How long an unresponsive server is excluded.
  microseconds exclusion_duration = seconds(1);
  /// How long a reported load is used.
  microseconds max_report_age = seconds(2);
};

/// Selects the less loaded of two random servers among a bounded number of
/// candidates. Prefers servers in its own failure domain.
class PowerOfTwoLoadBalancer : public LoadBalancer {
 public:
  /// `self` is the name of the backend server beside this node; its failure
  /// domain is the local one.
  PowerOfTwoLoadBalancer(PowerOfTwoLoadBalancerOptions options,
                         std::string self, std::uint64_t seed);

  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot) override;
  std::optional<ChosenServer> Choose(const std::string& service,
                                     const std::set<std::string>& tried,
                                     Instant now) override;
  void OnEnded(const std::string& server, const LoadReport* load,
               Instant now) override;
  void OnUnresponsive(const std::string& server, Instant now) override;
  void SetLeavingVms(const std::vector<std::string>& leaving) override;

 private:
  struct ServerState {
    std::uint32_t in_flight = 0;  ///< Sent by this node and not ended.
    LoadReport load;
    Instant load_reported_at = kNever;
    Instant excluded_until = kNever;
  };
  /// Candidates of one service, by failure domain.
  struct Candidates {
    std::vector<ServerId> local;
    std::vector<ServerId> remote;
  };

  const Candidates& FindCandidates(ServiceId service);
  Candidates SelectCandidates(ServiceId service) const;
  bool IsUsable(ServerId id, const std::set<std::string>& tried, Instant now,
                bool include_unresponsive) const;
  double RelativeLoad(ServerId id, Instant now) const;
  std::optional<ServerId> PickOfTwo(const std::vector<ServerId>& servers,
                                    const std::set<std::string>& tried,
                                    Instant now, bool include_unresponsive);

  const PowerOfTwoLoadBalancerOptions options_;
  const std::string self_;
  std::mt19937_64 random_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::map<std::uint32_t, Candidates> candidates_;
  std::map<std::string, ServerState> server_states_;
  std::set<std::string> leaving_;
};

/// Baseline for comparison: selects the servers of a service in round-robin
/// order, whatever their load.
class RoundRobinLoadBalancer : public LoadBalancer {
 public:
  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot) override;
  std::optional<ChosenServer> Choose(const std::string& service,
                                     const std::set<std::string>& tried,
                                     Instant now) override;
  void OnEnded(const std::string& server, const LoadReport* load,
               Instant now) override;
  void OnUnresponsive(const std::string& server, Instant now) override;
  void SetLeavingVms(const std::vector<std::string>& leaving) override;

 private:
  std::shared_ptr<const Snapshot> snapshot_;
  std::size_t next_index_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_LOAD_BALANCER_H_
