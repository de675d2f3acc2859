#include "wisteriarill/mesh/peer_datagram_service.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/mesh/stall_detector.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kProbeInterval{200};
/// Lateness of a tick from which it is logged.
constexpr milliseconds kMinLoggedStall{100};
constexpr std::size_t kMaxDatagramBytes = 60000;
/// Maximum size of a batch that is sent in a datagram. Longer ones are read
/// over a connection: a datagram of several packets is lost with any of them.
constexpr std::size_t kMaxBatchBytes = 1200;

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
      targets_(settings.failure_domain, Hash64(settings.name)),
      probe_order_(Hash64(settings.ip)),
      rates_(loop, settings.ip, peers, this,
             {settings.rate_tolerance, settings.rate_slack,
              settings.rate_window}) {}

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
  SpawnService(loop_, "datagram-receive", [this] { return ReceiveLoop(); });
  SpawnService(loop_, "datagram-tick", [this] { return TickLoop(); });
  return OkStatus();
}

Task<void> PeerDatagramService::TickLoop() {
  StallDetector stall_detector(kProbeInterval);
  for (;;) {
    const Instant now = BootClock::now();
    const nanoseconds stall = stall_detector.OnTick(now);
    if (stall.count() > 0) peers_->OnStall(stall, now);
    if (stall >= kMinLoggedStall) LogStall(stall);
    peers_->OnTick(now);
    UpdateProbeOrder();
    last_reach_ = reach_.Update(probe_order_.size(), now);
    rates_.OnTick(last_reach_, reach_.measured_since(), now);
    SendProbes(now);
    co_await SleepFor(kProbeInterval);
  }
}

void PeerDatagramService::LogStall(nanoseconds stall) const {
  error_code ignored;  // Without a size, the line says that nothing waits.
  const bool unread = socket_.available(ignored) > 0;
  LogEvent(LogLevel::kInfo, "event_loop_late")
      .With("late_ms", ToMillis(stall))
      .With("datagrams_wait", unread ? "yes" : "no");
}

void PeerDatagramService::UpdateProbeOrder() {
  if (probe_order_epoch_ == peers_->membership_epoch()) return;
  probe_order_epoch_ = peers_->membership_epoch();
  std::vector<ProbeCandidate> candidates;
  std::set<std::string> ips;
  for (const Peer* peer : peers_->registered()) {
    candidates.push_back({peer->ip, peer->failure_domain});
    ips.insert(peer->ip);
  }
  probe_order_.SetCandidates(std::move(candidates));
  reach_.OnPeersChanged(ips);
}

void PeerDatagramService::AddPeersInTurn(std::set<Peer*>* probed, Instant now) {
  const std::string silent = reach_.PeerToRetest(now);
  if (Peer* peer = peers_->Find(silent)) {
    reach_.OnRetestSent(silent, now);
    probed->insert(peer);
  }
  const std::size_t wanted = reach_.ProbesWanted(probe_order_.size(), now);
  for (std::size_t i = 0; i < wanted; ++i) {
    const std::string ip = probe_order_.Next();
    Peer* peer = peers_->Find(ip);
    if (peer == nullptr) continue;
    reach_.OnProbeSent(ip, now);
    probed->insert(peer);
  }
}

void PeerDatagramService::SendProbes(Instant now) {
  std::set<Peer*> probed;
  for (Peer* peer : peers_->PeersWithCalls()) {
    if (!peer->HeardWithin(kProbeInterval, now)) probed.insert(peer);
  }
  for (const std::string& ip : control_peers_) {
    Peer* peer = peers_->Find(ip);
    if (peer != nullptr) probed.insert(peer);
  }
  AddPeersInTurn(&probed, now);
  for (Peer* peer : probed) SendProbe(peer);
}

void PeerDatagramService::SendProbe(Peer* peer) {
  PeerStatus probe = callbacks_.make_status();
  probe.reply_wanted = true;
  peer->OnProbeSent(BootClock::now());
  Send(peer->ip, probe);
}

Instant PeerDatagramService::MeasureReach() {
  return reach_.BeginSweep(probe_order_.size(), BootClock::now());
}

void PeerDatagramService::PushChange(StorePosition after,
                                     const std::string& batch,
                                     bool from_store) {
  const PeerStatus status = callbacks_.make_status();
  const bool fits = !batch.empty() && batch.size() <= kMaxBatchBytes;
  const PeerDatagram datagram =
      fits ? PeerDatagram(RegistryDelta{status, after, batch})
           : PeerDatagram(status);
  for (Peer* peer : targets_.ForChange(peers_->registered(), from_store)) {
    Send(peer->ip, datagram);
  }
}

void PeerDatagramService::AnnounceStatus() {
  const PeerStatus status = callbacks_.make_status();
  for (const Peer* peer : peers_->registered()) Send(peer->ip, status);
}

Task<void> PeerDatagramService::RefreshStatus(std::vector<std::string> ips,
                                              nanoseconds max_age,
                                              nanoseconds timeout) {
  const Instant now = BootClock::now();
  asio::steady_timer timer(*loop_, timeout);
  const auto waiter = status_waiters_.emplace(status_waiters_.end());
  waiter->timer = &timer;
  for (const std::string& ip : ips) {
    Peer* peer = peers_->Find(ip);
    if (peer == nullptr || peer->HasStatusWithin(max_age, now)) continue;
    SendProbe(peer);
    waiter->missing.insert(ip);
  }
  if (!waiter->missing.empty()) {
    error_code error;  // The timer is canceled when all have replied.
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
  status_waiters_.erase(waiter);
}

void PeerDatagramService::Send(const std::string& ip,
                               const PeerDatagram& datagram) {
  error_code error;
  const auto address = asio::ip::make_address_v4(ip, error);
  const asio::ip::udp::endpoint remote(address, settings_.beat_port);
  const std::string bytes = EncodeDatagram(datagram);
  if (!error) socket_.send_to(asio::buffer(bytes), remote, 0, error);
  // An unsent datagram is handled like a lost one.
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
  reach_.OnHeard(from);
  if (const auto* status = std::get_if<PeerStatus>(&datagram)) {
    return OnStatus(*status, from);
  }
  if (const auto* delta = std::get_if<RegistryDelta>(&datagram)) {
    callbacks_.on_delta(from, *delta);
    return OnStatus(delta->status, from);
  }
  peers_->OnHeard(from, BootClock::now());
  if (const auto* request = std::get_if<TokenGrantRequest>(&datagram)) {
    rates_.OnGrantRequest(*request, from);
  } else if (const auto* grant = std::get_if<TokenGrant>(&datagram)) {
    rates_.OnGrant(*grant);
  }
}

void PeerDatagramService::OnStatus(const PeerStatus& status,
                                   const std::string& from) {
  peers_->OnStatus(from, status, BootClock::now());
  if (status.reply_wanted) Send(from, callbacks_.make_status());
  for (StatusWaiter& waiter : status_waiters_) {
    const bool was_missing = waiter.missing.erase(from) > 0;
    if (was_missing && waiter.missing.empty()) waiter.timer->cancel();
  }
  callbacks_.on_status(from, status);
}

}  // namespace wisteriarill
