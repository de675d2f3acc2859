#include "wisteriarill/process/leasing_rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

constexpr microseconds kLeastRefusalMemory = milliseconds(1);
constexpr microseconds kMostRefusalMemory = milliseconds(20);
constexpr nanoseconds kDemandInterval = milliseconds(100);
constexpr double kDemandWeight = 0.3;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;

}  // namespace

LeasingRateLimiter::LeasingRateLimiter(LeasingRateLimiterOptions options, std::string self)
    : options_(options), self_(std::move(self)) {}

void LeasingRateLimiter::OnSnapshot(std::shared_ptr<const Snapshot> snapshot,
                           Instant now) {
  snapshot_ = std::move(snapshot);
  for (auto it = workspaces_.begin(); it != workspaces_.end();) {
    WorkspaceState& state = it->second;
    if (snapshot_->FindWorkspace(it->first).has_value()) {
      PlanParts(it->first, &state, now);
      ++it;
      continue;
    }
    for (const Waiter& waiter : state.waiters) Refuse(state, waiter.ticket);
    it = workspaces_.erase(it);
  }
}

void LeasingRateLimiter::PlanParts(const std::string& workspace, WorkspaceState* state,
                          Instant now) const {
  const auto id = snapshot_->FindWorkspace(workspace);
  const Workspace& published = snapshot_->workspace(*id);
  state->size = {published.rate, published.burst};
  std::vector<PartView> before = std::move(state->parts);
  state->parts.clear();
  const auto self = snapshot_->FindServer(self_);
  for (const RateShard& part : PlanRateShards(*snapshot_, *id, options_.parts)) {
    const Server& home = snapshot_->server(part.owner);
    PartView view;
    const auto known =
        std::find_if(before.begin(), before.end(), [&](const PartView& old) {
          return old.home == home.name && old.part.slot == part.slot;
        });
    if (known != before.end()) {
      view = std::move(*known);
    } else {
      view.level = part.size.burst;
      view.level_at = now;
    }
    view.part = part;
    view.home = home.name;
    view.address = home.node_address;
    view.near =
        self.has_value() && snapshot_->server(*self).domain == part.domain;
    state->parts.push_back(std::move(view));
  }
}

LeasingRateLimiter::WorkspaceState* LeasingRateLimiter::FindOrAdd(const std::string& workspace,
                                                Instant now) {
  const auto found = workspaces_.find(workspace);
  if (found != workspaces_.end()) return &found->second;
  if (snapshot_ == nullptr) return nullptr;
  if (!snapshot_->FindWorkspace(workspace).has_value()) return nullptr;
  WorkspaceState& state = workspaces_[workspace];
  PlanParts(workspace, &state, now);
  return &state;
}

void LeasingRateLimiter::CountDemand(WorkspaceState* state, Instant now) {
  if (state->demand_at == kNever) state->demand_at = now;
  const nanoseconds elapsed = now - state->demand_at;
  if (elapsed >= kDemandInterval) {
    const double seconds_passed =
        std::chrono::duration<double>(elapsed).count();
    const double observed = state->taken / seconds_passed;
    const double weight = std::min(
        1.0, kDemandWeight * static_cast<double>(elapsed / kDemandInterval));
    state->demand += weight * (observed - state->demand);
    state->taken = 0;
    state->demand_at = now;
  }
}

void LeasingRateLimiter::RequestToken(const std::string& workspace, TicketId ticket,
                     Instant now) {
  WorkspaceState* state = FindOrAdd(workspace, now);
  if (state == nullptr) {
    decisions_.push_back({ticket, false, seconds(1)});
    return;
  }
  CountDemand(state, now);
  ++state->taken;
  if (state->waiters.empty() && SpendFromHand(state, now)) {
    decisions_.push_back({ticket, true, {}});
    return;
  }
  if (now < state->refused_until) {
    Refuse(*state, ticket);
    return;
  }
  state->waiters.push_back({ticket, now});
  SendAsks(workspace, state, now);
}

