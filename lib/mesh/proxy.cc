#include "wisteriarill/mesh/proxy.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/mesh/response_relay.h"
#include "wisteriarill/mesh/watcher_selection.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kTickInterval{100};
/// Number of ticks between reports of lost log lines.
constexpr int kTicksPerReport = 10;
/// How long a node that watches the store waits before it reads a newer replica
/// from a peer. The store usually sends the same change within this time.
constexpr milliseconds kWatcherPullDelay{200};
constexpr milliseconds kPullTimeout{500};
/// Time between attempts to read a peer's replica.
constexpr milliseconds kPullRetryInterval{15};
/// Maximum random delay before a replica is read from another failure domain.
/// One node of a domain usually reads it first, and the others read it from
/// that node.
constexpr milliseconds kMaxCrossDomainDelay{250};
/// Minimum time that a stopping node keeps serving callers, because some have
/// not yet noticed that it is no longer ready.
constexpr milliseconds kMinStopTime{2600};
/// Part of the grace period that is reserved for the process to exit.
constexpr milliseconds kExitMargin{400};
constexpr milliseconds kStopPollInterval{50};

}  // namespace

/// Readiness page: tells the platform whether it may send callers to this node.
class Proxy::ReadyPage : public RequestHandler {
 public:
  explicit ReadyPage(const Proxy* proxy) : proxy_(proxy) {}

  Task<void> Handle(ServerExchange* exchange) override {
    const bool ready = proxy_->ready();
    co_await exchange->SendResponse(ready ? 200 : 503, HttpFields(),
                                    ready ? "ready\n" : "not ready\n");
  }

 private:
  const Proxy* proxy_;
};

/// Serves metrics and status to operators.
class Proxy::OperatorPages : public RequestHandler {
 public:
  explicit OperatorPages(const Proxy* proxy) : proxy_(proxy) {}

  Task<void> Handle(ServerExchange* exchange) override {
    const std::string_view path = PathWithoutQuery(exchange->request().target);
    std::string body;
    if (path == "/metrics") body = proxy_->metrics_.Render();
    if (path == "/status") body = proxy_->StatusText();
    const int status = body.empty() ? 404 : 200;
    co_await exchange->SendResponse(status, HttpFields(), std::move(body));
  }

 private:
  const Proxy* proxy_;
};

Proxy::Proxy(asio::io_context* loop, const ProxySettings& settings,
             const PlatformFieldNames& field_names, const ItemDecoder* decoder)
    : loop_(loop),
      settings_(settings),
      field_names_(field_names),
      registry_(
          decoder,
          [this] { asio::post(*loop_, [this] { ApplyPendingUpdates(); }); }),
      state_(settings_),
      backend_(loop, settings_, field_names_, &state_, &metrics_),
      peers_(loop, settings_.ip,
             ParseEndpoint(settings_.peer_listen).value().port()),
      peer_service_(loop, settings_, &peers_,
                    {[this] { return MakeHeartbeat(); },
                     [this](const PeerHeartbeat& heartbeat) {
                       OnPeerHeartbeat(heartbeat);
                     }},
                    &metrics_),
      pull_timer_(*loop),
      random_(Hash64(settings.name)) {
  ingress_ = std::make_unique<Ingress>(
      IngressDependencies{loop, &settings_, &field_names_, &state_, &backend_,
                          &peers_, &peer_service_, &metrics_});
  peer_handler_ = std::make_unique<PeerRequestHandler>(&backend_, &registry_);
  ready_page_ = std::make_unique<ReadyPage>(this);
  operator_pages_ = std::make_unique<OperatorPages>(this);
}

Proxy::~Proxy() = default;

Status Proxy::Start() {
  const auto published_limits = [this] { return state_.limits(); };
  const auto default_limits = [] { return CallerLimits(); };
  caller_server_ =
      std::make_unique<HttpServer>(loop_, ingress_.get(), published_limits);
  peer_server_ =
      std::make_unique<HttpServer>(loop_, peer_handler_.get(), default_limits);
  ready_server_ =
      std::make_unique<HttpServer>(loop_, ready_page_.get(), default_limits);
  operator_server_ = std::make_unique<HttpServer>(loop_, operator_pages_.get(),
                                                  default_limits);
  const std::pair<HttpServer*, std::string> listeners[] = {
      {peer_server_.get(), settings_.peer_listen},
      {caller_server_.get(), settings_.caller_listen},
      {operator_server_.get(), settings_.operator_listen},
      {ready_server_.get(), settings_.ready_listen}};
  for (const auto& [server, address] : listeners) {
    const Status listening = server->Listen(address);
    if (!listening) return listening.error();
  }
  const Status started = peer_service_.Start();
  if (!started) return started.error();
  asio::co_spawn(*loop_, TickLoop(), asio::detached);
  asio::co_spawn(*loop_, PullLoop(), asio::detached);
  return OkStatus();
}

