#include "wisteriarill/process/leasing_rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

// After no owner had a token left, calls are refused without a request for this
// time at least and at most.
constexpr microseconds kMinRefusalCacheTime = milliseconds(1);
constexpr microseconds kMaxRefusalCacheTime = milliseconds(20);
constexpr nanoseconds kDemandInterval = milliseconds(100);
constexpr double kDemandWeight = 0.3;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;

}  // namespace

LeasingRateLimiter::LeasingRateLimiter(LeasingRateLimiterOptions options,
                                       std::string self)
    : options_(options), self_(std::move(self)) {}

void LeasingRateLimiter::OnSnapshot(std::shared_ptr<const Snapshot> snapshot,
                                    Instant now) {
  snapshot_ = std::move(snapshot);
  for (auto it = workspaces_.begin(); it != workspaces_.end();) {
    WorkspaceState& state = it->second;
    if (snapshot_->FindWorkspace(it->first).has_value()) {
      UpdateShards(it->first, &state, now);
      ++it;
      continue;
    }
    for (const Waiter& waiter : state.waiters) Refuse(state, waiter.ticket);
    it = workspaces_.erase(it);
  }
}

void LeasingRateLimiter::UpdateShards(const std::string& workspace,
                                      WorkspaceState* state,
                                      Instant now) const {
  const auto id = snapshot_->FindWorkspace(workspace);
  const Workspace& published = snapshot_->workspace(*id);
  state->size = {published.rate, published.burst};
  std::vector<ShardState> before = std::move(state->shards);
  state->shards.clear();
  const auto self = snapshot_->FindServer(self_);
  for (const RateShard& plan :
       PlanRateShards(*snapshot_, *id, options_.shard_options)) {
    const Server& owner = snapshot_->server(plan.owner);
    ShardState shard;
    const auto known =
        std::find_if(before.begin(), before.end(), [&](const ShardState& old) {
          return old.owner == owner.name && old.plan.slot == plan.slot;
        });
    if (known != before.end()) {
      shard = std::move(*known);
    } else {
      shard.level = plan.size.burst;
      shard.level_updated_at = now;
    }
    shard.plan = plan;
    shard.owner = owner.name;
    shard.address = owner.node_address;
    shard.local =
        self.has_value() && snapshot_->server(*self).domain == plan.domain;
    state->shards.push_back(std::move(shard));
  }
}

LeasingRateLimiter::WorkspaceState* LeasingRateLimiter::FindOrAdd(
    const std::string& workspace, Instant now) {
  const auto found = workspaces_.find(workspace);
  if (found != workspaces_.end()) return &found->second;
  if (snapshot_ == nullptr) return nullptr;
  if (!snapshot_->FindWorkspace(workspace).has_value()) return nullptr;
  WorkspaceState& state = workspaces_[workspace];
  UpdateShards(workspace, &state, now);
  return &state;
}

void LeasingRateLimiter::UpdateDemand(WorkspaceState* state, Instant now) {
  if (state->demand_updated_at == kNever) state->demand_updated_at = now;
  const nanoseconds elapsed = now - state->demand_updated_at;
  if (elapsed >= kDemandInterval) {
    const double seconds_passed =
        std::chrono::duration<double>(elapsed).count();
    const double observed = state->calls_since_update / seconds_passed;
    const double weight = std::min(
        1.0, kDemandWeight * static_cast<double>(elapsed / kDemandInterval));
    state->demand += weight * (observed - state->demand);
    state->calls_since_update = 0;
    state->demand_updated_at = now;
  }
}

void LeasingRateLimiter::RequestToken(const std::string& workspace,
                                      TicketId ticket, Instant now) {
  WorkspaceState* state = FindOrAdd(workspace, now);
  if (state == nullptr) {
    decisions_.push_back({ticket, false, seconds(1)});
    return;
  }
  UpdateDemand(state, now);
  ++state->calls_since_update;
  if (state->waiters.empty() && SpendLeasedToken(state, now)) {
    decisions_.push_back({ticket, true, {}});
    return;
  }
  if (now < state->refused_until) {
    Refuse(*state, ticket);
    return;
  }
  state->waiters.push_back({ticket, now});
  SendRequests(workspace, state, now);
}

