#include "wisteriarill/process/static_split_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace wisteriarill {

void StaticSplitRateLimiter::OnSnapshot(
    std::shared_ptr<const Snapshot> snapshot, Instant now) {
  snapshot_ = std::move(snapshot);
  const auto nodes = static_cast<std::int64_t>(
      std::max<std::size_t>(1, snapshot_->servers().size()));
  for (const Workspace& workspace : snapshot_->workspaces()) {
    const TokenRate share{workspace.rate / nodes, workspace.burst / nodes};
    const auto [entry, added] =
        buckets_.try_emplace(workspace.name, share, now);
    if (added) continue;
    entry->second.Advance(now);
    entry->second.Resize(share);
  }
}

void StaticSplitRateLimiter::RequestToken(const std::string& workspace,
                                          TicketId ticket, Instant now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    decisions_.push_back({ticket, false, seconds(1)});
    return;
  }
  TokenBucket& bucket = found->second;
  bucket.Advance(now);
  const bool granted = bucket.Take(1) == 1;
  if (granted) bucket.Settle(1, 0);
  decisions_.push_back({ticket, granted, milliseconds(100)});
}

void StaticSplitRateLimiter::OnTokenReply(const TokenLeaseReply& /*reply*/,
                                          Instant /*now*/) {}

void StaticSplitRateLimiter::OnTick(Instant /*now*/) {}

std::vector<RateDecision> StaticSplitRateLimiter::TakeDecisions() {
  return std::exchange(decisions_, {});
}

std::vector<OutgoingTokenRequest> StaticSplitRateLimiter::TakeRequests() {
  return {};
}

}  // namespace wisteriarill
