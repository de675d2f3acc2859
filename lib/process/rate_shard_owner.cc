#include "wisteriarill/process/rate_shard_owner.h"

#include <algorithm>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

// A home gives at most this part of its level ahead of need, so that tokens
// do not lie idle at one node while another is refused.
constexpr std::int64_t kAheadDivisor = 4;
// The platform counts the publications of a key from one: before the first,
// no version was in force anywhere.
constexpr std::uint64_t kFirstRevision = 1;
constexpr Instant kLongAgo = Instant{} - std::chrono::hours(24 * 365);
constexpr microseconds kClaimInterval = milliseconds(500);

bool Within(Instant at, microseconds bound, Instant now) {
  return at != kNever && now - at < bound;
}

TokenRate Least(TokenRate a, TokenRate b) {
  return {std::min(a.rate, b.rate), std::min(a.burst, b.burst)};
}

}  // namespace

RateShardOwner::RateShardOwner(RateShardOwnerOptions options, std::string self, Instant started)
    : options_(options),
      self_(std::move(self)),
      started_(started),
      log_(options.parts, 2 * options.takeover_wait()) {}

std::vector<std::pair<RateShardOwner::PartKey, OwnRatePart>> RateShardOwner::OwnParts(
    const Snapshot& snapshot) const {
  std::vector<std::pair<PartKey, OwnRatePart>> own;
  const auto self = snapshot.FindServer(self_);
  if (!self.has_value()) return own;
  const RatePartPlanner planner(snapshot, options_.parts);
  const auto count = static_cast<std::uint32_t>(snapshot.workspaces().size());
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto found = planner.FindOwn(WorkspaceId{i}, *self);
    if (!found.has_value()) continue;
    const std::string& name = snapshot.workspace(WorkspaceId{i}).name;
    own.push_back({{name, found->part.slot}, *found});
  }
  return own;
}

void RateShardOwner::OnSnapshot(std::shared_ptr<const Snapshot> snapshot,
                          Instant now) {
  previous_ = std::move(snapshot_);
  snapshot_ = std::move(snapshot);
  log_.OnSnapshot(previous_.get(), *snapshot_, now);
  std::map<PartKey, Holding> before = std::move(holdings_);
  holdings_.clear();
  for (const auto& [key, own] : OwnParts(*snapshot_)) {
    const auto held = before.find(key);
    if (held == before.end()) {
      Acquire(key, own, now);
      continue;
    }
    Resize(own, &held->second, now);
    holdings_.insert(before.extract(held));
  }
  for (const auto& [key, holding] : before) Drop(key, holding, now);
  std::erase_if(dropped_, [&](const auto& entry) {
    return now - entry.second.at > options_.takeover_wait();
  });
  const Version& version = snapshot_->version();
  if (version.revision != kFirstRevision) return;
  OnVersionPublished(version, kLongAgo, now);
  for (auto& [key, holding] : holdings_) holding.needs_majority = false;
}

void RateShardOwner::OnVersionPublished(const Version& version, Instant published_at,
                           Instant now) {
  if (snapshot_ == nullptr || version != snapshot_->version()) return;
  if (previous_ == nullptr) log_.OnKnownSince(published_at);
  const Instant free = std::max(published_at + options_.takeover_wait(),
                                started_ + options_.restart_wait());
  for (auto& [key, holding] : holdings_) {
    if (free < holding.usable_from && now < holding.usable_from) {
      UseFrom(free, &holding);
    }
  }
}

void RateShardOwner::Acquire(const PartKey& key, const OwnRatePart& own,
                       Instant now) {
  const Instant usable_from = options_.enforce_waits
                                  ? std::max(now + options_.takeover_wait(),
                                             started_ + options_.restart_wait())
                                  : now;
  Holding holding{TokenBucket(own.part.size, usable_from),
                  usable_from,
                  options_.enforce_waits,
                  own.cut,
                  {},
                  {},
                  {}};
  if (previous_ != nullptr) holding.former = FindFormerHome(key, now);
  holdings_.emplace(key, std::move(holding));
  dropped_.erase(key);
}

void RateShardOwner::Resize(const OwnRatePart& own, Holding* holding,
                      Instant now) const {
  Update(holding, now);
  if (own.cut == holding->cut && !holding->growth.has_value()) {
    holding->bucket.Resize(own.part.size);
    return;
  }
  // With another number of parts, a larger part takes what dropped parts had;
  // their homes may not know yet.
  holding->cut = own.cut;
  holding->growth = Growth{own.part.size, now + options_.takeover_wait()};
  holding->bucket.Resize(Least(holding->bucket.size(), own.part.size));
}

void RateShardOwner::Drop(const PartKey& key, const Holding& holding, Instant now) {
  // Until a majority was reached, this node had no right to hand on.
  if (holding.needs_majority) return;
  dropped_[key] = Dropped{previous_->version(), holding.usable_from, now, {}};
}

