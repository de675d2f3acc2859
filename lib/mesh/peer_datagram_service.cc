#include "wisteriarill/mesh/peer_datagram_service.h"

#include <array>
#include <utility>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kHeartbeatInterval{200};
/// A token request without a grant is repeated after this time.
constexpr milliseconds kGrantTimeout{40};
/// Number of heartbeats between two log lines of an owner that refused
/// requests.
constexpr int kHeartbeatsPerReport = 5;
/// Retry delay reported to a caller if the owner did not reply.
constexpr milliseconds kNoOwnerRetryAfter{100};
constexpr std::size_t kMaxDatagramBytes = 60000;

}  // namespace

PeerDatagramService::PeerDatagramService(asio::io_context* loop,
                                         const ProxySettings& settings,
                                         PeerTable* peers, Callbacks callbacks,
                                         Metrics* metrics)
    : loop_(loop),
      settings_(settings),
      peers_(peers),
      callbacks_(std::move(callbacks)),
      metrics_(metrics),
      socket_(*loop),
      owner_({settings.rate_tolerance}),
      live_nodes_({settings.ip}) {}

Status PeerDatagramService::Start() {
  error_code error;
  const auto ip = asio::ip::make_address_v4(settings_.ip, error);
  const asio::ip::udp::endpoint endpoint(ip, settings_.beat_port);
  if (!error) socket_.open(asio::ip::udp::v4(), error);
  if (!error) socket_.bind(endpoint, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    return MakeError(ErrorKind::kUnavailable,
                     "cannot receive peers' datagrams: " + error.message(),
                     "choose a free beat_port");
  }
  asio::co_spawn(*loop_, ReceiveLoop(), asio::detached);
  asio::co_spawn(*loop_, HeartbeatLoop(), asio::detached);
  return OkStatus();
}

void PeerDatagramService::Configure(
    const std::vector<MeshWorkspace>& workspaces) {
  owner_.Configure(workspaces);
  for (const MeshWorkspace& workspace : workspaces) {
    if (workspace.rate > 0) workspaces_.try_emplace(workspace.name);
  }
}

void PeerDatagramService::LogOwnerReports() {
  for (const RateShareReport& report : owner_.TakeReports()) {
    LogEvent(LogLevel::kInfo, "rate_home")
        .With("workspace", report.workspace)
        .With("rate", report.rate)
        .With("lent", report.leased_shares)
        .With("nodes", report.nodes)
        .With("level", report.level)
        .With("granted", report.granted)
        .With("refused_asks", report.refused);
  }
}

Task<void> PeerDatagramService::HeartbeatLoop() {
  for (int heartbeats = 1;; ++heartbeats) {
    if (heartbeats % kHeartbeatsPerReport == 0) LogOwnerReports();
    const Instant now = BootClock::now();
    peers_->OnTick(now);
    live_nodes_ = peers_->LiveNodes(now);
    owner_.SetNodeCount(peers_->NodeCount(now));
    LeaseShares(now);
    SendHeartbeats();
    co_await SleepFor(kHeartbeatInterval);
  }
}

void PeerDatagramService::LeaseShares(Instant now) {
  leased_.clear();
  for (auto& [workspace, workspace_tokens] : workspaces_) {
    const std::string& owner = OwnerOf(workspace, live_nodes_);
    if (!workspace_tokens.client.CanLeaseTo(owner, now)) continue;
    workspace_tokens.client.OnLeased(owner, now);
    if (owner == settings_.ip) {
      owner_.AddLease(workspace, settings_.ip, now);
    } else {
      leased_[owner].push_back(workspace);
    }
  }
}

void PeerDatagramService::SendHeartbeats() {
  PeerHeartbeat heartbeat = callbacks_.make_heartbeat();
  for (const std::string& ip : peers_->Addresses(BootClock::now())) {
    const auto leased = leased_.find(ip);
    heartbeat.leased_workspaces =
        leased == leased_.end() ? std::vector<std::string>() : leased->second;
    Send(ip, heartbeat);
  }
}

void PeerDatagramService::Send(const std::string& ip,
                               const PeerDatagram& datagram) {
  error_code error;
  const auto address = asio::ip::make_address_v4(ip, error);
  const asio::ip::udp::endpoint remote(address, settings_.beat_port);
  const std::string bytes = EncodeDatagram(datagram);
  if (!error) socket_.send_to(asio::buffer(bytes), remote, 0, error);
  // An unsent datagram is handled like a lost one: heartbeats and requests are
  // repeated.
  if (error) metrics_->Add("wisteria_datagrams_unsent");
}

