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

// The `count` best servers of a failure domain, best first.
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

RatePartPlanner::RatePartPlanner(const Snapshot& snapshot,
                                 const RateShardOptions& options)
    : snapshot_(snapshot), options_(options) {
  const std::size_t domains = snapshot.failure_domains().size();
  each_ = std::max<std::size_t>(
      1, options.max_shards / std::max<std::size_t>(1, domains));
  for (const FailureDomain& domain : snapshot.failure_domains()) {
    std::size_t count = 0;
    for (const ServerId id : domain.servers) {
      if (!snapshot.server(id).leaving && ++count >= each_) break;
    }
    home_counts_.push_back(count);
  }
}

std::vector<RateShard> RatePartPlanner::PlanSlots(
    const Workspace& workspace) const {
  std::vector<Scored<FailureDomainId>> ranked;
  const auto& domains = snapshot_.failure_domains();
  ranked.reserve(domains.size());
  for (std::uint32_t i = 0; i < domains.size(); ++i) {
    ranked.push_back(
        {RendezvousScore(workspace.hash, domains[i].hash), FailureDomainId{i}});
  }
  std::sort(ranked.begin(), ranked.end());
  const std::int64_t by_burst =
      workspace.burst / kMicroTokensPerToken /
      std::max<std::int64_t>(1, options_.least_part_burst);
  const auto most = static_cast<std::size_t>(std::clamp<std::int64_t>(
      by_burst, 1, std::max<std::int64_t>(options_.max_shards, 1)));
  std::vector<RateShard> parts;
  for (std::size_t slot = 0; slot < each_; ++slot) {
    for (const auto& domain : ranked) {
      if (slot >= home_counts_[domain.id.value]) continue;
      if (parts.size() >= most) break;
      parts.push_back({domain.id, static_cast<std::uint16_t>(slot), {}, {}});
    }
  }
  return parts;
}

void RatePartPlanner::SizeParts(const Workspace& workspace,
                                std::vector<RateShard>* parts) {
  TokenRate sum;
  for (std::size_t i = 0; i < parts->size(); ++i) {
    TokenRate& size = (*parts)[i].size;
    size.rate = ShareOf(workspace.rate, i, parts->size());
    size.burst = ShareOf(workspace.burst, i, parts->size());
    sum.rate += size.rate;
    sum.burst += size.burst;
  }
  CheckInvariant(
      parts->empty() || sum == TokenRate{workspace.rate, workspace.burst},
      "rate_parts_sum_to_workspace", workspace.name);
}

std::vector<RateShard> RatePartPlanner::Cut(WorkspaceId id) const {
  const Workspace& workspace = snapshot_.workspace(id);
  std::vector<RateShard> parts = PlanSlots(workspace);
  SizeParts(workspace, &parts);
  for (RateShard& part : parts) {
    part.owner = RankServers(snapshot_, part.domain, workspace.hash,
                            part.slot + 1U)[part.slot];
  }
  return parts;
}

std::optional<OwnRatePart> RatePartPlanner::FindOwn(WorkspaceId id,
                                                    ServerId self) const {
  const Server& server = snapshot_.server(self);
  if (server.leaving) return std::nullopt;
  const Workspace& workspace = snapshot_.workspace(id);
  const std::uint64_t own = RendezvousScore(workspace.hash, server.hash);
  std::size_t rank = 0;
  for (const ServerId other : snapshot_.failure_domain(server.domain).servers) {
    const Server& rival = snapshot_.server(other);
    if (other == self || rival.leaving) continue;
    const Scored<ServerId> theirs{RendezvousScore(workspace.hash, rival.hash),
                                  other};
    if (theirs < Scored<ServerId>{own, self} && ++rank >= each_) {
      return std::nullopt;
    }
  }
  std::vector<RateShard> parts = PlanSlots(workspace);
  SizeParts(workspace, &parts);
  for (RateShard& part : parts) {
    if (part.domain != server.domain || part.slot != rank) continue;
    part.owner = self;
    return OwnRatePart{part, parts.size()};
  }
  return std::nullopt;
}

std::vector<RateShard> PlanRateShards(const Snapshot& snapshot,
                                   WorkspaceId workspace,
                                   const RateShardOptions& options) {
  return RatePartPlanner(snapshot, options).Cut(workspace);
}

}  // namespace wisteriarill