bool LeasingRateLimiter::SpendFromHand(WorkspaceState* state, Instant now) {
  while (!state->hands.empty()) {
    Hand& hand = state->hands.front();
    if (hand.expires > now && hand.left > 0) {
      --hand.left;
      ++hand.spent;
      if (hand.left == 0) {
        CloseHand(state, hand, now);
        state->hands.pop_front();
      }
      return true;
    }
    CloseHand(state, hand, now);
    state->hands.pop_front();
  }
  return false;
}

// Reports a grant to its home. Tokens still left are given up here first, so
// that they can never be spent on both sides.
void LeasingRateLimiter::CloseHand(WorkspaceState* state, const Hand& hand,
                          Instant now) const {
  for (PartView& view : state->parts) {
    if (view.home != hand.home || view.part.slot != hand.slot) continue;
    if (view.settlements.empty()) {
      view.settle_by = now + options_.settle_after;
    }
    view.settlements.push_back({hand.grant, hand.spent, hand.left});
    return;
  }
}

std::int64_t LeasingRateLimiter::EstimatedLevel(const PartView& view, Instant now) {
  const std::int64_t elapsed = ToMicros(now - view.level_at);
  const std::int64_t bounded =
      std::min<std::int64_t>(elapsed, 60 * kMicrosPerSecond);
  const std::int64_t accrued = static_cast<std::int64_t>(
      static_cast<double>(bounded) * static_cast<double>(view.part.size.rate) /
      kMicrosPerSecond);
  return std::min(view.level + accrued, view.part.size.burst);
}

LeasingRateLimiter::PartView* LeasingRateLimiter::BestPart(WorkspaceState* state,
                                         Instant now) const {
  PartView* best = nullptr;
  std::int64_t best_level = 0;
  for (PartView& view : state->parts) {
    if (view.outstanding.has_value()) continue;
    if (now < view.empty_until || now < view.silent_until) continue;
    const std::int64_t level = EstimatedLevel(view, now);
    const bool is_near = view.near && level >= kMicroTokensPerToken;
    const bool best_near =
        best != nullptr && best->near && best_level >= kMicroTokensPerToken;
    const bool better = best == nullptr || (is_near && !best_near) ||
                        (is_near == best_near && level > best_level);
    if (!better) continue;
    best = &view;
    best_level = level;
  }
  return best;
}

std::uint32_t LeasingRateLimiter::AheadFor(const WorkspaceState& state) const {
  const double window =
      std::chrono::duration<double>(options_.ahead_window).count();
  const double wanted = state.demand * window;
  return static_cast<std::uint32_t>(
      std::min<double>(options_.most_ahead, std::floor(wanted)));
}

void LeasingRateLimiter::SendAsks(const std::string& workspace, WorkspaceState* state,
                         Instant now) {
  std::uint32_t asked = 0;
  bool any_outstanding = false;
  for (const PartView& view : state->parts) {
    if (!view.outstanding.has_value()) continue;
    asked += view.outstanding->need;
    any_outstanding = true;
  }
  while (asked < state->waiters.size()) {
    PartView* view = BestPart(state, now);
    if (view == nullptr) break;
    const auto lacking =
        static_cast<std::uint32_t>(state->waiters.size()) - asked;
    const auto expected = static_cast<std::uint32_t>(std::max<std::int64_t>(
        1, EstimatedLevel(*view, now) / kMicroTokensPerToken));
    const std::uint32_t need = std::min(lacking, expected);
    const std::uint32_t ahead = lacking > need ? 0 : AheadFor(*state);
    SendAsk(workspace, need, ahead, view, now);
    asked += need;
    any_outstanding = true;
  }
  if (!any_outstanding && !state->waiters.empty()) RefuseWaiters(state, now);
}

