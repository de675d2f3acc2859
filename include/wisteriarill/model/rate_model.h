/// \file
/// Simulation of rate limiting on many nodes, in one process and with simulated
/// time. Injects node crashes, freezes, replacements and network partitions.
/// The rate limiters and shard owners are the production classes.
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

/// How the nodes of the model divide the rate of a workspace: each shard of its
/// token bucket has an owner, one owner grants all tokens, or each node has a
/// fixed share. kSingleOwner also needs a maximum of one shard in the options
/// of the owner and the rate limiter; the model treats it as kShardOwners.
enum class RateDivisionPolicy { kShardOwners, kSingleOwner, kStaticSplit };

struct RateModelOptions {
  RateDivisionPolicy policy = RateDivisionPolicy::kShardOwners;
  RateShardOwnerOptions owner;
  LeasingRateLimiterOptions rate_limiter;
  std::uint64_t seed = 1;  ///< Of the random number generator.
  nanoseconds same_domain_delay = microseconds(300);  ///< Of messages, one way.
  nanoseconds cross_domain_delay = milliseconds(1);   ///< Of messages, one way.
  /// Maximum deviation of a node's clock rate, in parts per million.
  double max_clock_drift_ppm = 200;
  /// Encodes token requests, their replies, probes and echoes, and adds their
  /// sizes to RateModelReport::bytes.
  bool count_bytes = false;
};

/// Index of a process of the model. A replacement is a new process with an
/// index of its own.
using ProcessId = TypedId<struct ModelProcessTag, std::uint32_t>;

/// Counters and latencies of a run.
struct RateModelReport {
  std::map<std::string, RateTally> tallies;  ///< By workspace.
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;  ///< Zero unless count_bytes is set.
  /// Time from arrival to decision, one entry for each call.
  std::vector<double> decision_latency_millis;
};

/// Simulates a mesh of nodes that admit calls within the rates of workspaces.
/// Each node runs beside one backend server and is addressed by its name.
///
/// A call counts as admitted or refused when its process acts on the decision:
/// a call at a frozen process counts when the process resumes, and a call at a
/// terminated process never counts.
class RateModel {
 public:
  /// Starts one process beside each server of `deployment`. All processes start
  /// with the version of `deployment` in force.
  RateModel(RateModelOptions options, const Deployment& deployment);
  ~RateModel();
  RateModel(const RateModel&) = delete;
  RateModel& operator=(const RateModel&) = delete;

  /// Generates calls of `workspace` as a Poisson process of `rate` calls per
  /// second for `duration` from now. Each call enters at the node of a server
  /// drawn uniformly from `servers`.
  void OfferCalls(const std::string& workspace, double rate,
                  const std::vector<std::string>& servers,
                  nanoseconds duration);

  /// Advances the simulated clock by `duration`.
  void RunFor(nanoseconds duration);

  /// Terminates the process at `server`'s address.
  void Kill(const std::string& server);
  /// Starts a new process without a version at `server`'s address, unless one
  /// is running there or the published version has no such server.
  void Start(const std::string& server);
  /// Suspends a process for `duration`. Messages to it are delivered when it
  /// resumes.
  void Freeze(const std::string& server, nanoseconds duration);
  /// Starts a new process at `server`'s address, as when a frozen VM is
  /// replaced. The old process keeps running, but messages to the address reach
  /// the new one.
  void Replace(const std::string& server);
  /// Partitions the network: messages between servers of different groups are
  /// lost, or delivered after Heal if `hold` is set. Servers not in `groups`
  /// are in group 0.
  void Partition(std::map<std::string, int> groups, bool hold);
  /// Ends the partition and delivers the messages that were held.
  void Heal();
  /// Sets which group of a partition reaches the platform. -1 means all groups,
  /// -2 means none.
  void SetPlatformGroup(int group);
  /// Publishes a version on the platform. Every fifth process and those without
  /// a version read the platform, the others learn of the version by gossip.
  void Publish(const Deployment& deployment);

  const std::vector<std::string>& servers() const { return server_names_; }
  Instant now() const { return queue_.now(); }
  RateModelReport Report() const;

 private:
  struct Process;
  struct Call;

  Process* FindByAddress(const std::string& address);
  void StartProcess(const std::string& server, bool without_version);
  void Tick(std::size_t index);
  void GossipRound(std::size_t index);
  void ProbeRound(std::size_t index);
  void SendEcho(Process* peer, const ProbeRequest& probe);
  void RequestHistory(Process* process, const std::string& peer);
  void ClaimShards(Process* process);
  void ReadPlatform(Process* process);
  void ExchangeVersions(Process* from, Process* to);
  void ApplySnapshot(Process* process,
                     std::shared_ptr<const Snapshot> snapshot);
  /// Records the decisions of the rate limiter and sends its token requests.
  void HandleRateLimiterOutput(Process* process);
  void RequestFromLocalOwner(Process* process,
                             const TokenLeaseRequest& request);
  /// Returns a random process of `server` that is running and has a version in
  /// force, or nullptr.
  Process* PickRunningProcess(const std::string& server);
  void SendToAddress(Process* from, const std::string& address,
                     const std::function<void(Process*)>& deliver);
  /// Runs `deliver` on `to`. Drops or holds it during a partition, and defers
  /// it while `to` is frozen.
  void Deliver(Process* from, Process* to,
               const std::function<void(Process*)>& deliver);
  void SendToProcess(Process* from, Process* to,
                     const std::function<void(Process*)>& deliver);
  void CountBytes(const PeerMessage& message);
  bool AreConnected(const Process& a, const Process& b) const;
  bool ReachesPlatform(const Process& process) const;
  Instant LocalTime(const Process& process) const;
  void ScheduleNextCall(const std::string& workspace, double rate,
                        const std::vector<std::string>& servers, Instant end);
  void StartCall(const std::string& workspace, const std::string& server);
  void RecordDecision(Process* process, const RateDecision& decision);
  /// Sets the rates and bursts that the oracles allow.
  void UpdateOracles();
  std::unique_ptr<RateLimiter> MakeRateLimiter(const std::string& server);

  const RateModelOptions options_;
  std::mt19937_64 random_;
  EventQueue queue_;
  std::vector<std::string> server_names_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<std::string, Process*> by_address_;  ///< By node address.
  std::map<std::string, int> partition_groups_;
  bool partitioned_ = false;
  bool hold_messages_ = false;
  std::vector<std::function<void()>> held_messages_;
  int platform_group_ = -1;
  std::shared_ptr<const Snapshot> published_;
  Instant published_at_;
  /// Published versions that a live process may still have in force.
  std::vector<std::shared_ptr<const Snapshot>> versions_in_use_;
  std::map<std::string, RateOracle> oracles_;  ///< By workspace.
  std::map<std::uint64_t, Call> calls_;        ///< Pending, by ticket.
  std::uint64_t last_call_id_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  std::vector<double> decision_latency_millis_;
};

/// Builds a deployment with one service of `domains` x `servers_per_domain`
/// servers. Server I of failure domain D is named "s-D-I"; its node address is
/// derived from D and I.
Deployment MakeModelDeployment(std::uint64_t number, int domains,
                               int servers_per_domain,
                               std::vector<WorkspaceSpec> workspaces);

/// Builds a workspace from a rate in tokens per second and a burst in tokens.
WorkspaceSpec MakeModelWorkspace(std::string name, std::int64_t rate,
                                 std::int64_t burst);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MODEL_RATE_MODEL_H_
