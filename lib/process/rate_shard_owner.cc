#include "wisteriarill/process/rate_shard_owner.h"

#include <algorithm>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

// An owner grants at most this fraction of its level (one in kPrefetchDivisor)
// beyond the need of a request, so that tokens do not lie idle at one node
// while another node's calls are refused.
constexpr std::int64_t kPrefetchDivisor = 4;
// The platform counts the publications of a key from one. Before the first, no
// version was in force anywhere.
constexpr std::uint64_t kFirstRevision = 1;
constexpr Instant kBeforeAnyPublication =
    Instant{} - std::chrono::hours(24 * 365);
constexpr microseconds kClaimInterval = milliseconds(500);

bool HappenedWithin(Instant at, microseconds bound, Instant now) {
  return at != kNever && now - at < bound;
}

TokenRate ComponentwiseMin(TokenRate a, TokenRate b) {
  return {std::min(a.rate, b.rate), std::min(a.burst, b.burst)};
}

}  // namespace

RateShardOwner::RateShardOwner(RateShardOwnerOptions options, std::string self,
                               Instant started)
    : options_(options),
      self_(std::move(self)),
      started_(started),
      change_log_(options.shard_options, 2 * options.takeover_wait()) {}

std::vector<std::pair<RateShardOwner::ShardKey, OwnedRateShard>>
RateShardOwner::FindOwnedShards(const Snapshot& snapshot) const {
  std::vector<std::pair<ShardKey, OwnedRateShard>> own;
  const auto self = snapshot.FindServer(self_);
  if (!self.has_value()) return own;
  const RateShardPlanner planner(snapshot, options_.shard_options);
  const auto count = static_cast<std::uint32_t>(snapshot.workspaces().size());
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto found = planner.FindOwn(WorkspaceId{i}, *self);
    if (!found.has_value()) continue;
    const std::string& name = snapshot.workspace(WorkspaceId{i}).name;
    own.push_back({{name, found->shard.slot}, *found});
  }
  return own;
}

void RateShardOwner::OnSnapshot(std::shared_ptr<const Snapshot> snapshot,
                                Instant now) {
  previous_ = std::move(snapshot_);
  snapshot_ = std::move(snapshot);
  change_log_.OnSnapshot(previous_.get(), *snapshot_, now);
  std::map<ShardKey, OwnedShard> before = std::move(shards_);
  shards_.clear();
  for (const auto& [key, own] : FindOwnedShards(*snapshot_)) {
    const auto held = before.find(key);
    if (held == before.end()) {
      Acquire(key, own, now);
      continue;
    }
    Resize(own, &held->second, now);
    shards_.insert(before.extract(held));
  }
  for (const auto& [key, shard] : before) Drop(key, shard, now);
  std::erase_if(former_shards_, [&](const auto& entry) {
    return now - entry.second.at > options_.takeover_wait();
  });
  const Version& version = snapshot_->version();
  if (version.revision != kFirstRevision) return;
  OnVersionPublished(version, kBeforeAnyPublication, now);
  for (auto& [key, shard] : shards_) shard.needs_majority = false;
}

void RateShardOwner::OnVersionPublished(const Version& version,
                                        Instant published_at, Instant now) {
  if (snapshot_ == nullptr || version != snapshot_->version()) return;
  if (previous_ == nullptr) change_log_.ExtendHistory(published_at);
  const Instant earliest = std::max(published_at + options_.takeover_wait(),
                                    started_ + options_.restart_wait());
  for (auto& [key, shard] : shards_) {
    if (earliest < shard.usable_from && now < shard.usable_from) {
      SetUsableFrom(earliest, &shard);
    }
  }
}

void RateShardOwner::Acquire(const ShardKey& key, const OwnedRateShard& own,
                             Instant now) {
  const Instant usable_from = options_.enforce_waits
                                  ? std::max(now + options_.takeover_wait(),
                                             started_ + options_.restart_wait())
                                  : now;
  OwnedShard shard{TokenBucket(own.shard.size, usable_from),
                   usable_from,
                   options_.enforce_waits,
                   own.shard_count,
                   {},
                   {},
                   {}};
  if (previous_ != nullptr) shard.former = FindFormerOwner(key, now);
  shards_.emplace(key, std::move(shard));
  former_shards_.erase(key);
}