void Proxy::ApplyPendingUpdates() {
  while (const auto update = registry_.TakeUpdate()) ApplyUpdate(*update);
}

void Proxy::ApplyUpdate(const RegistryUpdate& update) {
  const Instant now = BootClock::now();
  const bool was_ready = ready();
  state_.Apply(update, now);
  revision_ = std::max(revision_, update.revision);
  peers_.OnMembership(state_.membership(), now);
  const std::shared_ptr<const MeshConfig>& config = state_.config();
  if (config) peer_service_.Configure(config->workspaces());
  const MeshService* service =
      config ? config->FindService(settings_.service) : nullptr;
  backend_.OnRegistryEntry(state_.membership().FindByAddress(settings_.backend),
                           service, now);
  const bool evacuated =
      state_.membership().IsEvacuated(settings_.failure_domain);
  // A server that received no calls during an evacuation may be cold again.
  if (std::exchange(was_evacuated_, evacuated) && !evacuated)
    backend_.StartHealthCheck();
  if (ready() != was_ready) {
    LogEvent(LogLevel::kInfo, "ready").With("revision", revision_);
  }
  const bool has_changes = !update.changed.empty() || !update.removed.empty() ||
                           update.config || update.evacuated ||
                           update.store_unavailable;
  if (has_changes) peer_service_.SendHeartbeats();
}

PeerHeartbeat Proxy::MakeHeartbeat() const {
  PeerHeartbeat heartbeat;
  heartbeat.registry_revision = revision_;
  heartbeat.load = backend_.load(BootClock::now());
  heartbeat.leaving = stopping_;
  heartbeat.watching = registry_.watching();
  return heartbeat;
}

Task<void> Proxy::TickLoop() {
  for (int ticks = 1;; ++ticks) {
    co_await SleepFor(kTickInterval);
    const Instant now = BootClock::now();
    if (ticks % kTicksPerReport == 0) ReportLostLogLines();
    if (state_.membership().RemoveExpired(now)) {
      peers_.OnMembership(state_.membership(), now);
    }
    backend_.OnTick(now);
    UpdateWatchRole(now);
  }
}

void Proxy::UpdateWatchRole(Instant now) {
  bool any_watching = registry_.watching();
  std::vector<WatchCandidate> peers;
  for (const std::string& ip : peers_.LiveNodes(now)) {
    const Peer* peer = peers_.Find(ip);
    if (peer == nullptr) continue;
    peers.push_back({ip, peer->failure_domain, peer->heartbeat.watching});
    any_watching = any_watching || peer->heartbeat.watching;
  }
  const WatchCandidate own{settings_.ip, settings_.failure_domain,
                           registry_.watching()};
  registry_.SetWatchWanted(ShouldWatch(own, peers));
  // The store counts as unreachable only if this node failed to read it and no
  // live peer watches it. That no node watches proves nothing, because the
  // watchers may have been killed.
  const bool store_unreachable = registry_.store_unavailable() && !any_watching;
  if (store_unreachable) state_.membership().OnRegistryUnavailable(now);
}

milliseconds Proxy::DrawCrossDomainDelay() {
  std::uniform_int_distribution<std::int64_t> delay(
      0, kMaxCrossDomainDelay.count());
  return milliseconds(delay(random_));
}

bool Proxy::IsBehind(Instant now) {
  for (const std::string& ip : peers_.Addresses(now)) {
    const Peer* peer = peers_.Find(ip);
    const bool ahead = peer->heartbeat.registry_revision > revision_;
    if (ahead && peer->IsReachable(now)) return true;
  }
  return false;
}

Peer* Proxy::FindPeerAhead() {
  const Instant now = BootClock::now();
  std::vector<Peer*> ahead;
  for (const std::string& ip : peers_.Addresses(now)) {
    Peer* peer = peers_.Find(ip);
    if (peer->heartbeat.registry_revision <= revision_) continue;
    if (peer->IsReachable(now)) ahead.push_back(peer);
  }
  if (ahead.empty()) return nullptr;
  std::vector<Peer*> same_domain;
  for (Peer* peer : ahead) {
    if (peer->failure_domain == settings_.failure_domain)
      same_domain.push_back(peer);
  }
  const bool may_cross_domains = now >= ahead_since_ + cross_domain_delay_;
  if (same_domain.empty() && !may_cross_domains) return nullptr;
  // Pick at random, so that not all nodes read from the same peer.
  const std::vector<Peer*>& candidates =
      same_domain.empty() ? ahead : same_domain;
  std::uniform_int_distribution<std::size_t> distribution(
      0, candidates.size() - 1);
  return candidates[distribution(random_)];
}

