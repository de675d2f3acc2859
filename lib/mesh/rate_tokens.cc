#include "wisteriarill/mesh/rate_tokens.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <utility>

#include "wisteriarill/process/hashing.h"

namespace wisteriarill {
namespace {

/// Fraction of the tolerance that owners use. The rest covers tokens that two
/// owners grant while they disagree about which of them is silent.
constexpr double kUsedToleranceFraction = 0.3;
/// Fractions of the slack that owners use as burst and as rate. A workspace
/// with a low rate is refused mostly because its requests come in bursts.
constexpr double kSlackAsBurst = 0.25;
constexpr double kSlackAsRate = 0.25;
/// Tokens in the bucket of a new owner, so that the first requests after a
/// restart need not wait for one.
constexpr double kInitialTokens = 2;
/// Time for which a node that stands in for a silent owner keeps its tokens
/// between two requests.
constexpr milliseconds kActingTime{1000};
/// A node that begins to stand in grants only a part of its part at first: the
/// owner may be on the other side of a partition and not know its reach yet.
constexpr milliseconds kCautiousTime{1500};
constexpr double kCautiousFraction = 0.5;
/// Time after which a higher reach is in force.
constexpr milliseconds kReachRiseDelay{800};
/// Tokens are requested ahead for the demand of this many seconds.
constexpr double kPrefetchSeconds = 0.25;
/// Time constant of the smoothed demand.
constexpr double kDemandTimeConstantSeconds = 1.0;
/// A grant of more than one token is limited to this fraction of the owner's
/// tokens.
constexpr double kMaxGrantFraction = 0.25;
/// Bounds of the time after which a refused node requests tokens again. The
/// maximum applies even if the owner expects to take longer: another node may
/// become the owner at any moment.
constexpr milliseconds kMinRefusalTime{20};
constexpr milliseconds kMaxRefusalTime{60};
/// Maximum of the time until a token that an owner reports.
constexpr milliseconds kMaxTimeUntilToken{1000};

double Seconds(nanoseconds d) {
  return std::chrono::duration<double>(d).count();
}

}  // namespace

void RateTokenOwner::SetReach(double reach, Instant measured_since,
                              Instant now) {
  reach_measured_since_ = measured_since;
  if (reach <= reach_) {
    reach_ = reach;
    higher_since_ = kNever;
    return;
  }
  if (higher_since_ == kNever) {
    higher_since_ = now;
    higher_reach_ = reach;
  }
  higher_reach_ = std::min(higher_reach_, reach);
  if (now < higher_since_ + kReachRiseDelay) return;
  reach_ = higher_reach_;
  higher_since_ = kNever;
}

void RateTokenOwner::Configure(const std::vector<MeshWorkspace>& workspaces) {
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

void RateTokenOwner::SetOwned(const std::string& workspace, bool owned,
                              Instant now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return;
  TokenBucketState& bucket = found->second;
  const bool acted = now < bucket.acting_until;
  if (owned && !bucket.owned && !acted) {
    bucket.level = kInitialTokens;
    bucket.updated_at = now;
  }
  bucket.owned = owned;
}

bool RateTokenOwner::ActAsOwner(const std::string& workspace, Instant now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end() || found->second.owned) return false;
  TokenBucketState& bucket = found->second;
  const bool begins = now >= bucket.acting_until;
  if (begins) {
    bucket.level = 0;
    bucket.updated_at = now;
    bucket.acting_since = now;
    bucket.reach_since = now;
  }
  bucket.acting_until = now + kActingTime;
  return begins;
}

void RateTokenOwner::RequireReachSince(const std::string& workspace,
                                       Instant since) {
  const auto found = buckets_.find(workspace);
  if (found != buckets_.end()) found->second.reach_since = since;
}

bool RateTokenOwner::KnowsPart(const TokenBucketState& bucket) const {
  if (bucket.owned) return true;
  return reach_measured_since_ != kNever &&
         reach_measured_since_ >= bucket.reach_since;
}

bool RateTokenOwner::KnowsPart(const std::string& workspace) const {
  const auto found = buckets_.find(workspace);
  return found != buckets_.end() && KnowsPart(found->second);
}

double RateTokenOwner::RatePart(const TokenBucketState& bucket,
                                Instant now) const {
  if (bucket.owned) return reach_;
  if (!KnowsPart(bucket)) return 0;
  const bool cautious = now < bucket.acting_since + kCautiousTime;
  return cautious ? reach_ * kCautiousFraction : reach_;
}

double RateTokenOwner::RefillRate(const TokenBucketState& bucket) const {
  const double excess = kUsedToleranceFraction * tolerance_.excess;
  const double slack_rate =
      kSlackAsRate * tolerance_.slack / Seconds(tolerance_.window);
  return bucket.rate * (1 + excess) + slack_rate;
}

void RateTokenOwner::Refill(TokenBucketState* bucket, Instant now) const {
  const double rate = RefillRate(*bucket) * RatePart(*bucket, now);
  if (bucket->updated_at != kNever && now > bucket->updated_at) {
    bucket->level += rate * Seconds(now - bucket->updated_at);
  }
  // The bucket must hold a whole token even if the burst is small.
  const double burst = bucket->burst + kSlackAsBurst * tolerance_.slack;
  const double capacity = std::max(kInitialTokens, burst * reach_);
  bucket->level = std::min(bucket->level, capacity);
  bucket->updated_at = std::max(bucket->updated_at, now);
}

std::uint32_t RateTokenOwner::Grant(const std::string& workspace,
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

std::vector<RateOwnerReport> RateTokenOwner::TakeReports() {
  std::vector<RateOwnerReport> reports;
  for (auto& [workspace, bucket] : buckets_) {
    if (bucket.refused > 0) {
      reports.push_back({workspace, bucket.rate, reach_, bucket.level,
                         bucket.granted, bucket.refused});
    }
    bucket.granted = 0;
    bucket.refused = 0;
  }
  return reports;
}

milliseconds RateTokenOwner::TimeUntilToken(const std::string& workspace,
                                            Instant now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return kMaxTimeUntilToken;
  TokenBucketState& bucket = found->second;
  Refill(&bucket, now);
  const double rate = std::max(0.1, RefillRate(bucket) * RatePart(bucket, now));
  const double wait = std::max(0.0, 1 - bucket.level) / rate;
  const milliseconds until(static_cast<std::int64_t>(std::ceil(wait * 1000)));
  return std::min(until, kMaxTimeUntilToken);
}

bool RateTokenClient::TryTakeToken(Instant now) {
  if (tokens_ < 1 || last_grant_ + kTokenLifetime <= now) return false;
  tokens_ -= 1;
  return true;
}

void RateTokenClient::OnGrant(std::uint32_t tokens, milliseconds retry_after,
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

void RateTokenClient::RecordDemand(Instant now) {
  if (demand_updated_ != kNever) {
    const double passed = Seconds(now - demand_updated_);
    demand_ *= std::exp(-passed / kDemandTimeConstantSeconds);
  }
  demand_ += 1 / kDemandTimeConstantSeconds;
  demand_updated_ = now;
}

std::uint32_t RateTokenClient::TokensToRequest(Instant now) const {
  if (request_pending || IsRefused(now)) return 0;
  const double available = last_grant_ + kTokenLifetime <= now ? 0 : tokens_;
  const double need = std::max(1.0, demand_ * kPrefetchSeconds);
  if (available >= std::max(1.0, need / 2)) return 0;
  return static_cast<std::uint32_t>(std::ceil(need));
}

milliseconds RateTokenClient::RetryAfter(Instant now) const {
  if (!IsRefused(now)) return kMinRefusalTime;
  return std::max(retry_after_, kMinRefusalTime);
}

std::vector<std::string> RankOwners(std::string_view workspace,
                                    const std::vector<std::string>& nodes,
                                    std::size_t count) {
  const std::uint64_t key = Hash64(workspace);
  std::vector<std::pair<std::uint64_t, std::size_t>> scores;
  scores.reserve(nodes.size());
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    scores.emplace_back(RendezvousScore(key, Hash64(nodes[i])), i);
  }
  const std::size_t ranked = std::min(count, scores.size());
  std::partial_sort(scores.begin(),
                    scores.begin() + static_cast<std::ptrdiff_t>(ranked),
                    scores.end(), std::greater<>());
  std::vector<std::string> owners;
  for (std::size_t i = 0; i < ranked; ++i) {
    owners.push_back(nodes[scores[i].second]);
  }
  return owners;
}

}  // namespace wisteriarill
