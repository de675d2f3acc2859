#include "wisteriarill/mesh/rate_admission.h"

#include <algorithm>
#include <set>
#include <utility>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// A token request without a grant is repeated after this time.
constexpr milliseconds kGrantTimeout{40};
/// Number of ticks between two log lines of an owner that refused requests.
constexpr int kTicksPerReport = 5;
/// Retry delay reported to a caller if the owner did not reply.
constexpr milliseconds kNoOwnerRetryAfter{100};
/// A node that ranks first and was heard from within this time owns its
/// workspaces without another probe.
constexpr milliseconds kOwnerProbeInterval{100};

/// The peers as candidates for owners.
class PeerCandidates : public OwnerCandidateView {
 public:
  PeerCandidates(PeerTable* peers, Instant now) : peers_(peers), now_(now) {}

  OwnerCandidateState StateOf(const std::string& ip) const override {
    const Peer* peer = peers_->Find(ip);
    if (peer == nullptr || peer->IsLeaving(now_))
      return OwnerCandidateState::kLeaving;
    if (peer->IsSilent(now_, kSuspectTimeout))
      return OwnerCandidateState::kSilent;
    return peer->HeardWithin(kOwnerProbeInterval, now_)
               ? OwnerCandidateState::kHeard
               : OwnerCandidateState::kUnheard;
  }

 private:
  PeerTable* peers_;
  Instant now_;
};

/// Returns whether `peer` should be probed now: no probe is pending, or the
/// last one is lost, which must not end its ownership for good.
bool NeedsProbe(const Peer& peer, Instant now) {
  if (peer.unanswered_since == kNever) return true;
  return peer.IsSilent(now, kSuspectTimeout) &&
         now >= peer.last_probe + kOwnerProbeInterval;
}

}  // namespace

RateAdmission::RateAdmission(asio::io_context* loop, std::string own_ip,
                             PeerTable* peers, DatagramSender* sender,
                             RateTolerance tolerance)
    : loop_(loop),
      own_ip_(std::move(own_ip)),
      peers_(peers),
      sender_(sender),
      selector_(own_ip_),
      owner_(tolerance) {}

void RateAdmission::Configure(const std::vector<MeshWorkspace>& workspaces) {
  owner_.Configure(workspaces);
  std::set<std::string> limited;
  for (const MeshWorkspace& workspace : workspaces) {
    if (workspace.rate <= 0) continue;
    workspaces_.try_emplace(workspace.name);
    limited.insert(workspace.name);
  }
  std::erase_if(workspaces_, [&limited](const auto& item) {
    return !limited.contains(item.first) && item.second.waiters.empty();
  });
  ++configurations_;
}

std::uint64_t RateAdmission::epoch() const {
  return peers_->membership_epoch() * 2 + (registered_ ? 1 : 0) + 1;
}

const std::vector<std::string>& RateAdmission::Ranked(
    const std::string& workspace, WorkspaceTokens* tokens) {
  if (selector_epoch_ != epoch()) {
    std::vector<std::string> nodes;
    if (registered_) nodes.push_back(own_ip_);
    for (const Peer* peer : peers_->registered()) nodes.push_back(peer->ip);
    selector_.SetNodes(std::move(nodes));
    selector_epoch_ = epoch();
  }
  if (tokens->ranked_epoch != epoch()) {
    tokens->ranked = selector_.Rank(workspace);
    tokens->ranked_epoch = epoch();
  }
  return tokens->ranked;
}

void RateAdmission::OnLeaving(Instant now) {
  leaving_ = true;
  selector_.OnLeaving();
  for (const auto& [workspace, tokens] : workspaces_)
    owner_.SetOwned(workspace, false, now);
}

void RateAdmission::UpdateOwned(Instant now) {
  if (leaving_) return;
  const std::uint64_t state = epoch() + (configurations_ << 32U);
  if (owned_epoch_ == state) return;
  owned_epoch_ = state;
  for (auto& [workspace, tokens] : workspaces_) {
    const std::vector<std::string>& ranked = Ranked(workspace, &tokens);
    const bool owned = !ranked.empty() && ranked.front() == own_ip_;
    owner_.SetOwned(workspace, owned, now);
  }
}

void RateAdmission::OnTick(double reach, Instant measured_since, Instant now) {
  owner_.SetReach(reach, measured_since, now);
  UpdateOwned(now);
  if (++ticks_ % kTicksPerReport == 0) LogReports();
}

void RateAdmission::LogReports() {
  for (const RateOwnerReport& report : owner_.TakeReports()) {
    LogEvent(LogLevel::kInfo, "rate_home")
        .With("workspace", report.workspace)
        .With("rate", report.rate)
        .With("reach", report.reach)
        .With("level", report.level)
        .With("granted", report.granted)
        .With("refused_asks", report.refused);
  }
}

