/// \file
/// How a workspace's bucket is cut into parts, and which node is home to each.
#ifndef WISTERIARILL_PROCESS_RATE_SHARD_PLANNER_H_
#define WISTERIARILL_PROCESS_RATE_SHARD_PLANNER_H_

#include <optional>
#include <vector>

#include "wisteriarill/process/token_bucket.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// One part of a workspace's bucket and the only node that may give it out.
struct RateShard {
  FailureDomainId domain;
  std::uint16_t slot = 0;  ///< Rank of the home within its failure domain.
  ServerId owner;
  TokenRate size;
};

/// How parts are cut.
struct RateShardOptions {
  /// Parts that a workspace has at most, if its burst is large enough.
  std::uint32_t max_shards = 8;
  /// Burst that each part has at least, in tokens.
  std::int64_t least_part_burst = 2;
};

/// A part whose home is the node that asked, and how many parts there are.
struct OwnRatePart {
  RateShard part;
  std::size_t cut = 0;
};

/// Cuts the buckets of one version. The sums of rate and burst over the parts
/// are the workspace's. Homes follow rendezvous hashing over the servers of
/// each failure domain that are not leaving; a failure domain that is out
/// keeps its parts.
class RatePartPlanner {
 public:
  /// `snapshot` outlives the planner.
  RatePartPlanner(const Snapshot& snapshot, const RateShardOptions& options);

  /// Returns all parts; empty only if the mesh has no server.
  std::vector<RateShard> Cut(WorkspaceId id) const;
  /// Returns the part whose home is `self`, if there is one.
  std::optional<OwnRatePart> FindOwn(WorkspaceId id, ServerId self) const;

 private:
  std::vector<RateShard> PlanSlots(const Workspace& workspace) const;
  static void SizeParts(const Workspace& workspace,
                        std::vector<RateShard>* parts);

  const Snapshot& snapshot_;
  const RateShardOptions options_;
  std::size_t each_ = 1;  ///< Homes in each failure domain at most.
  std::vector<std::size_t> home_counts_;  ///< By failure domain.
};

/// Cuts one workspace's bucket; see RatePartPlanner.
std::vector<RateShard> PlanRateShards(const Snapshot& snapshot,
                                   WorkspaceId workspace,
                                   const RateShardOptions& options);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_RATE_SHARD_PLANNER_H_