void RateShardOwner::Resize(const OwnedRateShard& own, OwnedShard* shard,
                            Instant now) const {
  Update(shard, now);
  if (own.shard_count == shard->shard_count && !shard->growth.has_value()) {
    shard->bucket.Resize(own.shard.size);
    return;
  }
  // If the number of shards changed, a larger shard contains tokens of shards
  // that were given up. Their owners may not have applied the version yet.
  shard->shard_count = own.shard_count;
  shard->growth = PendingGrowth{own.shard.size, now + options_.takeover_wait()};
  shard->bucket.Resize(ComponentwiseMin(shard->bucket.size(), own.shard.size));
}

void RateShardOwner::Drop(const ShardKey& key, const OwnedShard& shard,
                          Instant now) {
  // Without a majority, this node had no confirmed ownership that it could
  // release.
  if (shard.needs_majority) return;
  former_shards_[key] =
      FormerShard{previous_->version(), shard.usable_from, now, {}};
}

std::optional<RateShardOwner::FormerOwner> RateShardOwner::FindFormerOwner(
    const ShardKey& key, Instant now) const {
  // The previous version must have been confirmed recently. Otherwise another
  // version may lie between the two.
  if (!HappenedWithin(last_confirmed_, options_.max_claim_confirmation_age,
                      now)) {
    return std::nullopt;
  }
  const auto self = snapshot_->FindServer(self_);
  const auto& domain =
      snapshot_->failure_domain(snapshot_->server(*self).domain).name;
  const auto workspace = previous_->FindWorkspace(key.first);
  if (!workspace.has_value()) return std::nullopt;
  for (const RateShard& rate_shard :
       PlanRateShards(*previous_, *workspace, options_.shard_options)) {
    if (rate_shard.slot != key.second) continue;
    if (previous_->failure_domain(rate_shard.domain).name != domain) continue;
    const Server& owner = previous_->server(rate_shard.owner);
    return FormerOwner{owner.name, owner.node_address, previous_->version(),
                       snapshot_->version()};
  }
  return std::nullopt;
}

std::vector<OutgoingShardClaim> RateShardOwner::TakeClaims(Instant now) {
  std::vector<OutgoingShardClaim> claims;
  for (auto& [key, shard] : shards_) {
    if (!shard.former.has_value() || IsUsable(shard, now)) continue;
    if (now < shard.next_claim) continue;
    shard.next_claim = now + kClaimInterval;
    const FormerOwner& former = *shard.former;
    claims.push_back(
        {former.name, former.address,
         ShardClaim{key.first, key.second, former.held_in, former.version}});
  }
  return claims;
}

std::optional<ShardRelease> RateShardOwner::OnClaim(const ShardClaim& claim,
                                                    Instant now) {
  const ShardKey key{claim.workspace, claim.slot};
  if (snapshot_ == nullptr || snapshot_->version() < claim.version) {
    return std::nullopt;
  }
  const auto found = former_shards_.find(key);
  if (found == former_shards_.end() || shards_.count(key) > 0) {
    return std::nullopt;
  }
  FormerShard& former_shard = found->second;
  if (former_shard.held_in != claim.held_in) return std::nullopt;
  const std::string claimant = ToString(claim.version);
  if (!former_shard.released_to.empty() &&
      former_shard.released_to != claimant) {
    return std::nullopt;
  }
  former_shard.released_to = claimant;
  const Instant earliest = std::max(
      former_shard.at + options_.token_lifetime + options_.drift_margin,
      former_shard.usable_from);
  const nanoseconds remaining = std::max(earliest - now, nanoseconds::zero());
  return ShardRelease{claim.workspace, claim.slot, claim.version,
                      std::chrono::duration_cast<microseconds>(remaining) +
                          options_.drift_margin};
}

