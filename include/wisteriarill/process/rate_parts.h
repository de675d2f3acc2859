/// \file
/// How a workspace's bucket is cut into parts, and which node is home to each.
#ifndef WISTERIARILL_PROCESS_RATE_PARTS_H_
#define WISTERIARILL_PROCESS_RATE_PARTS_H_

#include <vector>

#include "wisteriarill/process/token_bucket.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// One part of a workspace's bucket and the only node that may give it out.
struct RatePart {
  FailureDomainId domain;
  std::uint16_t slot = 0;  ///< Rank of the home within its failure domain.
  ServerId home;
  TokenRate size;
};

/// How parts are cut.
struct RatePartOptions {
  /// Parts that a workspace has at most, if its burst is large enough.
  std::uint32_t target_parts = 8;
  /// Burst that each part has at least, in tokens.
  std::int64_t least_part_burst = 2;
};

/// Cuts a workspace's bucket for `snapshot`. The sums of rate and burst over
/// the parts are the workspace's. Homes follow rendezvous hashing over the
/// servers of each failure domain that are not leaving; a failure domain that
/// is out keeps its parts. Empty only if the mesh has no server.
std::vector<RatePart> CutRateParts(const Snapshot& snapshot,
                                   WorkspaceId workspace,
                                   const RatePartOptions& options);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_RATE_PARTS_H_