std::string RateAdmission::ChooseOwner(const std::string& workspace,
                                       WorkspaceTokens* tokens, Instant now) {
  const OwnerChoice choice = selector_.Choose(
      workspace, Ranked(workspace, tokens), PeerCandidates(peers_, now));
  for (const std::string& ip : choice.to_probe) {
    Peer* peer = peers_->Find(ip);
    if (peer != nullptr && NeedsProbe(*peer, now)) sender_->SendProbe(peer);
  }
  return choice.ip;
}

std::optional<std::uint32_t> RateAdmission::GrantAsOwner(
    const std::string& workspace, std::uint32_t wanted, Instant now) {
  if (owner_.ActAsOwner(workspace, now))
    owner_.RequireReachSince(workspace, sender_->MeasureReach());
  if (!owner_.KnowsPart(workspace)) return std::nullopt;
  return owner_.Grant(workspace, wanted, now);
}

void RateAdmission::OnGrantRequest(const TokenGrantRequest& request,
                                   const std::string& from) {
  TokenGrant grant;
  grant.workspace = request.workspace;
  const auto found = workspaces_.find(request.workspace);
  if (found == workspaces_.end()) {
    // This node may not have the configuration yet in which it is defined.
    grant.not_owner = true;
    return sender_->Send(from, grant);
  }
  const Instant now = BootClock::now();
  std::optional<std::uint32_t> granted;
  if (ChooseOwner(request.workspace, &found->second, now) == own_ip_)
    granted = GrantAsOwner(request.workspace, request.wanted, now);
  grant.not_owner = !granted.has_value();
  grant.tokens = granted.value_or(0);
  if (granted == 0U)
    grant.retry_after = owner_.TimeUntilToken(request.workspace, now);
  sender_->Send(from, grant);
}

void RateAdmission::OnGrant(const TokenGrant& grant) {
  const auto found = workspaces_.find(grant.workspace);
  // Without an owner, the request is repeated when it times out.
  if (found == workspaces_.end() || grant.not_owner) return;
  WorkspaceTokens& tokens = found->second;
  tokens.client.OnGrant(grant.tokens, grant.retry_after, BootClock::now());
  for (asio::steady_timer* timer : tokens.waiters) timer->cancel();
}

void RateAdmission::RequestTokensIfNeeded(const std::string& workspace,
                                          WorkspaceTokens* tokens,
                                          Instant now) {
  RateTokenClient& client = tokens->client;
  if (client.request_pending && now >= client.request_sent + kGrantTimeout) {
    client.request_pending = false;
  }
  std::uint32_t wanted = client.TokensToRequest(now);
  if (wanted == 0) return;
  wanted += static_cast<std::uint32_t>(tokens->waiters.size());
  const std::string owner = ChooseOwner(workspace, tokens, now);
  if (owner == own_ip_) {
    const auto granted = GrantAsOwner(workspace, wanted, now);
    if (granted) {
      return client.OnGrant(*granted, owner_.TimeUntilToken(workspace, now),
                            now);
    }
  } else {
    peers_->Find(owner)->OnProbeSent(now);
    sender_->Send(owner, TokenGrantRequest{workspace, wanted});
  }
  client.request_pending = true;
  client.request_sent = now;
}

Task<void> RateAdmission::AwaitGrant(WorkspaceTokens* tokens,
                                     nanoseconds max_wait) {
  asio::steady_timer timer(*loop_, max_wait);
  tokens->waiters.push_back(&timer);
  error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  std::erase(tokens->waiters, &timer);
}

Task<RateLimitDecision> RateAdmission::Admit(std::string workspace,
                                             nanoseconds max_wait) {
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end())
    co_return RateLimitDecision{true, {}, "no-limit"};
  WorkspaceTokens& tokens = found->second;
  const Instant began = BootClock::now();
  Instant now = began;
  tokens.client.RecordDemand(now);
  for (;;) {
    if (tokens.client.TryTakeToken(now)) {
      RequestTokensIfNeeded(workspace, &tokens, now);
      co_return RateLimitDecision{true, {}, "token"};
    }
    if (tokens.client.IsRefused(now)) {
      co_return RateLimitDecision{false, tokens.client.RetryAfter(now),
                                  "over-rate"};
    }
    if (now >= began + max_wait) {
      co_return RateLimitDecision{false, kNoOwnerRetryAfter, "home-silent"};
    }
    RequestTokensIfNeeded(workspace, &tokens, now);
    if (tokens.client.request_pending) {
      co_await AwaitGrant(&tokens, kGrantTimeout);
    }
    now = BootClock::now();
  }
}

}  // namespace wisteriarill