void RateShardOwner::OnRelease(const ShardRelease& release, Instant now) {
  const auto found = shards_.find({release.workspace, release.slot});
  if (found == shards_.end()) return;
  OwnedShard& shard = found->second;
  if (!shard.former.has_value() || shard.former->version != release.version) {
    return;
  }
  shard.former.reset();
  shard.needs_majority = false;
  const Instant from =
      std::max(now + release.remaining, started_ + options_.restart_wait());
  if (from < shard.usable_from && now < shard.usable_from) {
    SetUsableFrom(from, &shard);
  }
}

// Sets when the shard may first be used. Its bucket is empty then, because the
// former owner may have granted a whole burst just before.
void RateShardOwner::SetUsableFrom(Instant usable_from, OwnedShard* shard) {
  CheckInvariant(shard->leases.empty(), "part_in_use_starts_once");
  shard->usable_from = usable_from;
  shard->bucket = TokenBucket(shard->bucket.size(), usable_from);
}

OwnershipHistory RateShardOwner::AnswerHistory(const std::string& node,
                                               Instant now) const {
  if (snapshot_ == nullptr) return {};
  return change_log_.MakeHistory(*snapshot_, node, now);
}

bool RateShardOwner::NeedsHistory(Instant now) const {
  const Instant restart_wait_end = started_ + options_.restart_wait();
  return std::any_of(shards_.begin(), shards_.end(), [&](const auto& entry) {
    return entry.second.needs_majority ||
           entry.second.usable_from > std::max(now, restart_wait_end);
  });
}

bool RateShardOwner::IsUnchanged(const ShardKey& key,
                                 const OwnershipHistory& history,
                                 Instant now) const {
  const microseconds wait = options_.takeover_wait();
  const auto recent = [&](microseconds age) {
    // The change log of this process covers the time since it got its version.
    return age < wait + (now - started_);
  };
  if (recent(history.history_span) || recent(history.shard_count_age) ||
      recent(history.listed_for)) {
    return false;
  }
  const std::uint64_t workspace = Hash64(key.first);
  const std::uint64_t own = RendezvousScore(workspace, Hash64(self_));
  return std::none_of(history.changes.begin(), history.changes.end(),
                      [&](const ListingChange& change) {
                        return recent(change.age) &&
                               RendezvousScore(workspace,
                                               Hash64(change.server)) >= own;
                      });
}

void RateShardOwner::OnHistory(const OwnershipHistory& history, Instant now) {
  if (snapshot_ == nullptr || history.version < snapshot_->version()) return;
  if (previous_ != nullptr && !NeedsHistory(now)) return;
  const Instant restart_wait_end = started_ + options_.restart_wait();
  for (auto& [key, shard] : shards_) {
    if (!shard.needs_majority || shard.former.has_value()) continue;
    if (!IsUnchanged(key, history, now)) continue;
    shard.needs_majority = false;
    if (restart_wait_end < shard.usable_from && now < shard.usable_from) {
      SetUsableFrom(restart_wait_end, &shard);
    }
  }
}

void RateShardOwner::OnReachabilityProved(Instant probed_at) {
  last_reachable_ = std::max(last_reachable_, probed_at);
}

void RateShardOwner::OnVersionConfirmed(Instant read_at) {
  last_confirmed_ = std::max(last_confirmed_, read_at);
}

void RateShardOwner::OnMajorityReached(Instant now) {
  last_majority_ = std::max(last_majority_, now);
  for (auto& [key, shard] : shards_) {
    if (!shard.needs_majority) continue;
    shard.needs_majority = false;
    SetUsableFrom(std::max(shard.usable_from, now + options_.majority_wait()),
                  &shard);
  }
}

bool RateShardOwner::NeedsMajority(Instant now) const {
  if (!HappenedWithin(last_confirmed_, options_.confirmation_timeout / 2, now))
    return true;
  return std::any_of(shards_.begin(), shards_.end(), [](const auto& entry) {
    return entry.second.needs_majority;
  });
}

bool RateShardOwner::IsUsable(const OwnedShard& shard, Instant now) {
  return !shard.needs_majority && shard.usable_from <= now;
}