bool LeasingRateLimiter::SpendLeasedToken(WorkspaceState* state, Instant now) {
  while (!state->leases.empty()) {
    Lease& lease = state->leases.front();
    if (lease.expires > now && lease.unspent > 0) {
      --lease.unspent;
      ++lease.spent;
      if (lease.unspent == 0) {
        SettleLease(state, lease, now);
        state->leases.pop_front();
      }
      return true;
    }
    SettleLease(state, lease, now);
    state->leases.pop_front();
  }
  return false;
}

// Ends a lease and queues its settlement for the owner. The tokens left are
// dropped here first, so that they can never be spent both here and by the
// owner.
void LeasingRateLimiter::SettleLease(WorkspaceState* state, const Lease& lease,
                                     Instant now) const {
  for (ShardState& shard : state->shards) {
    if (shard.owner != lease.owner || shard.plan.slot != lease.slot) continue;
    if (shard.settlements.empty()) {
      shard.settlement_deadline = now + options_.max_settlement_delay;
    }
    shard.settlements.push_back({lease.grant, lease.spent, lease.unspent});
    return;
  }
}

std::int64_t LeasingRateLimiter::EstimatedLevel(const ShardState& shard,
                                                Instant now) {
  const std::int64_t elapsed = ToMicros(now - shard.level_updated_at);
  const std::int64_t bounded =
      std::min<std::int64_t>(elapsed, 60 * kMicrosPerSecond);
  const std::int64_t accrued = static_cast<std::int64_t>(
      static_cast<double>(bounded) * static_cast<double>(shard.plan.size.rate) /
      kMicrosPerSecond);
  return std::min(shard.level + accrued, shard.plan.size.burst);
}

LeasingRateLimiter::ShardState* LeasingRateLimiter::SelectShard(
    WorkspaceState* state, Instant now) const {
  ShardState* best = nullptr;
  std::int64_t best_level = 0;
  for (ShardState& shard : state->shards) {
    if (shard.pending.has_value()) continue;
    if (now < shard.empty_until || now < shard.excluded_until) continue;
    const std::int64_t level = EstimatedLevel(shard, now);
    const bool is_local = shard.local && level >= kMicroTokensPerToken;
    const bool best_is_local =
        best != nullptr && best->local && best_level >= kMicroTokensPerToken;
    const bool better = best == nullptr || (is_local && !best_is_local) ||
                        (is_local == best_is_local && level > best_level);
    if (!better) continue;
    best = &shard;
    best_level = level;
  }
  return best;
}

std::uint32_t LeasingRateLimiter::PrefetchCount(
    const WorkspaceState& state) const {
  const double window =
      std::chrono::duration<double>(options_.prefetch_window).count();
  const double wanted = state.demand * window;
  return static_cast<std::uint32_t>(
      std::min<double>(options_.max_prefetch, std::floor(wanted)));
}

void LeasingRateLimiter::SendRequests(const std::string& workspace,
                                      WorkspaceState* state, Instant now) {
  std::uint32_t requested = 0;
  bool any_pending = false;
  for (const ShardState& shard : state->shards) {
    if (!shard.pending.has_value()) continue;
    requested += shard.pending->need;
    any_pending = true;
  }
  while (requested < state->waiters.size()) {
    ShardState* shard = SelectShard(state, now);
    if (shard == nullptr) break;
    const auto missing =
        static_cast<std::uint32_t>(state->waiters.size()) - requested;
    const auto expected = static_cast<std::uint32_t>(std::max<std::int64_t>(
        1, EstimatedLevel(*shard, now) / kMicroTokensPerToken));
    const std::uint32_t need = std::min(missing, expected);
    const std::uint32_t ahead = missing > need ? 0 : PrefetchCount(*state);
    SendRequest(workspace, need, ahead, shard, now);
    requested += need;
    any_pending = true;
  }
  if (!any_pending && !state->waiters.empty()) RefuseWaiters(state, now);
}

void LeasingRateLimiter::SendRequest(const std::string& workspace,
                                     std::uint32_t need, std::uint32_t ahead,
                                     ShardState* shard, Instant now) {
  TokenLeaseRequest request;
  request.request_number = ++last_request_number_;
  request.workspace = workspace;
  request.slot = shard->plan.slot;
  request.version = snapshot_->version();
  request.need = need;
  request.ahead = ahead;
  request.settlements = std::exchange(shard->settlements, {});
  if (need > 0) shard->pending = SentRequest{request.request_number, need, now};
  requests_.push_back({shard->address, shard->owner, std::move(request)});
}

