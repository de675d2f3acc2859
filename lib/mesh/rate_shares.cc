#include "wisteriarill/mesh/rate_shares.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "wisteriarill/process/hashing.h"

namespace wisteriarill {
namespace {

/// Fraction of a node's share of the burst that is added to the owner's bucket
/// when the owner gets a new lease from that node.
constexpr double kLeaseBurstFraction = 0.3;
/// Fraction of the tolerance that owners use. The rest covers shares and tokens
/// that count twice while ownership moves.
constexpr double kUsedToleranceFraction = 0.6;
/// Tokens are requested ahead for the demand of this many seconds.
constexpr double kPrefetchSeconds = 0.25;
/// Time constant of the smoothed demand.
constexpr double kDemandTimeConstantSeconds = 1.0;
/// A grant of more than one token is limited to this fraction of the owner's
/// tokens.
constexpr double kMaxGrantFraction = 0.25;
/// Bounds of the time after which a refused node requests tokens again. The
/// maximum applies even if the owner expects to take longer: shares may be
/// leased to the owner at any moment.
constexpr milliseconds kMinRefusalTime{20};
constexpr milliseconds kMaxRefusalTime{60};
/// Maximum of the time until a token that an owner reports.
constexpr milliseconds kMaxTimeUntilToken{1000};
/// Added to a lease at the node that gives it, for clocks that run at different
/// rates.
constexpr milliseconds kLeaseMargin{50};

double Seconds(nanoseconds d) {
  return std::chrono::duration<double>(d).count();
}

}  // namespace

void RateShareOwner::SetNodeCount(std::size_t nodes) {
  node_count_ = std::max<std::size_t>(1, nodes);
}

void RateShareOwner::Configure(const std::vector<MeshWorkspace>& workspaces) {
  std::set<std::string> named;
  for (const MeshWorkspace& workspace : workspaces) {
    if (workspace.rate <= 0) continue;
    named.insert(workspace.name);
    TokenBucketState& bucket = buckets_[workspace.name];
    bucket.rate = workspace.rate;
    bucket.burst = workspace.burst;
  }
  std::erase_if(buckets_, [&named](const auto& item) {
    return !named.contains(item.first);
  });
}

double RateShareOwner::LeasedFraction(const TokenBucketState& bucket) const {
  const double leased = static_cast<double>(bucket.lease_ends.size());
  return std::min(1.0, leased / static_cast<double>(node_count_));
}

void RateShareOwner::Refill(TokenBucketState* bucket, Instant now) {
  std::erase_if(bucket->lease_ends,
                [now](const auto& lease) { return lease.second <= now; });
  const double excess = kUsedToleranceFraction * tolerance_.excess;
  const double rate = bucket->rate * (1 + excess) * LeasedFraction(*bucket);
  if (bucket->updated_at != kNever && now > bucket->updated_at) {
    bucket->level += rate * Seconds(now - bucket->updated_at);
  }
  // The bucket must hold a whole token even if the share is small.
  const double capacity =
      std::max(1.0, bucket->burst * LeasedFraction(*bucket));
  bucket->level = std::min(bucket->level, capacity);
  bucket->updated_at = std::max(bucket->updated_at, now);
}

void RateShareOwner::AddLease(const std::string& workspace,
                              const std::string& node, Instant now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return;
  TokenBucketState& bucket = found->second;
  Refill(&bucket, now);
  const auto [lease, is_new] = bucket.lease_ends.try_emplace(node);
  lease->second = now + kShareLeaseDuration;
  if (!is_new) return;
  bucket.level +=
      kLeaseBurstFraction * bucket.burst / static_cast<double>(node_count_);
}

std::uint32_t RateShareOwner::Grant(const std::string& workspace,
                                    std::uint32_t wanted, Instant now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return 0;
  TokenBucketState& bucket = found->second;
  Refill(&bucket, now);
  const double max_grant = std::max(1.0, bucket.level * kMaxGrantFraction);
  const double granted = std::floor(
      std::min({static_cast<double>(wanted), bucket.level, max_grant}));
  bucket.level -= granted;
  bucket.granted += static_cast<std::uint64_t>(granted);
  if (granted < 1) ++bucket.refused;
  return static_cast<std::uint32_t>(granted);
}

std::vector<RateShareReport> RateShareOwner::TakeReports() {
  std::vector<RateShareReport> reports;
  for (auto& [workspace, bucket] : buckets_) {
    if (bucket.refused > 0) {
      reports.push_back({workspace, bucket.rate, bucket.lease_ends.size(),
                         node_count_, bucket.level, bucket.granted,
                         bucket.refused});
    }
    bucket.granted = 0;
    bucket.refused = 0;
  }
  return reports;
}

milliseconds RateShareOwner::TimeUntilToken(const std::string& workspace,
                                            Instant now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return kShareLeaseDuration;
  TokenBucketState& bucket = found->second;
  Refill(&bucket, now);
  const double rate = std::max(0.1, bucket.rate * LeasedFraction(bucket));
  const double wait = std::max(0.0, 1 - bucket.level) / rate;
  const milliseconds until(static_cast<std::int64_t>(std::ceil(wait * 1000)));
  return std::min(until, kMaxTimeUntilToken);
}

bool RateShareClient::TryTakeToken(Instant now) {
  if (tokens_ < 1 || last_grant_ + kTokenLifetime <= now) return false;
  tokens_ -= 1;
  return true;
}

void RateShareClient::OnGrant(std::uint32_t tokens, milliseconds retry_after,
                              Instant now) {
  request_pending = false;
  if (tokens == 0) {
    refused_until_ =
        now + std::clamp(retry_after, kMinRefusalTime, kMaxRefusalTime);
    retry_after_ = retry_after;
    return;
  }
  refused_until_ = kNever;
  if (last_grant_ + kTokenLifetime <= now) tokens_ = 0;
  tokens_ += tokens;
  last_grant_ = now;
}

void RateShareClient::RecordDemand(Instant now) {
  if (demand_updated_ != kNever) {
    const double passed = Seconds(now - demand_updated_);
    demand_ *= std::exp(-passed / kDemandTimeConstantSeconds);
  }
  demand_ += 1 / kDemandTimeConstantSeconds;
  demand_updated_ = now;
}

std::uint32_t RateShareClient::TokensToRequest(Instant now) const {
  if (request_pending || IsRefused(now)) return 0;
  const double available = last_grant_ + kTokenLifetime <= now ? 0 : tokens_;
  const double need = std::max(1.0, demand_ * kPrefetchSeconds);
  if (available >= std::max(1.0, need / 2)) return 0;
  return static_cast<std::uint32_t>(std::ceil(need));
}

milliseconds RateShareClient::RetryAfter(Instant now) const {
  if (!IsRefused(now)) return kMinRefusalTime;
  return std::max(retry_after_, kMinRefusalTime);
}

bool RateShareClient::CanLeaseTo(const std::string& owner, Instant now) const {
  return owner == leased_to_ || leased_until_ <= now;
}

void RateShareClient::OnLeased(const std::string& owner, Instant now) {
  leased_to_ = owner;
  leased_until_ = now + kShareLeaseDuration + kLeaseMargin;
}

const std::string& OwnerOf(const std::string& workspace,
                           const std::vector<std::string>& nodes) {
  const std::uint64_t key = Hash64(workspace);
  std::size_t best = 0;
  std::uint64_t best_score = 0;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const std::uint64_t score = RendezvousScore(key, Hash64(nodes[i]));
    if (i > 0 && score <= best_score) continue;
    best = i;
    best_score = score;
  }
  return nodes[best];
}

}  // namespace wisteriarill
