#include "wisteriarill/mesh/proxy.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "wisteriarill/mesh/response_relay.h"
#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/mesh/watcher_selection.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kTick{100};
/// Ticks between two reports of lost log lines.
constexpr int kTicksPerReport = 10;
/// How long a peer may know more before a node that watches the store itself
/// reads its copy: the store is usually about to say it.
constexpr milliseconds kPullDelay{200};
constexpr milliseconds kPullTimeout{500};
/// Between two tries to read a copy.
constexpr milliseconds kPullRetry{15};
/// A copy from another failure domain is read after a time drawn up to this:
/// one node of a domain fetches it, the others have it from there.
constexpr milliseconds kMostFarPullDelay{250};
/// Callers' side stays open this long in a stop, so that those who have not
/// noticed yet are served.
constexpr milliseconds kLeastStop{2600};
/// Kept of the grace for the end of the process itself.
constexpr milliseconds kStopMargin{400};
constexpr milliseconds kStopPause{50};

}  // namespace

// Tells the platform whether callers may be sent here.
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

// Metrics and status for operators.
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
             const PlatformFieldNames& dialect, const ItemDecoder* decoder)
    : loop_(loop),
      settings_(settings),
      dialect_(dialect),
      registry_(decoder,
                [this] { asio::post(*loop_, [this] { TakeUpdates(); }); }),
      state_(settings_),
      backend_(loop, settings_, dialect_, &state_, &metrics_),
      peers_(loop, settings_.ip,
             ParseEndpoint(settings_.peer_listen).value().port()),
      peer_service_(loop, settings_, &peers_,
                    {[this] { return MakeBeat(); },
                     [this](const PeerHeartbeat& beat) { OnBeat(beat); }},
                    &metrics_),
      pull_timer_(*loop),
      random_(Hash64(settings.name)) {
  ingress_ = std::make_unique<Ingress>(IngressParts{loop, &settings_, &dialect_,
                                                    &state_, &backend_, &peers_,
                                                    &peer_service_, &metrics_});
  inbound_ = std::make_unique<PeerRequestHandler>(&backend_, &registry_);
  ready_page_ = std::make_unique<ReadyPage>(this);
  operator_pages_ = std::make_unique<OperatorPages>(this);
}

Proxy::~Proxy() = default;

