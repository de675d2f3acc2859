/// \file
/// Divides a workspace's token bucket into shards and assigns an owner to each.
#ifndef WISTERIARILL_PROCESS_RATE_SHARD_PLANNER_H_
#define WISTERIARILL_PROCESS_RATE_SHARD_PLANNER_H_

#include <optional>
#include <vector>

#include "wisteriarill/process/token_bucket.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// One shard of a workspace's token bucket, and the only node that may grant
/// its tokens.
struct RateShard {
  FailureDomainId domain;
  std::uint16_t slot = 0;  ///< Rank of the owner in its failure domain.
  ServerId owner;
  TokenRate size;
};

/// How buckets are divided into shards.
struct RateShardOptions {
  /// Maximum number of shards of a workspace. A workspace with a small burst
  /// has fewer.
  std::uint32_t max_shards = 8;
  /// Minimum burst of a shard, in tokens.
  std::int64_t min_shard_burst = 2;
};

/// A shard that the given server owns, and the number of shards of its
/// workspace.
struct OwnedRateShard {
  RateShard shard;
  std::size_t shard_count = 0;
};

/// Divides the buckets of one version. The rates and bursts of the shards sum
/// up to those of the workspace. Owners are selected by rendezvous hashing over
/// the servers of each failure domain that are not leaving. A failure domain
/// that is out of service keeps its shards.
class RateShardPlanner {
 public:
  /// `snapshot` must outlive the planner.
  RateShardPlanner(const Snapshot& snapshot, const RateShardOptions& options);

  /// Returns all shards; empty only if the mesh has no server.
  std::vector<RateShard> Plan(WorkspaceId id) const;
  /// Returns the shard that `self` owns, if there is one.
  std::optional<OwnedRateShard> FindOwn(WorkspaceId id, ServerId self) const;

 private:
  std::vector<RateShard> AssignSlots(const Workspace& workspace) const;
  static void AssignSizes(const Workspace& workspace,
                          std::vector<RateShard>* shards);

  const Snapshot& snapshot_;
  const RateShardOptions options_;
  /// Maximum number of owners in each failure domain.
  std::size_t owners_per_domain_ = 1;
  std::vector<std::size_t> owner_counts_;  ///< By failure domain.
};

/// Divides one workspace's bucket; see RateShardPlanner.
std::vector<RateShard> PlanRateShards(const Snapshot& snapshot,
                                      WorkspaceId workspace,
                                      const RateShardOptions& options);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_RATE_SHARD_PLANNER_H_
