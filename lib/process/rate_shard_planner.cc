#include "wisteriarill/process/rate_shard_planner.h"

#include <algorithm>
#include <tuple>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

template <typename Id>
struct Scored {
  std::uint64_t score;
  Id id;
  friend bool operator<(const Scored& a, const Scored& b) {
    return std::tie(b.score, a.id) < std::tie(a.score, b.id);
  }
};

// Returns the `count` servers of a failure domain with the highest scores,
// highest first.
std::vector<ServerId> RankServers(const Snapshot& snapshot,
                                  FailureDomainId domain,
                                  std::uint64_t workspace, std::size_t count) {
  std::vector<Scored<ServerId>> ranked;
  for (const ServerId id : snapshot.failure_domain(domain).servers) {
    const Server& server = snapshot.server(id);
    if (server.leaving) continue;
    ranked.push_back({RendezvousScore(workspace, server.hash), id});
  }
  count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<ServerId> ids;
  ids.reserve(count);
  for (std::size_t i = 0; i < count; ++i) ids.push_back(ranked[i].id);
  return ids;
}

std::int64_t ShareOf(std::int64_t whole, std::size_t index, std::size_t count) {
  const auto n = static_cast<std::int64_t>(count);
  const bool takes_extra = static_cast<std::int64_t>(index) < whole % n;
  return whole / n + (takes_extra ? 1 : 0);
}

}  // namespace

RateShardPlanner::RateShardPlanner(const Snapshot& snapshot,
                                   const RateShardOptions& options)
    : snapshot_(snapshot), options_(options) {
  const std::size_t domains = snapshot.failure_domains().size();
  owners_per_domain_ = std::max<std::size_t>(
      1, options.max_shards / std::max<std::size_t>(1, domains));
  for (const FailureDomain& domain : snapshot.failure_domains()) {
    std::size_t count = 0;
    for (const ServerId id : domain.servers) {
      if (!snapshot.server(id).leaving && ++count >= owners_per_domain_) break;
    }
    owner_counts_.push_back(count);
  }
}

std::vector<RateShard> RateShardPlanner::AssignSlots(
    const Workspace& workspace) const {
  std::vector<Scored<FailureDomainId>> ranked;
  const auto& domains = snapshot_.failure_domains();
  ranked.reserve(domains.size());
  for (std::uint32_t i = 0; i < domains.size(); ++i) {
    ranked.push_back(
        {RendezvousScore(workspace.hash, domains[i].hash), FailureDomainId{i}});
  }
  std::sort(ranked.begin(), ranked.end());
  const std::int64_t max_by_burst =
      workspace.burst / kMicroTokensPerToken /
      std::max<std::int64_t>(1, options_.min_shard_burst);
  const auto max_count = static_cast<std::size_t>(std::clamp<std::int64_t>(
      max_by_burst, 1, std::max<std::int64_t>(options_.max_shards, 1)));
  std::vector<RateShard> shards;
  for (std::size_t slot = 0; slot < owners_per_domain_; ++slot) {
    for (const auto& domain : ranked) {
      if (slot >= owner_counts_[domain.id.value]) continue;
      if (shards.size() >= max_count) break;
      shards.push_back({domain.id, static_cast<std::uint16_t>(slot), {}, {}});
    }
  }
  return shards;
}

void RateShardPlanner::AssignSizes(const Workspace& workspace,
                                   std::vector<RateShard>* shards) {
  TokenRate sum;
  for (std::size_t i = 0; i < shards->size(); ++i) {
    TokenRate& size = (*shards)[i].size;
    size.rate = ShareOf(workspace.rate, i, shards->size());
    size.burst = ShareOf(workspace.burst, i, shards->size());
    sum.rate += size.rate;
    sum.burst += size.burst;
  }
  CheckInvariant(
      shards->empty() || sum == TokenRate{workspace.rate, workspace.burst},
      "rate_parts_sum_to_workspace", workspace.name);
}

std::vector<RateShard> RateShardPlanner::Plan(WorkspaceId id) const {
  const Workspace& workspace = snapshot_.workspace(id);
  std::vector<RateShard> shards = AssignSlots(workspace);
  AssignSizes(workspace, &shards);
  for (RateShard& shard : shards) {
    shard.owner = RankServers(snapshot_, shard.domain, workspace.hash,
                              shard.slot + 1U)[shard.slot];
  }
  return shards;
}

std::optional<OwnedRateShard> RateShardPlanner::FindOwn(WorkspaceId id,
                                                        ServerId self) const {
  const Server& server = snapshot_.server(self);
  if (server.leaving) return std::nullopt;
  const Workspace& workspace = snapshot_.workspace(id);
  const std::uint64_t own = RendezvousScore(workspace.hash, server.hash);
  std::size_t rank = 0;
  for (const ServerId other : snapshot_.failure_domain(server.domain).servers) {
    const Server& other_server = snapshot_.server(other);
    if (other == self || other_server.leaving) continue;
    const Scored<ServerId> theirs{
        RendezvousScore(workspace.hash, other_server.hash), other};
    if (theirs < Scored<ServerId>{own, self} && ++rank >= owners_per_domain_) {
      return std::nullopt;
    }
  }
  std::vector<RateShard> shards = AssignSlots(workspace);
  AssignSizes(workspace, &shards);
  for (RateShard& shard : shards) {
    if (shard.domain != server.domain || shard.slot != rank) continue;
    shard.owner = self;
    return OwnedRateShard{shard, shards.size()};
  }
  return std::nullopt;
}

std::vector<RateShard> PlanRateShards(const Snapshot& snapshot,
                                      WorkspaceId workspace,
                                      const RateShardOptions& options) {
  return RateShardPlanner(snapshot, options).Plan(workspace);
}

}  // namespace wisteriarill