Status Proxy::Start() {
  const auto published = [this] { return state_.limits(); };
  const auto fixed = [] { return CallerLimits(); };
  callers_ = std::make_unique<HttpServer>(loop_, ingress_.get(), published);
  inbound_server_ = std::make_unique<HttpServer>(loop_, inbound_.get(), fixed);
  ready_server_ = std::make_unique<HttpServer>(loop_, ready_page_.get(), fixed);
  operator_server_ =
      std::make_unique<HttpServer>(loop_, operator_pages_.get(), fixed);
  const std::pair<HttpServer*, std::string> listeners[] = {
      {inbound_server_.get(), settings_.peer_listen},
      {callers_.get(), settings_.caller_listen},
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

void Proxy::TakeUpdates() {
  while (const auto update = registry_.TakeUpdate()) OnUpdate(*update);
}

void Proxy::OnUpdate(const RegistryUpdate& update) {
  const Instant now = BootClock::now();
  const bool was_ready = ready();
  state_.Apply(update, now);
  revision_ = std::max(revision_, update.revision);
  peers_.OnMembership(state_.membership(), now);
  const std::shared_ptr<const MeshConfig>& config = state_.config();
  if (config) peer_service_.Configure(config->workspaces());
  const MeshService* service =
      config ? config->FindService(settings_.service) : nullptr;
  backend_.OnEntry(state_.membership().FindByAddress(settings_.backend),
                   service, now);
  const bool evacuated =
      state_.membership().IsEvacuated(settings_.failure_domain);
  // A server that got nothing for a while may have turned cold.
  if (std::exchange(was_evacuated_, evacuated) && !evacuated) backend_.Verify();
  if (ready() != was_ready) {
    LogEvent(LogLevel::kInfo, "ready").With("revision", revision_);
  }
  const bool news = !update.changed.empty() || !update.removed.empty() ||
                    update.config || update.evacuated || update.store_unavailable;
  if (news) peer_service_.SendHeartbeats();
}

PeerHeartbeat Proxy::MakeBeat() const {
  PeerHeartbeat beat;
  beat.registry_revision = revision_;
  beat.load = backend_.load(BootClock::now());
  beat.leaving = stopping_;
  beat.watching = registry_.watching();
  return beat;
}

Task<void> Proxy::TickLoop() {
  for (int ticks = 1;; ++ticks) {
    co_await SleepFor(kTick);
    const Instant now = BootClock::now();
    if (ticks % kTicksPerReport == 0) ReportLostLogLines();
    if (state_.membership().RemoveExpired(now)) {
      peers_.OnMembership(state_.membership(), now);
    }
    backend_.OnTick(now);
    DecideWatch(now);
  }
}

void Proxy::DecideWatch(Instant now) {
  bool anyone = registry_.watching();
  std::vector<WatchCandidate> peers;
  for (const std::string& ip : peers_.LiveNodes(now)) {
    const Peer* peer = peers_.Find(ip);
    if (peer == nullptr) continue;
    peers.push_back({ip, peer->failure_domain, peer->heartbeat.watching});
    anyone = anyone || peer->heartbeat.watching;
  }
  const WatchCandidate own{settings_.ip, settings_.failure_domain,
                           registry_.watching()};
  registry_.SetWatchWanted(ShouldWatch(own, peers));
  // That nobody watches is no sign: those who did may have been killed.
  const bool away = registry_.store_unavailable() && !anyone;
  if (away) state_.membership().OnRegistryUnavailable(now);
}

milliseconds Proxy::DrawFarDelay() {
  std::uniform_int_distribution<std::int64_t> delay(0,
                                                    kMostFarPullDelay.count());
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
  std::vector<Peer*> near;
  for (Peer* peer : ahead) {
    if (peer->failure_domain == settings_.failure_domain) near.push_back(peer);
  }
  const bool may_go_far = now >= ahead_since_ + far_pull_delay_;
  if (near.empty() && !may_go_far) return nullptr;
  // Any of them, so that not all nodes ask the same one.
  const std::vector<Peer*>& from = near.empty() ? ahead : near;
  std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
  return from[any(random_)];
}

void Proxy::OnBeat(const PeerHeartbeat& beat) {
  if (beat.registry_revision > revision_) pull_timer_.cancel();
}

Task<void> Proxy::PullLoop() {
  for (;;) {
    // A beat that tells of more ends the wait.
    pull_timer_.expires_after(ahead_since_ == kNever ? kTick : kPullRetry);
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
      far_pull_delay_ = DrawFarDelay();
    }
    const bool told_soon = registry_.watching();
    if (told_soon && now < ahead_since_ + kPullDelay) continue;
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
      std::string(kMirrorPath) + "?after=" + std::to_string(revision_);
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
  std::string piece(16U << 10, '\0');
  for (;;) {
    const auto read =
        co_await connection->ReadBody(piece.data(), piece.size(), kPullTimeout);
    if (!read) co_return;
    if (read.value() == 0) break;
    bytes.append(piece, 0, read.value());
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
  LogEvent(LogLevel::kInfo, "stopping").With("active", callers_->active());
  callers_->StartDraining();
  inbound_server_->StartDraining();
  peer_service_.SendHeartbeats();
  asio::co_spawn(*loop_, StopSteps(), asio::detached);
}

Task<void> Proxy::StopSteps() {
  const Instant began = BootClock::now();
  const Instant last = began + settings_.stop_grace - kStopMargin;
  for (;;) {
    co_await SleepFor(kStopPause);
    const Instant now = BootClock::now();
    // What comes later might not end before the process has to.
    if (now >= began + settings_.stop_grace / 2) {
      ingress_->StopTaking();
      inbound_->StopTaking();
    }
    const bool idle = callers_->active() == 0 && inbound_server_->active() == 0;
    if (now >= last || (idle && now >= began + kLeastStop)) break;
  }
  callers_->CloseIdle();
  LogEvent(LogLevel::kInfo, "stopped")
      .With("active", callers_->active() + inbound_server_->active())
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
