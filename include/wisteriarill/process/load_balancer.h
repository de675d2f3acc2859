/// \file
/// Chooses the backend server of a call, by load and failure domain.
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

/// A chosen backend server.
struct ChosenServer {
  std::string server;
  std::string node;  ///< Where its node accepts peers.
};

/// Varying ways of choosing. One thread, no I/O, no clock.
class RouteChooser {
 public:
  virtual ~RouteChooser() = default;
  virtual void OnSnapshot(std::shared_ptr<const Snapshot> snapshot) = 0;
  /// Chooses for a call that already tried `tried`; nothing if no backend
  /// server may get it. The choice counts as in flight until OnEnded.
  virtual std::optional<ChosenServer> Choose(const std::string& service,
                                       const std::set<std::string>& tried,
                                       Instant now) = 0;
  /// Takes the end of a call; `load` is what the answer reported, if any.
  virtual void OnEnded(const std::string& server, const LoadReport* load,
                       Instant now) = 0;
  /// Notes that a server's node could not be reached or went silent.
  virtual void OnSilent(const std::string& server, Instant now) = 0;
  /// Takes the VMs that the platform lists as leaving or gone.
  virtual void OnVmView(const std::vector<std::string>& leaving) = 0;
};

struct LoadChooserOptions {
  /// Servers considered in each failure domain; bounds links at fleet size.
  std::size_t subset = 8;
  /// Load above which calls spill to other failure domains.
  double spill_load = 0.9;
  /// Load that another failure domain must be better by.
  double spill_gain = 0.2;
  /// How long a silent server is left out.
  microseconds silence = seconds(1);
  /// Reported load counts for so long.
  microseconds report_age = seconds(2);
};

/// Power of two choices over a bounded subset, own failure domain first.
class PowerOfTwoLoadBalancer : public RouteChooser {
 public:
  /// `self` is this node's backend server; it decides what is near.
  PowerOfTwoLoadBalancer(LoadChooserOptions options, std::string self, std::uint64_t seed);

  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot) override;
  std::optional<ChosenServer> Choose(const std::string& service,
                               const std::set<std::string>& tried,
                               Instant now) override;
  void OnEnded(const std::string& server, const LoadReport* load,
               Instant now) override;
  void OnSilent(const std::string& server, Instant now) override;
  void OnVmView(const std::vector<std::string>& leaving) override;

 private:
  struct ServerView {
    std::uint32_t in_flight = 0;  ///< Sent by this node, not ended.
    LoadReport load;
    Instant load_at = kNever;
    Instant silent_until = kNever;
  };
  /// Candidates of one service: near ones, then those of other domains.
  struct Subset {
    std::vector<ServerId> near;
    std::vector<ServerId> far;
  };

  const Subset& FindSubset(ServiceId service);
  Subset MakeSubset(ServiceId service) const;
  bool IsUsable(ServerId id, const std::set<std::string>& tried, Instant now,
                bool allow_silent) const;
  double Load(ServerId id, Instant now) const;
  std::optional<ServerId> PickOfTwo(const std::vector<ServerId>& servers,
                                    const std::set<std::string>& tried,
                                    Instant now, bool allow_silent);

  const LoadChooserOptions options_;
  const std::string self_;
  std::mt19937_64 random_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::map<std::uint32_t, Subset> subsets_;
  std::map<std::string, ServerView> views_;
  std::set<std::string> leaving_;
};

/// A baseline: every server of the service in turn, whatever its load.
class RoundRobinChooser : public RouteChooser {
 public:
  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot) override;
  std::optional<ChosenServer> Choose(const std::string& service,
                               const std::set<std::string>& tried,
                               Instant now) override;
  void OnEnded(const std::string& server, const LoadReport* load,
               Instant now) override;
  void OnSilent(const std::string& server, Instant now) override;
  void OnVmView(const std::vector<std::string>& leaving) override;

 private:
  std::shared_ptr<const Snapshot> snapshot_;
  std::size_t turn_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_LOAD_BALANCER_H_
