/// \file
/// Many nodes' rate decisions in one process under simulated time, with the
/// faults that RATES must survive. The decision classes are the daemon's own.
#ifndef WISTERIARILL_MODEL_RATE_MODEL_H_
#define WISTERIARILL_MODEL_RATE_MODEL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "wisteriarill/model/event_queue.h"
#include "wisteriarill/model/rate_oracle.h"
#include "wisteriarill/process/leasing_rate_limiter.h"
#include "wisteriarill/process/rate_shard_owner.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// How the model's nodes divide rates.
enum class RateDivisionPolicy { kShardOwners, kSingleOwner, kStaticSplit };

struct RateModelOptions {
  RateDivisionPolicy policy = RateDivisionPolicy::kShardOwners;
  RateShardOwnerOptions owner;
  LeasingRateLimiterOptions rate_limiter;
  std::uint64_t seed = 1;
  nanoseconds near_delay = microseconds(300);  ///< One way, same domain.
  nanoseconds far_delay = milliseconds(1);     ///< One way, other domain.
  /// Largest difference of a node's clock speed, parts in a million.
  double drift_ppm = 200;
  /// A call counts as admitted only if it was still running: a call of a
  /// frozen node counts when it wakes.
  bool count_bytes = false;
};

/// Index of one process of the model; a replacement is another process.
using ProcessId = TypedId<struct ModelProcessTag, std::uint32_t>;

/// What the model counted.
struct RateModelReport {
  std::map<std::string, RateTally> tallies;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;  ///< Only if measure_bytes.
  std::vector<double>
      decision_latency_millis;  ///< Time to a decision, each call.
};

/// A mesh of nodes that admit calls by rate.
class RateModel {
 public:
  /// Starts one process beside each server of `deployment` at time zero; all
  /// have its version in force.
  RateModel(RateModelOptions options, const Deployment& deployment);
  ~RateModel();
  RateModel(const RateModel&) = delete;
  RateModel& operator=(const RateModel&) = delete;

  /// Offers Poisson calls of `workspace` at `rate` a second, spread evenly
  /// over `servers`, from now for `length`.
  void OfferCalls(const std::string& workspace, double rate,
                  const std::vector<std::string>& servers, nanoseconds length);

  void RunFor(nanoseconds length);

  /// Kills the process at `server`'s address; Start begins a new one there.
  void Kill(const std::string& server);
  void Start(const std::string& server);
  /// Stops a process for `length`; messages to it wait.
  void Freeze(const std::string& server, nanoseconds length);
  /// Detaches a process from its server's address, as when a frozen VM was
  /// replaced: it keeps running but no address leads to it.
  void Replace(const std::string& server);
  /// Cuts all messages between servers of different groups; servers not
  /// named are in group 0. With `hold`, they arrive after Heal.
  void Partition(std::map<std::string, int> groups, bool hold);
  void Heal();
  /// Sets which group of a cut reaches the platform; -1: all, -2: none.
  void SetPlatformGroup(int group);
  /// Publishes a version on the platform; it spreads from its watchers.
  void Publish(const Deployment& deployment);

  const std::vector<std::string>& servers() const { return names_; }
  Instant now() const { return queue_.now(); }
  RateModelReport Report() const;

 private:
  struct Process;
  struct Call;

  Process* FindAt(const std::string& address);
  void StartProcess(const std::string& server, bool fresh);
  void Tick(std::size_t index);
  void GossipRound(std::size_t index);
  void ProbeRound(std::size_t index);
  void Echo(Process* peer, const ProbeRequest& probe);
  void AskForHistory(Process* process, const std::string& peer);
  void ClaimParts(Process* process);
  void ReadPlatform(Process* process);
  void Exchange(Process* from, Process* to);
  void Apply(Process* process, std::shared_ptr<const Snapshot> snapshot);
  void Flush(Process* process);
  void AskOwnHome(Process* process, const TokenLeaseRequest& ask);
  Process* AnyProcessOf(const std::string& server);
  void Send(Process* from, const std::string& address,
            const std::function<void(Process*)>& deliver);
  void Deliver(Process* from, Process* to,
               const std::function<void(Process*)>& deliver);
  void Post(Process* from, Process* to,
            const std::function<void(Process*)>& deliver);
  void Count(const PeerMessage& message);
  bool Connected(const Process& a, const Process& b) const;
  bool ReachesPlatform(const Process& process) const;
  Instant LocalTime(const Process& process) const;
  void NextCall(const std::string& workspace, double rate,
                const std::vector<std::string>& servers, Instant end);
  void Enter(const std::string& workspace, const std::string& server);
  void Decide(Process* process, const RateDecision& decision);
  void UpdateOracles();
  std::unique_ptr<RateLimiter> MakeAdmission(const std::string& server);

  const RateModelOptions options_;
  std::mt19937_64 random_;
  EventQueue queue_;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::string, Process*> at_address_;
  std::map<std::string, int> groups_;
  bool cut_ = false;
  bool hold_ = false;
  std::vector<std::function<void()>> held_;
  int platform_group_ = -1;
  std::shared_ptr<const Snapshot> published_;
  Instant published_at_;
  std::vector<std::shared_ptr<const Snapshot>> unconverged_;
  std::map<std::string, RateOracle> oracles_;
  std::map<std::uint64_t, Call> calls_;
  std::uint64_t last_call_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  std::vector<double> wait_millis_;
};

/// Builds a deployment of `domains` x `servers_each` servers in one service,
/// with server names "s-D-I" and node addresses derived from them.
Deployment MakeModelDeployment(std::uint64_t number, int domains,
                               int servers_each,
                               std::vector<WorkspaceSpec> workspaces);

/// Builds a workspace with whole tokens.
WorkspaceSpec MakeModelWorkspace(std::string name, std::int64_t rate,
                                 std::int64_t burst);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MODEL_RATE_MODEL_H_