void Proxy::OnPeerHeartbeat(const PeerHeartbeat& heartbeat) {
  if (heartbeat.registry_revision > revision_) pull_timer_.cancel();
}

Task<void> Proxy::PullLoop() {
  for (;;) {
    // A heartbeat with a newer revision cancels the timer.
    pull_timer_.expires_after(ahead_since_ == kNever ? kTickInterval
                                                     : kPullRetryInterval);
    error_code ignored;
    co_await pull_timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    const Instant now = BootClock::now();
    if (!IsBehind(now)) {
      ahead_since_ = kNever;
      continue;
    }
    if (ahead_since_ == kNever) {
      ahead_since_ = now;
      cross_domain_delay_ = DrawCrossDomainDelay();
    }
    const bool watches_store = registry_.watching();
    if (watches_store && now < ahead_since_ + kWatcherPullDelay) continue;
    Peer* peer = FindPeerAhead();
    if (peer != nullptr) {
      co_await PullFrom(peer);
    }
  }
}

Task<void> Proxy::PullFrom(Peer* peer) {
  std::shared_ptr<ClientConnection> connection =
      peer->pool->Take(BootClock::now());
  if (!connection->has_sent_request()) {
    const Status connected = co_await connection->Connect(kPullTimeout);
    if (!connected) co_return;
  }
  HttpRequest request;
  request.method = "GET";
  request.target =
      std::string(kRegistryReplicaPath) + "?after=" + std::to_string(revision_);
  request.fields.push_back({"Host", peer->ip});
  const Status sent = co_await connection->Send(SerializeRequestHead(request),
                                                &request.body, kPullTimeout);
  if (!sent) co_return;
  const auto head = co_await connection->ReadHead(kPullTimeout);
  if (!head) co_return;
  if (head.value().status != 200) {
    co_await DrainResponse(connection.get());
    peer->pool->Return(std::move(connection), BootClock::now());
    co_return;
  }
  std::string bytes;
  std::string buffer(16U << 10, '\0');
  for (;;) {
    const auto read = co_await connection->ReadBody(
        buffer.data(), buffer.size(), kPullTimeout);
    if (!read) co_return;
    if (read.value() == 0) break;
    bytes.append(buffer, 0, read.value());
  }
  peer->pool->Return(std::move(connection), BootClock::now());
  Result<RegistryBatch> batch = DecodeBatch(bytes);
  if (!batch) {
    LogEvent(LogLevel::kWarning, "peer_copy_malformed")
        .With("peer", peer->ip)
        .With(batch.error());
    co_return;
  }
  metrics_.Add("wisteria_peer_copies_read");
  registry_.Apply(std::move(batch.value()), "peer-" + peer->ip);
}

void Proxy::Stop() {
  if (std::exchange(stopping_, true)) return;
  LogEvent(LogLevel::kInfo, "stopping")
      .With("active", caller_server_->active());
  caller_server_->StartDraining();
  peer_server_->StartDraining();
  peer_service_.SendHeartbeats();
  asio::co_spawn(*loop_, FinishStop(), asio::detached);
}

Task<void> Proxy::FinishStop() {
  const Instant began = BootClock::now();
  const Instant stop_deadline = began + settings_.stop_grace - kExitMargin;
  for (;;) {
    co_await SleepFor(kStopPollInterval);
    const Instant now = BootClock::now();
    // A call accepted later might not finish before the process has to exit.
    if (now >= began + settings_.stop_grace / 2) {
      ingress_->StopAccepting();
      peer_handler_->StopAccepting();
    }
    const bool idle =
        caller_server_->active() == 0 && peer_server_->active() == 0;
    if (now >= stop_deadline || (idle && now >= began + kMinStopTime)) break;
  }
  caller_server_->CloseIdle();
  LogEvent(LogLevel::kInfo, "stopped")
      .With("active", caller_server_->active() + peer_server_->active())
      .With("after_ms", ToMillis(BootClock::now() - began));
  loop_->stop();
}

std::string Proxy::StatusText() const {
  const Instant now = BootClock::now();
  std::string text;
  const auto add = [&text](const std::string& key, const std::string& value) {
    text.append(key).append("=").append(value).append("\n");
  };
  add("ready", ready() ? "yes" : "no");
  add("config",
      state_.config() ? ToString(state_.config()->version()) : "none");
  add("registry_revision", std::to_string(revision_));
  add("servers", std::to_string(state_.membership().entries().size()));
  add("backend_instance", backend_.instance());
  add("live_nodes", std::to_string(peers_.LiveNodes(now).size()));
  add("running", std::to_string(backend_.load(now).running));
  add("waiting", std::to_string(backend_.load(now).waiting));
  return text;
}

}  // namespace wisteriarill