void LeasingRateLimiter::RefuseWaiters(WorkspaceState* state, Instant now) {
  Instant next = now + kMaxRefusalCacheTime;
  for (const ShardState& shard : state->shards) {
    const Instant usable = std::max(shard.empty_until, shard.excluded_until);
    next = std::min(next, usable);
  }
  state->refused_until = std::max(next, now + kMinRefusalCacheTime);
  for (const Waiter& waiter : state->waiters) Refuse(*state, waiter.ticket);
  state->waiters.clear();
}

void LeasingRateLimiter::Refuse(const WorkspaceState& state, TicketId ticket) {
  const std::int64_t rate = std::max<std::int64_t>(state.size.rate, 1);
  const double wait = static_cast<double>(kMicroTokensPerToken) *
                      kMicrosPerSecond / static_cast<double>(rate);
  decisions_.push_back(
      {ticket, false, microseconds(static_cast<std::int64_t>(wait))});
}

void LeasingRateLimiter::OnTokenReply(const TokenLeaseReply& reply,
                                      Instant now) {
  const auto found = workspaces_.find(reply.workspace);
  if (found == workspaces_.end()) return;
  WorkspaceState& state = found->second;
  for (ShardState& shard : state.shards) {
    if (!shard.pending.has_value()) continue;
    if (shard.pending->request_number != reply.request_number) continue;
    const SentRequest pending = *shard.pending;
    shard.pending.reset();
    shard.level = reply.level;
    shard.level_updated_at = now;
    const bool fewer_than_needed = reply.granted < pending.need;
    shard.empty_until = fewer_than_needed
                            ? now + std::max(reply.next, kMinRefusalCacheTime)
                            : kNever;
    if (reply.granted > 0) {
      state.leases.push_back({shard.owner, shard.plan.slot, reply.grant,
                              reply.granted, 0, pending.sent,
                              pending.sent + reply.lifetime});
    }
    ServeWaiters(&state, now);
    SendRequests(reply.workspace, &state, now);
    return;
  }
  // The request timed out or the shard has another owner now. The owner expires
  // the lease.
}

void LeasingRateLimiter::ServeWaiters(WorkspaceState* state, Instant now) {
  while (!state->waiters.empty() && SpendLeasedToken(state, now)) {
    decisions_.push_back({state->waiters.front().ticket, true, {}});
    state->waiters.pop_front();
  }
}

void LeasingRateLimiter::ReturnIdleTokens(WorkspaceState* state,
                                          Instant now) const {
  while (!state->leases.empty()) {
    const Lease& lease = state->leases.front();
    if (now - lease.requested_at < options_.idle_token_timeout) return;
    SettleLease(state, lease, now);
    state->leases.pop_front();
  }
}

void LeasingRateLimiter::TickWorkspace(const std::string& workspace,
                                       WorkspaceState* state, Instant now) {
  UpdateDemand(state, now);
  ReturnIdleTokens(state, now);
  bool timed_out = false;
  for (ShardState& shard : state->shards) {
    if (shard.pending.has_value() &&
        now - shard.pending->sent > options_.request_timeout) {
      shard.pending.reset();
      shard.excluded_until = now + options_.unresponsive_exclusion;
      timed_out = true;
    }
    if (!shard.settlements.empty() && now >= shard.settlement_deadline) {
      SendRequest(workspace, 0, 0, &shard, now);
    }
  }
  while (!state->waiters.empty() &&
         now - state->waiters.front().since > options_.max_wait) {
    Refuse(*state, state->waiters.front().ticket);
    state->waiters.pop_front();
  }
  if (timed_out) SendRequests(workspace, state, now);
}

void LeasingRateLimiter::OnTick(Instant now) {
  for (auto& [workspace, state] : workspaces_) {
    TickWorkspace(workspace, &state, now);
  }
}

std::vector<RateDecision> LeasingRateLimiter::TakeDecisions() {
  return std::exchange(decisions_, {});
}

std::vector<OutgoingTokenRequest> LeasingRateLimiter::TakeRequests() {
  return std::exchange(requests_, {});
}

}  // namespace wisteriarill
