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
/// Number of nodes that may stand in for each other as owners. If all of them
/// are silent, this node is cut off and is its own owner.
constexpr std::size_t kMaxOwners = 4;
/// A node that ranks first and was heard from within this time owns its
/// workspaces without another probe.
constexpr milliseconds kOwnerProbeInterval{100};

}  // namespace

RateAdmission::RateAdmission(asio::io_context* loop, std::string own_ip,
                             PeerTable* peers, DatagramSender* sender,
                             RateTolerance tolerance)
    : loop_(loop),
      own_ip_(std::move(own_ip)),
      peers_(peers),
      sender_(sender),
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

const std::vector<std::string>& RateAdmission::Owners(
    const std::string& workspace, WorkspaceTokens* tokens) {
  if (tokens->owners_epoch == epoch()) return tokens->owners;
  std::vector<std::string> nodes;
  if (registered_) nodes.push_back(own_ip_);
  for (const Peer* peer : peers_->registered()) nodes.push_back(peer->ip);
  tokens->owners = RankOwners(workspace, nodes, kMaxOwners);
  tokens->owners_epoch = epoch();
  return tokens->owners;
}

void RateAdmission::UpdateOwned(Instant now) {
  const std::uint64_t state = epoch() + (configurations_ << 32U);
  if (owned_epoch_ == state) return;
  owned_epoch_ = state;
  for (auto& [workspace, tokens] : workspaces_) {
    const std::vector<std::string>& owners = Owners(workspace, &tokens);
    const bool owned = !owners.empty() && owners.front() == own_ip_;
    owner_.SetOwned(workspace, owned, now);
  }
}

void RateAdmission::OnTick(double reach, Instant now) {
  owner_.SetReach(reach);
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

bool RateAdmission::AnotherNodeOwns(const std::vector<std::string>& owners,
                                    Instant now) {
  for (const std::string& ip : owners) {
    if (ip == own_ip_) return false;
    Peer* peer = peers_->Find(ip);
    if (peer == nullptr || peer->IsLeaving(now)) continue;
    if (peer->IsSilent(now, kSuspectTimeout)) {
      // A single lost probe must not end its ownership for good.
      if (now >= peer->last_probe + kOwnerProbeInterval)
        sender_->SendProbe(peer);
      continue;
    }
    const bool probe_pending = peer->unanswered_since != kNever;
    const bool heard = peer->HeardWithin(kOwnerProbeInterval, now);
    if (!probe_pending && !heard) sender_->SendProbe(peer);
    return true;
  }
  // This node ranks behind all candidates, and all of them are silent.
  return false;
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
  const std::vector<std::string>& owners =
      Owners(request.workspace, &found->second);
  const bool first = !owners.empty() && owners.front() == own_ip_;
  grant.not_owner = !first && AnotherNodeOwns(owners, now);
  if (!grant.not_owner) {
    if (!first) owner_.ActAsOwner(request.workspace, now);
    grant.tokens = owner_.Grant(request.workspace, request.wanted, now);
    if (grant.tokens == 0)
      grant.retry_after = owner_.TimeUntilToken(request.workspace, now);
  }
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
  for (const std::string& ip : Owners(workspace, tokens)) {
    if (ip == own_ip_) break;
    Peer* peer = peers_->Find(ip);
    if (peer == nullptr || peer->IsLeaving(now) || peer->IsSuspect(now))
      continue;
    client.request_pending = true;
    client.request_sent = now;
    peer->OnProbeSent(now);
    return sender_->Send(ip, TokenGrantRequest{workspace, wanted});
  }
  owner_.ActAsOwner(workspace, now);
  const std::uint32_t granted = owner_.Grant(workspace, wanted, now);
  client.OnGrant(granted, owner_.TimeUntilToken(workspace, now), now);
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