std::optional<RateShardOwner::FormerHome> RateShardOwner::FindFormerHome(
    const PartKey& key, Instant now) const {
  // Only a node that knew the former version to be current a moment ago can
  // be sure that no other version lies between.
  if (!Within(confirmed_, options_.max_claim_confirmation_age, now)) {
    return std::nullopt;
  }
  const auto self = snapshot_->FindServer(self_);
  const auto& domain =
      snapshot_->failure_domain(snapshot_->server(*self).domain).name;
  const auto workspace = previous_->FindWorkspace(key.first);
  if (!workspace.has_value()) return std::nullopt;
  for (const RateShard& part :
       PlanRateShards(*previous_, *workspace, options_.parts)) {
    if (part.slot != key.second) continue;
    if (previous_->failure_domain(part.domain).name != domain) continue;
    const Server& home = previous_->server(part.owner);
    return FormerHome{home.name, home.node_address, previous_->version(),
                      snapshot_->version()};
  }
  return std::nullopt;
}

std::vector<OutgoingShardClaim> RateShardOwner::TakeClaims(Instant now) {
  std::vector<OutgoingShardClaim> claims;
  for (auto& [key, holding] : holdings_) {
    if (!holding.former.has_value() || IsUsable(holding, now)) continue;
    if (now < holding.next_claim) continue;
    holding.next_claim = now + kClaimInterval;
    const FormerHome& former = *holding.former;
    claims.push_back(
        {former.name, former.address,
         ShardClaim{key.first, key.second, former.held_in, former.version}});
  }
  return claims;
}

std::optional<ShardRelease> RateShardOwner::OnClaim(const ShardClaim& claim,
                                             Instant now) {
  const PartKey key{claim.workspace, claim.slot};
  if (snapshot_ == nullptr || snapshot_->version() < claim.version) {
    return std::nullopt;
  }
  const auto found = dropped_.find(key);
  if (found == dropped_.end() || holdings_.count(key) > 0) {
    return std::nullopt;
  }
  Dropped& dropped = found->second;
  if (dropped.held_in != claim.held_in) return std::nullopt;
  const std::string claimant = ToString(claim.version);
  if (!dropped.released_to.empty() && dropped.released_to != claimant) {
    return std::nullopt;
  }
  dropped.released_to = claimant;
  const Instant free =
      std::max(dropped.at + options_.token_lifetime + options_.drift_margin,
               dropped.usable_from);
  const nanoseconds remaining = std::max(free - now, nanoseconds::zero());
  return ShardRelease{claim.workspace, claim.slot, claim.version,
                     std::chrono::duration_cast<microseconds>(remaining) +
                         options_.drift_margin};
}

void RateShardOwner::OnRelease(const ShardRelease& release, Instant now) {
  const auto found = holdings_.find({release.workspace, release.slot});
  if (found == holdings_.end()) return;
  Holding& holding = found->second;
  if (!holding.former.has_value() ||
      holding.former->version != release.version) {
    return;
  }
  holding.former.reset();
  holding.needs_majority = false;
  const Instant from =
      std::max(now + release.remaining, started_ + options_.restart_wait());
  if (from < holding.usable_from && now < holding.usable_from) {
    UseFrom(from, &holding);
  }
}

// The bucket starts empty when the home may first use it: the former home may
// have given out a whole burst a moment before.
void RateShardOwner::UseFrom(Instant usable_from, Holding* holding) {
  CheckInvariant(holding->grants.empty(), "part_in_use_starts_once");
  holding->usable_from = usable_from;
  holding->bucket = TokenBucket(holding->bucket.size(), usable_from);
}

OwnershipHistory RateShardOwner::AnswerHistory(const std::string& node,
                                    Instant now) const {
  if (snapshot_ == nullptr) return {};
  return log_.Answer(*snapshot_, node, now);
}

bool RateShardOwner::NeedsHistory(Instant now) const {
  const Instant soon = started_ + options_.restart_wait();
  return std::any_of(holdings_.begin(), holdings_.end(),
                     [&](const auto& entry) {
                       return entry.second.needs_majority ||
                              entry.second.usable_from > std::max(now, soon);
                     });
}

