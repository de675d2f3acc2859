#include "wisteriarill/process/rate_parts.h"

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

std::vector<FailureDomainId> RankDomains(const Snapshot& snapshot,
                                         std::uint64_t workspace) {
  std::vector<Scored<FailureDomainId>> ranked;
  const auto& domains = snapshot.failure_domains();
  ranked.reserve(domains.size());
  for (std::uint32_t i = 0; i < domains.size(); ++i) {
    ranked.push_back(
        {RendezvousScore(workspace, domains[i].hash), FailureDomainId{i}});
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<FailureDomainId> ids;
  ids.reserve(ranked.size());
  for (const auto& entry : ranked) ids.push_back(entry.id);
  return ids;
}

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
  for (std::size_t i = 0; i < count; ++i) ids.push_back(ranked[i].id);
  return ids;
}

std::int64_t ShareOf(std::int64_t whole, std::size_t index, std::size_t count) {
  const auto n = static_cast<std::int64_t>(count);
  const bool takes_extra = static_cast<std::int64_t>(index) < whole % n;
  return whole / n + (takes_extra ? 1 : 0);
}

void SizeParts(const Workspace& workspace, std::vector<RatePart>* parts) {
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

}  // namespace

std::vector<RatePart> CutRateParts(const Snapshot& snapshot,
                                   WorkspaceId workspace_id,
                                   const RatePartOptions& options) {
  const Workspace& workspace = snapshot.workspace(workspace_id);
  const std::size_t domains = snapshot.failure_domains().size();
  if (domains == 0) return {};
  const std::size_t each =
      std::max<std::size_t>(1, options.target_parts / domains);
  const std::int64_t by_burst =
      workspace.burst / kMicroTokensPerToken /
      std::max<std::int64_t>(1, options.least_part_burst);
  const auto most = static_cast<std::size_t>(std::clamp<std::int64_t>(
      by_burst, 1, std::max<std::int64_t>(options.target_parts, 1)));
  std::vector<RatePart> parts;
  std::vector<std::vector<ServerId>> homes;
  homes.reserve(domains);
  const auto ranked = RankDomains(snapshot, workspace.hash);
  for (const FailureDomainId domain : ranked) {
    homes.push_back(RankServers(snapshot, domain, workspace.hash, each));
  }
  for (std::size_t round = 0; round < each; ++round) {
    for (std::size_t i = 0; i < ranked.size(); ++i) {
      if (round >= homes[i].size() || parts.size() >= most) continue;
      parts.push_back(
          {ranked[i], static_cast<std::uint16_t>(round), homes[i][round], {}});
    }
  }
  SizeParts(workspace, &parts);
  return parts;
}

}  // namespace wisteriarill
