#include "wisteriarill/mesh/peer_datagram_service.h"

#include <array>
#include <utility>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kBeatInterval{200};
/// An ask without an answer for this long is sent again.
constexpr milliseconds kAskTimeout{40};
/// Beats between two reports of a home that refused.
constexpr int kBeatsPerReport = 5;
constexpr milliseconds kNoHomeRetry{100};
constexpr std::size_t kMostDatagram = 60000;

}  // namespace

PeerDatagramService::PeerDatagramService(asio::io_context* loop, const ProxySettings& settings,
                         PeerTable* peers, Callbacks callbacks,
                         Metrics* metrics)
    : loop_(loop),
      settings_(settings),
      peers_(peers),
      callbacks_(std::move(callbacks)),
      metrics_(metrics),
      socket_(*loop),
      home_({settings.rate_tolerance}),
      live_({settings.ip}) {}

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
  asio::co_spawn(*loop_, BeatLoop(), asio::detached);
  return OkStatus();
}

void PeerDatagramService::Configure(const std::vector<MeshWorkspace>& workspaces) {
  home_.Configure(workspaces);
  for (const MeshWorkspace& workspace : workspaces) {
    if (workspace.rate > 0) desks_.try_emplace(workspace.name);
  }
}

void PeerDatagramService::LogHomes() {
  for (const HomeReport& report : home_.TakeReports()) {
    LogEvent(LogLevel::kInfo, "rate_home")
        .With("workspace", report.workspace)
        .With("rate", report.rate)
        .With("lent", report.lent)
        .With("nodes", report.nodes)
        .With("level", report.level)
        .With("granted", report.granted)
        .With("refused_asks", report.refused);
  }
}

Task<void> PeerDatagramService::BeatLoop() {
  for (int beats = 1;; ++beats) {
    if (beats % kBeatsPerReport == 0) LogHomes();
    const Instant now = BootClock::now();
    peers_->OnTick(now);
    live_ = peers_->LiveNodes(now);
    home_.SetNodes(peers_->NodeCount(now));
    LendShares(now);
    SendHeartbeats();
    co_await SleepFor(kBeatInterval);
  }
}

void PeerDatagramService::LendShares(Instant now) {
  lent_.clear();
  for (auto& [workspace, desk] : desks_) {
    const std::string& home = HomeOf(workspace, live_);
    if (!desk.spender.MayLend(home, now)) continue;
    desk.spender.OnLent(home, now);
    if (home == settings_.ip) {
      home_.Lend(workspace, settings_.ip, now);
    } else {
      lent_[home].push_back(workspace);
    }
  }
}

void PeerDatagramService::SendHeartbeats() {
  PeerHeartbeat beat = callbacks_.make_beat();
  for (const std::string& ip : peers_->Addresses(BootClock::now())) {
    const auto lent = lent_.find(ip);
    beat.lent = lent == lent_.end() ? std::vector<std::string>() : lent->second;
    Send(ip, beat);
  }
}

void PeerDatagramService::Send(const std::string& ip, const PeerDatagram& datagram) {
  error_code error;
  const auto address = asio::ip::make_address_v4(ip, error);
  const asio::ip::udp::endpoint remote(address, settings_.beat_port);
  const std::string bytes = EncodeDatagram(datagram);
  if (!error) socket_.send_to(asio::buffer(bytes), remote, 0, error);
  // A datagram that is not sent is like one that is lost: the next one comes.
  if (error) metrics_->Add("wisteria_datagrams_unsent");
}

Task<void> PeerDatagramService::ReceiveLoop() {
  std::string buffer(kMostDatagram, '\0');
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
  if (const auto* beat = std::get_if<PeerHeartbeat>(&datagram)) {
    for (const std::string& workspace : beat->lent) {
      home_.Lend(workspace, from, now);
    }
    peers_->OnBeat(from, *beat, now);
    callbacks_.on_beat(*beat);
  } else if (const auto* ask = std::get_if<TokenAsk>(&datagram)) {
    OnAsk(*ask, from);
  } else if (const auto* grant = std::get_if<TokenGrant>(&datagram)) {
    OnGrant(*grant);
  }
}

void PeerDatagramService::OnAsk(const TokenAsk& ask, const std::string& from) {
  const Instant now = BootClock::now();
  TokenGrant grant;
  grant.workspace = ask.workspace;
  grant.tokens = home_.Grant(ask.workspace, ask.wanted, now);
  if (grant.tokens == 0) {
    grant.retry_after = home_.UntilToken(ask.workspace, now);
  }
  Send(from, grant);
}

void PeerDatagramService::OnGrant(const TokenGrant& grant) {
  const auto found = desks_.find(grant.workspace);
  if (found == desks_.end()) return;
  Desk& desk = found->second;
  desk.spender.OnGrant(grant.tokens, grant.retry_after, BootClock::now());
  for (asio::steady_timer* timer : desk.waiting) timer->cancel();
}

void PeerDatagramService::AskIfNeeded(const std::string& workspace, Desk* desk,
                              Instant now) {
  ShareSpender& spender = desk->spender;
  if (spender.asking && now >= spender.asked + kAskTimeout) {
    spender.asking = false;
  }
  std::uint32_t wanted = spender.WantsTokens(now);
  if (wanted == 0) return;
  wanted += static_cast<std::uint32_t>(desk->waiting.size());
  const std::string& home = HomeOf(workspace, live_);
  if (home == settings_.ip) {
    const std::uint32_t tokens = home_.Grant(workspace, wanted, now);
    spender.OnGrant(tokens, home_.UntilToken(workspace, now), now);
    return;
  }
  spender.asking = true;
  spender.asked = now;
  Send(home, TokenAsk{workspace, wanted});
}

Task<void> PeerDatagramService::AwaitGrant(Desk* desk, nanoseconds most) {
  asio::steady_timer timer(*loop_, most);
  desk->waiting.push_back(&timer);
  error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  std::erase(desk->waiting, &timer);
}

Task<RateLimitDecision> PeerDatagramService::Admit(std::string workspace,
                                     nanoseconds most_wait) {
  const auto found = desks_.find(workspace);
  if (found == desks_.end()) co_return RateLimitDecision{true, {}, "no-limit"};
  Desk& desk = found->second;
  const Instant began = BootClock::now();
  Instant now = began;
  desk.spender.OnDemand(now);
  for (;;) {
    if (desk.spender.Spend(now)) {
      AskIfNeeded(workspace, &desk, now);
      co_return RateLimitDecision{true, {}, "token"};
    }
    if (desk.spender.IsRefused(now)) {
      co_return RateLimitDecision{false, desk.spender.RetryAfter(now), "over-rate"};
    }
    if (now >= began + most_wait) {
      co_return RateLimitDecision{false, kNoHomeRetry, "home-silent"};
    }
    AskIfNeeded(workspace, &desk, now);
    if (desk.spender.asking) {
      co_await AwaitGrant(&desk, kAskTimeout);
    }
    now = BootClock::now();
  }
}

}  // namespace wisteriarill