bool RateShardOwner::IsUnmoved(const PartKey& key, const OwnershipHistory& history,
                         Instant now) const {
  const microseconds wait = options_.takeover_wait();
  const auto recent = [&](microseconds age) {
    // What changed after this process got its version is in its own log.
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
  const Instant soon = started_ + options_.restart_wait();
  for (auto& [key, holding] : holdings_) {
    if (!holding.needs_majority || holding.former.has_value()) continue;
    if (!IsUnmoved(key, history, now)) continue;
    holding.needs_majority = false;
    if (soon < holding.usable_from && now < holding.usable_from) {
      UseFrom(soon, &holding);
    }
  }
}

void RateShardOwner::OnReachabilityProved(Instant probed_at) {
  reached_ = std::max(reached_, probed_at);
}

void RateShardOwner::OnVersionConfirmed(Instant read_at) {
  confirmed_ = std::max(confirmed_, read_at);
}

void RateShardOwner::OnMajorityReached(Instant now) {
  majority_ = std::max(majority_, now);
  for (auto& [key, holding] : holdings_) {
    if (!holding.needs_majority) continue;
    holding.needs_majority = false;
    UseFrom(std::max(holding.usable_from, now + options_.majority_wait()),
            &holding);
  }
}

bool RateShardOwner::NeedsMajority(Instant now) const {
  if (!Within(confirmed_, options_.confirmation_timeout / 2, now)) return true;
  return std::any_of(holdings_.begin(), holdings_.end(), [](const auto& entry) {
    return entry.second.needs_majority;
  });
}

bool RateShardOwner::IsUsable(const Holding& holding, Instant now) {
  return !holding.needs_majority && holding.usable_from <= now;
}

bool RateShardOwner::MayGive(Instant now) const {
  if (!options_.enforce_waits) return true;
  if (now < started_ + options_.restart_wait()) return false;
  if (!Within(reached_, options_.fence, now)) return false;
  return Within(confirmed_, options_.confirmation_timeout, now) ||
         Within(majority_, options_.majority_fence, now);
}

void RateShardOwner::Update(Holding* holding, Instant now) const {
  for (auto it = holding->grants.begin(); it != holding->grants.end();) {
    if (it->second.expires > now) {
      ++it;
      continue;
    }
    // The asker's own lifetime ended earlier; what it did not report may
    // have been spent.
    holding->bucket.Advance(it->second.expires);
    holding->bucket.Settle(it->second.left, 0);
    it = holding->grants.erase(it);
  }
  if (holding->growth.has_value() && holding->growth->at <= now) {
    holding->bucket.Resize(holding->growth->size);
    holding->growth.reset();
  }
  holding->bucket.Advance(now);
}

void RateShardOwner::Settle(Holding* holding,
                      const std::vector<TokenSettlement>& settlements) {
  for (const TokenSettlement& settlement : settlements) {
    const auto grant = holding->grants.find(settlement.grant);
    if (grant == holding->grants.end()) continue;  // Expired or seen before.
    const std::uint64_t sum =
        std::uint64_t{settlement.spent} + settlement.returned;
    if (!CheckInvariant(sum <= grant->second.left, "settlement_within_grant")) {
      continue;
    }
    holding->bucket.Settle(grant->second.left - settlement.returned,
                           settlement.returned);
    holding->grants.erase(grant);
  }
}

void RateShardOwner::Give(const TokenLeaseRequest& ask, Holding* holding, Instant now,
                    TokenLeaseReply* answer) {
  TokenBucket& bucket = holding->bucket;
  std::uint32_t granted = bucket.Take(ask.need);
  if (granted == ask.need && ask.ahead > 0) {
    const std::int64_t spare =
        bucket.level() / kMicroTokensPerToken / kAheadDivisor;
    granted += bucket.Take(
        static_cast<std::uint32_t>(std::min<std::int64_t>(ask.ahead, spare)));
  }
  if (granted == 0) return;
  answer->grant = ++last_grant_;
  answer->granted = granted;
  holding->grants[answer->grant] =
      Grant{granted, now + options_.token_lifetime + options_.drift_margin};
}

TokenLeaseReply RateShardOwner::OnTokenRequest(const TokenLeaseRequest& ask, Instant now) {
  TokenLeaseReply answer;
  answer.request_number = ask.request_number;
  answer.workspace = ask.workspace;
  answer.slot = ask.slot;
  answer.lifetime = options_.token_lifetime;
  answer.next = options_.fence;
  const auto found = holdings_.find({ask.workspace, ask.slot});
  if (found == holdings_.end()) return answer;
  Holding& holding = found->second;
  Update(&holding, now);
  Settle(&holding, ask.settlements);
  const bool usable = IsUsable(holding, now) && MayGive(now);
  if (usable) Give(ask, &holding, now, &answer);
  answer.level = usable ? holding.bucket.level() : 0;
  const nanoseconds next =
      usable
          ? holding.bucket.UntilWholeToken()
          : std::max<nanoseconds>(holding.usable_from - now, milliseconds(50));
  answer.next = std::chrono::duration_cast<microseconds>(
      std::min<nanoseconds>(next, options_.fence));
  return answer;
}

std::int64_t RateShardOwner::AvailableTokens(Instant now) {
  if (!MayGive(now)) return 0;
  std::int64_t tokens = 0;
  for (auto& [key, holding] : holdings_) {
    if (!IsUsable(holding, now)) continue;
    Update(&holding, now);
    tokens += holding.bucket.level() / kMicroTokensPerToken;
  }
  return tokens;
}

}  // namespace wisteriarill