bool RateShardOwner::MayGrant(Instant now) const {
  if (!options_.enforce_waits) return true;
  if (now < started_ + options_.restart_wait()) return false;
  if (!HappenedWithin(last_reachable_, options_.reachability_timeout, now))
    return false;
  return HappenedWithin(last_confirmed_, options_.confirmation_timeout, now) ||
         HappenedWithin(last_majority_, options_.majority_timeout, now);
}

void RateShardOwner::Update(OwnedShard* shard, Instant now) const {
  for (auto it = shard->leases.begin(); it != shard->leases.end();) {
    if (it->second.expires > now) {
      ++it;
      continue;
    }
    // The lease has expired earlier at the node that holds it. Tokens that it
    // did not report may have been spent.
    shard->bucket.Advance(it->second.expires);
    shard->bucket.Settle(it->second.left, 0);
    it = shard->leases.erase(it);
  }
  if (shard->growth.has_value() && shard->growth->at <= now) {
    shard->bucket.Resize(shard->growth->size);
    shard->growth.reset();
  }
  shard->bucket.Advance(now);
}

void RateShardOwner::Settle(OwnedShard* shard,
                            const std::vector<TokenSettlement>& settlements) {
  for (const TokenSettlement& settlement : settlements) {
    const auto lease = shard->leases.find(settlement.grant);
    if (lease == shard->leases.end()) continue;  // Expired, or settled before.
    const std::uint64_t sum =
        std::uint64_t{settlement.spent} + settlement.returned;
    if (!CheckInvariant(sum <= lease->second.left, "settlement_within_grant")) {
      continue;
    }
    shard->bucket.Settle(lease->second.left - settlement.returned,
                         settlement.returned);
    shard->leases.erase(lease);
  }
}

void RateShardOwner::GrantTokens(const TokenLeaseRequest& request,
                                 OwnedShard* shard, Instant now,
                                 TokenLeaseReply* reply) {
  TokenBucket& bucket = shard->bucket;
  std::uint32_t granted = bucket.Take(request.need);
  if (granted == request.need && request.ahead > 0) {
    const std::int64_t spare =
        bucket.level() / kMicroTokensPerToken / kPrefetchDivisor;
    granted += bucket.Take(static_cast<std::uint32_t>(
        std::min<std::int64_t>(request.ahead, spare)));
  }
  if (granted == 0) return;
  reply->grant = ++last_lease_id_;
  reply->granted = granted;
  shard->leases[reply->grant] =
      Lease{granted, now + options_.token_lifetime + options_.drift_margin};
}

TokenLeaseReply RateShardOwner::OnTokenRequest(const TokenLeaseRequest& request,
                                               Instant now) {
  TokenLeaseReply reply;
  reply.request_number = request.request_number;
  reply.workspace = request.workspace;
  reply.slot = request.slot;
  reply.lifetime = options_.token_lifetime;
  reply.next = options_.reachability_timeout;
  const auto found = shards_.find({request.workspace, request.slot});
  if (found == shards_.end()) return reply;
  OwnedShard& shard = found->second;
  Update(&shard, now);
  Settle(&shard, request.settlements);
  const bool usable = IsUsable(shard, now) && MayGrant(now);
  if (usable) GrantTokens(request, &shard, now, &reply);
  reply.level = usable ? shard.bucket.level() : 0;
  const nanoseconds next =
      usable ? shard.bucket.TimeUntilWholeToken()
             : std::max<nanoseconds>(shard.usable_from - now, milliseconds(50));
  reply.next = std::chrono::duration_cast<microseconds>(
      std::min<nanoseconds>(next, options_.reachability_timeout));
  return reply;
}

std::int64_t RateShardOwner::AvailableTokens(Instant now) {
  if (!MayGrant(now)) return 0;
  std::int64_t tokens = 0;
  for (auto& [key, shard] : shards_) {
    if (!IsUsable(shard, now)) continue;
    Update(&shard, now);
    tokens += shard.bucket.level() / kMicroTokensPerToken;
  }
  return tokens;
}

}  // namespace wisteriarill