void LeasingRateLimiter::SendAsk(const std::string& workspace, std::uint32_t need,
                        std::uint32_t ahead, PartView* view, Instant now) {
  TokenLeaseRequest ask;
  ask.request_number = ++last_ask_;
  ask.workspace = workspace;
  ask.slot = view->part.slot;
  ask.version = snapshot_->version();
  ask.need = need;
  ask.ahead = ahead;
  ask.settlements = std::exchange(view->settlements, {});
  if (need > 0) view->outstanding = Outstanding{ask.request_number, need, now};
  asks_.push_back({view->address, view->home, std::move(ask)});
}

void LeasingRateLimiter::RefuseWaiters(WorkspaceState* state, Instant now) {
  Instant next = now + kMostRefusalMemory;
  for (const PartView& view : state->parts) {
    const Instant usable = std::max(view.empty_until, view.silent_until);
    next = std::min(next, usable);
  }
  state->refused_until = std::max(next, now + kLeastRefusalMemory);
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

void LeasingRateLimiter::OnAnswer(const TokenLeaseReply& answer, Instant now) {
  const auto found = workspaces_.find(answer.workspace);
  if (found == workspaces_.end()) return;
  WorkspaceState& state = found->second;
  for (PartView& view : state.parts) {
    if (!view.outstanding.has_value()) continue;
    if (view.outstanding->ask != answer.request_number) continue;
    const Outstanding asked = *view.outstanding;
    view.outstanding.reset();
    view.level = answer.level;
    view.level_at = now;
    const bool short_of_need = answer.granted < asked.need;
    view.empty_until = short_of_need
                           ? now + std::max(answer.next, kLeastRefusalMemory)
                           : kNever;
    if (answer.granted > 0) {
      state.hands.push_back({view.home, view.part.slot, answer.grant,
                             answer.granted, 0, asked.sent,
                             asked.sent + answer.lifetime});
    }
    ServeWaiters(&state, now);
    SendAsks(answer.workspace, &state, now);
    return;
  }
  // The ask timed out or its home moved: the tokens lapse at the home.
}

void LeasingRateLimiter::ServeWaiters(WorkspaceState* state, Instant now) {
  while (!state->waiters.empty() && SpendFromHand(state, now)) {
    decisions_.push_back({state->waiters.front().ticket, true, {}});
    state->waiters.pop_front();
  }
}

void LeasingRateLimiter::ReturnIdleTokens(WorkspaceState* state, Instant now) const {
  while (!state->hands.empty()) {
    const Hand& hand = state->hands.front();
    if (now - hand.asked < options_.return_after) return;
    CloseHand(state, hand, now);
    state->hands.pop_front();
  }
}

void LeasingRateLimiter::TickWorkspace(const std::string& workspace,
                              WorkspaceState* state, Instant now) {
  CountDemand(state, now);
  ReturnIdleTokens(state, now);
  bool timed_out = false;
  for (PartView& view : state->parts) {
    if (view.outstanding.has_value() &&
        now - view.outstanding->sent > options_.ask_timeout) {
      view.outstanding.reset();
      view.silent_until = now + options_.silence;
      timed_out = true;
    }
    if (!view.settlements.empty() && now >= view.settle_by) {
      SendAsk(workspace, 0, 0, &view, now);
    }
  }
  while (!state->waiters.empty() &&
         now - state->waiters.front().since > options_.longest_wait) {
    Refuse(*state, state->waiters.front().ticket);
    state->waiters.pop_front();
  }
  if (timed_out) SendAsks(workspace, state, now);
}

void LeasingRateLimiter::OnTick(Instant now) {
  for (auto& [workspace, state] : workspaces_) {
    TickWorkspace(workspace, &state, now);
  }
}

std::vector<RateDecision> LeasingRateLimiter::TakeDecisions() {
  return std::exchange(decisions_, {});
}

std::vector<OutgoingTokenRequest> LeasingRateLimiter::TakeRequests() { return std::exchange(asks_, {}); }

}  // namespace wisteriarill