Task<void> PeerDatagramService::ReceiveLoop() {
  std::string buffer(kMaxDatagramBytes, '\0');
  for (;;) {
    error_code error;
    asio::ip::udp::endpoint from;
    const std::size_t size = co_await socket_.async_receive_from(
        asio::buffer(buffer), from,
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) {
      metrics_->Add("wisteria_datagrams_failed");
      continue;
    }
    const auto datagram =
        DecodeDatagram(std::string_view(buffer).substr(0, size));
    if (!datagram) {
      metrics_->Add("wisteria_datagrams_malformed");
      continue;
    }
    OnDatagram(*datagram, from.address().to_string());
  }
}

void PeerDatagramService::OnDatagram(const PeerDatagram& datagram,
                                     const std::string& from) {
  const Instant now = BootClock::now();
  if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&datagram)) {
    for (const std::string& workspace : heartbeat->leased_workspaces) {
      owner_.AddLease(workspace, from, now);
    }
    peers_->OnHeartbeat(from, *heartbeat, now);
    callbacks_.on_heartbeat(*heartbeat);
  } else if (const auto* request = std::get_if<TokenGrantRequest>(&datagram)) {
    OnGrantRequest(*request, from);
  } else if (const auto* grant = std::get_if<TokenGrant>(&datagram)) {
    OnGrant(*grant);
  }
}

void PeerDatagramService::OnGrantRequest(const TokenGrantRequest& request,
                                         const std::string& from) {
  const Instant now = BootClock::now();
  TokenGrant grant;
  grant.workspace = request.workspace;
  grant.tokens = owner_.Grant(request.workspace, request.wanted, now);
  if (grant.tokens == 0) {
    grant.retry_after = owner_.TimeUntilToken(request.workspace, now);
  }
  Send(from, grant);
}

void PeerDatagramService::OnGrant(const TokenGrant& grant) {
  const auto found = workspaces_.find(grant.workspace);
  if (found == workspaces_.end()) return;
  WorkspaceTokens& workspace_tokens = found->second;
  workspace_tokens.client.OnGrant(grant.tokens, grant.retry_after,
                                  BootClock::now());
  for (asio::steady_timer* timer : workspace_tokens.waiters) timer->cancel();
}

void PeerDatagramService::RequestTokensIfNeeded(
    const std::string& workspace, WorkspaceTokens* workspace_tokens,
    Instant now) {
  RateShareClient& client = workspace_tokens->client;
  if (client.request_pending && now >= client.request_sent + kGrantTimeout) {
    client.request_pending = false;
  }
  std::uint32_t wanted = client.TokensToRequest(now);
  if (wanted == 0) return;
  wanted += static_cast<std::uint32_t>(workspace_tokens->waiters.size());
  const std::string& owner = OwnerOf(workspace, live_nodes_);
  if (owner == settings_.ip) {
    const std::uint32_t tokens = owner_.Grant(workspace, wanted, now);
    client.OnGrant(tokens, owner_.TimeUntilToken(workspace, now), now);
    return;
  }
  client.request_pending = true;
  client.request_sent = now;
  Send(owner, TokenGrantRequest{workspace, wanted});
}

Task<void> PeerDatagramService::AwaitGrant(WorkspaceTokens* workspace_tokens,
                                           nanoseconds max_wait) {
  asio::steady_timer timer(*loop_, max_wait);
  workspace_tokens->waiters.push_back(&timer);
  error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  std::erase(workspace_tokens->waiters, &timer);
}

Task<RateLimitDecision> PeerDatagramService::Admit(std::string workspace,
                                                   nanoseconds max_wait) {
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end())
    co_return RateLimitDecision{true, {}, "no-limit"};
  WorkspaceTokens& workspace_tokens = found->second;
  const Instant began = BootClock::now();
  Instant now = began;
  workspace_tokens.client.RecordDemand(now);
  for (;;) {
    if (workspace_tokens.client.TryTakeToken(now)) {
      RequestTokensIfNeeded(workspace, &workspace_tokens, now);
      co_return RateLimitDecision{true, {}, "token"};
    }
    if (workspace_tokens.client.IsRefused(now)) {
      co_return RateLimitDecision{
          false, workspace_tokens.client.RetryAfter(now), "over-rate"};
    }
    if (now >= began + max_wait) {
      co_return RateLimitDecision{false, kNoOwnerRetryAfter, "home-silent"};
    }
    RequestTokensIfNeeded(workspace, &workspace_tokens, now);
    if (workspace_tokens.client.request_pending) {
      co_await AwaitGrant(&workspace_tokens, kGrantTimeout);
    }
    now = BootClock::now();
  }
}

}  // namespace wisteriarill
