#include "wisteriarill/mesh/proxy.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/mesh/stall_detector.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kTickInterval{100};
/// Part of the process's memory that request bodies may take. The rest is for
/// the registry, connections and responses.
constexpr double kBodyMemoryFraction = 0.25;
constexpr double kMebibyte = 1U << 20;
/// Number of ticks between reports of lost log lines.
constexpr int kTicksPerReport = 10;
/// Number of ticks between log lines of a node that lacks a change.
constexpr int kTicksPerLagReport = 5;
/// Time after which a node that lacks a change logs it. Changes usually
/// arrive sooner.
constexpr milliseconds kMinLoggedLag{500};
/// Longer changes are not encoded for a datagram, because they would not fit.
constexpr std::size_t kMaxPushedBytes = 8U << 10;
/// Stall from which a node counts as having stood still, as a suspended VM. Its
/// registry is old then, but not because nobody brought changes.
constexpr milliseconds kMinStandstill{500};
/// Time for which a starting node waits for peers to tell what they know of an
/// earlier era of the store. They follow into a new one within about a second.
constexpr milliseconds kMaxPeersKnowledgeWait{1500};
constexpr milliseconds kStopPollInterval{50};
/// Time after the stop's deadline for refusals of requests that had arrived.
constexpr milliseconds kLastRequestsTime{150};
constexpr milliseconds kLastRequestsPollInterval{10};

/// Returns a number other than 0 that no other process is likely to draw.
std::uint32_t DrawProcessNumber(const std::string& name) {
  const auto started = BootClock::now().time_since_epoch().count();
  return static_cast<std::uint32_t>(
             Hash64(name + "@" + std::to_string(started))) |
         1U;
}

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
                    {[this] { return MakeStatus(); },
                     [this](const std::string& ip, const PeerStatus& status) {
                       OnPeerStatus(ip, status);
                     },
                     [this](const std::string& ip, const RegistryDelta& delta) {
                       OnPeerDelta(ip, delta);
                     }},
                    &metrics_),
      body_memory_(static_cast<std::size_t>(settings_.memory_mb *
                                            kBodyMemoryFraction * kMebibyte)),
      puller_(loop, settings_, &peers_, &registry_, &metrics_),
      freshness_(DrawProcessNumber(settings_.name)),
      takeover_(settings_.propagation_bound, settings_.ip) {
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
  const auto peer_limits = [this] { return PeerLimits(state_.limits()); };
  const auto default_limits = [] { return CallerLimits(); };
  caller_server_ =
      std::make_unique<HttpServer>(loop_, ingress_.get(), published_limits);
  peer_server_ =
      std::make_unique<HttpServer>(loop_, peer_handler_.get(), peer_limits);
  ready_server_ =
      std::make_unique<HttpServer>(loop_, ready_page_.get(), default_limits);
  operator_server_ = std::make_unique<HttpServer>(loop_, operator_pages_.get(),
                                                  default_limits);
  caller_server_->LimitBodyMemory(&body_memory_);
  peer_server_->LimitBodyMemory(&body_memory_);
  peer_server_->SetBodyAdmission(peer_handler_.get());
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
  SpawnService(loop_, "proxy-tick", [this] { return TickLoop(); });
  puller_.Start();
  return OkStatus();
}

void Proxy::ApplyPendingUpdates() {
  while (const auto update = registry_.TakeUpdate()) ApplyUpdate(*update);
}

void Proxy::ApplyUpdate(const RegistryUpdate& update) {
  const Instant now = BootClock::now();
  const StorePosition position_before = position_;
  const bool servers_changed = state_.Apply(update, now);
  position_ = std::max(position_, update.position);
  freshness_.OnHeld(position_);
  if (update.config)
    peer_service_.rates()->Configure(update.config->workspaces());
  if (servers_changed) {
    peers_.OnMembership(state_.membership(), now);
    UpdateControlGroup();
  }
  const std::shared_ptr<const MeshConfig>& config = state_.config();
  const MeshService* service =
      config ? config->FindService(settings_.service) : nullptr;
  const BackendEntry* own_entry =
      state_.membership().FindByAddress(settings_.backend);
  backend_.OnRegistryEntry(own_entry, service,
                           config && config->controls_overload(), now);
  peer_service_.rates()->SetRegistered(own_entry != nullptr);
  const bool evacuated =
      state_.membership().IsEvacuated(settings_.failure_domain);
  // A server that received no calls during an evacuation may be cold again.
  if (std::exchange(was_evacuated_, evacuated) && !evacuated)
    backend_.StartHealthCheck();
  const bool reached_peers = confirmed_position_.revision > 0 &&
                             position_ >= confirmed_position_ &&
                             position_.era == confirmed_position_.era;
  if (registry_.confirmed() || reached_peers) ConfirmRegistry();
  LogReadiness();
  const bool has_changes = servers_changed || update.config || update.evacuated;
  if (has_changes && state_.confirmed())
    PushChanges(position_before, update.from_store);
}

void Proxy::PushChanges(StorePosition after, bool from_store) {
  const RegistryBatch changes = registry_.MakeBatch(after);
  std::size_t bytes = 0;
  for (const RegistryItem& item : changes.items) bytes += item.value.size();
  for (const CarriedItem& carried : changes.carried)
    bytes += carried.item.value.size();
  const bool is_short = !changes.complete && bytes <= kMaxPushedBytes;
  peer_service_.PushChange(after, is_short ? EncodeBatch(changes) : "",
                           from_store);
}

PeerStatus Proxy::MakeStatus() const {
  const Instant now = BootClock::now();
  PeerStatus status;
  if (state_.confirmed()) {
    status.registry_position = position_;
    status.carried_digest = registry_.carried_digest();
  }
  status.load = backend_.load(now);
  status.leaving = stopping_;
  if (backend_.IsLeaving(backend_.start()))
    status.leaving_server = DigestOf(backend_.start());
  status.watching = registry_.watching();
  status.confirmed = state_.confirmed();
  if (state_.confirmed()) status.store_read = freshness_.Claim(now).read;
  status.store_failure_age = freshness_.FailureAge(now);
  if (freshness_.ReadBegunAge(now) <= takeover_.max_age())
    status.read_begun = freshness_.ReadBegun(now);
  return status;
}

Task<void> Proxy::TickLoop() {
  StallDetector stall_detector(kTickInterval);
  for (int ticks = 1;; ++ticks) {
    co_await SleepFor(kTickInterval);
    const Instant now = BootClock::now();
    if (stall_detector.OnTick(now) >= kMinStandstill) resumed_at_ = now;
    if (ticks % kTicksPerReport == 0) ReportLostLogLines();
    if (ticks % kTicksPerLagReport == 0) LogRegistryLag(now);
    registry_.ReleaseExpired(now);
    if (state_.membership().RemoveExpired(now)) {
      peers_.OnMembership(state_.membership(), now);
      UpdateControlGroup();
    }
    backend_.OnTick(now);
    if (IsCutOff(now)) backend_.AskWhetherCold(now);
    peer_handler_->OnTick(now);
    UpdateWatchRole(now);
  }
}

void Proxy::ConfirmRegistry() {
  if (state_.confirmed() || !state_.has_complete_list()) return;
  const Instant now = BootClock::now();
  if (AwaitsPeersKnowledge(now)) {
    if (awaits_peers_until_ == kNever)
      awaits_peers_until_ = now + kMaxPeersKnowledgeWait;
    if (now < awaits_peers_until_) return;
  }
  state_.SetConfirmed();
  registry_.SetConfirmed();
  LogReadiness();
}

bool Proxy::AwaitsPeersKnowledge(Instant now) const {
  const auto may_know_more = [&](const Peer* peer) {
    const PeerStatus& status = peer->status;
    const bool is_known =
        status.confirmed && peer->HasStatusWithin(kMaxPeersKnowledgeWait, now);
    if (!is_known) return false;
    return status.registry_position.era < position_.era ||
           registry_.LacksCarried(status.carried_digest);
  };
  const std::vector<Peer*>& peers = peers_.registered();
  return std::any_of(peers.begin(), peers.end(), may_know_more);
}

void Proxy::LogReadiness() {
  if (!ready() || std::exchange(logged_ready_, true)) return;
  LogEvent(LogLevel::kInfo, "ready").With("revision", ToString(position_));
}

void Proxy::LogRegistryLag(Instant now) const {
  const milliseconds behind = freshness_.BehindFor(now);
  if (behind < kMinLoggedLag) return;
  LogEvent(LogLevel::kInfo, "registry_behind")
      .With("holds", ToString(position_))
      .With("knows", ToString(freshness_.known_position()))
      .With("behind_ms", behind.count())
      .With("store_age_ms", freshness_.Age(now).count())
      .With("read_begun_ms", freshness_.ReadBegunAge(now).count())
      .With("reads_store", registry_.watch_wanted() ? "yes" : "no");
}

void Proxy::OnPeerStatus(const std::string& ip, const PeerStatus& status) {
  const Instant now = BootClock::now();
  freshness_.OnFailureHeard(status.store_failure_age, now);
  OnReadBegunAtPeer(ip, status.read_begun, now);
  if (!status.confirmed) return;
  const milliseconds age_before = freshness_.Age(now);
  freshness_.OnPeerClaim({status.registry_position, status.store_read}, now);
  if (takeover_.ShouldAnnounce(age_before, freshness_.Age(now)))
    peer_service_.PushChange(position_, "", false);
  puller_.OnPeerPosition(ip, status.registry_position, status.carried_digest);
  if (state_.confirmed()) return;
  // A peer that is still in an earlier era can't tell what the store shows now.
  if (status.registry_position.era < position_.era) return;
  confirmed_position_ = std::max(confirmed_position_, status.registry_position);
  if (confirmed_position_ <= position_) ConfirmRegistry();
}

bool Proxy::AppliesHere(const RegistryDelta& delta) const {
  const StorePosition held = registry_.position();
  const StorePosition position = delta.status.registry_position;
  if (position.era < held.era || held < delta.after) return false;
  if (position.era > held.era) return held == delta.after;
  return held < position || registry_.LacksCarried(delta.status.carried_digest);
}

void Proxy::OnPeerDelta(const std::string& ip, const RegistryDelta& delta) {
  if (!registry_.complete() || !AppliesHere(delta)) return;
  Result<RegistryBatch> batch = DecodeBatch(delta.batch);
  if (!batch || batch.value().complete) {
    metrics_.Add("wisteria_datagrams_malformed");
    return;
  }
  registry_.Apply(std::move(batch.value()), RegistrySource::kPeer,
                  "delta-" + ip);
}

void Proxy::Stop() {
  if (std::exchange(stopping_, true)) return;
  LogEvent(LogLevel::kInfo, "stopping")
      .With("active", caller_server_->active());
  caller_server_->StartDraining();
  peer_server_->StartDraining();
  peer_service_.AnnounceStatus();
  peer_service_.rates()->OnLeaving(BootClock::now());
  const StopSchedule schedule(BootClock::now(), settings_.stop_grace);
  ingress_->OnStop(schedule);
  peer_handler_->OnStop(schedule);
  SpawnTask(loop_, "stop", [this, schedule] { return FinishStop(schedule); });
}

bool Proxy::HasRequests() {
  return caller_server_->HasRequests() || peer_server_->HasRequests();
}

// Connections that the system has accepted for this process, and requests that
// it has received, would be cut off by the end of the process.
Task<void> Proxy::ServeLastRequests(StopSchedule schedule) {
  schedule.Close();
  ingress_->OnStop(schedule);
  peer_handler_->OnStop(schedule);
  caller_server_->StopListening();
  peer_server_->StopListening();
  const Instant end = std::max<Instant>(schedule.deadline(),
                                        BootClock::now() + kLastRequestsTime);
  do {
    co_await SleepFor(kLastRequestsPollInterval);
  } while (HasRequests() && BootClock::now() < end);
}

Task<void> Proxy::FinishStop(StopSchedule schedule) {
  const Instant earliest_end = schedule.began() + StopSchedule::kNoticeTime;
  for (;;) {
    co_await SleepFor(kStopPollInterval);
    const Instant now = BootClock::now();
    const bool idle = !HasRequests() && now >= earliest_end;
    if (idle || now >= schedule.deadline()) break;
  }
  co_await ServeLastRequests(schedule);
  caller_server_->CloseIdle();
  LogEvent(LogLevel::kInfo, "stopped")
      .With("active", caller_server_->active() + peer_server_->active())
      .With("after_ms", ToMillis(BootClock::now() - schedule.began()));
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
  add("store_era", ToString(position_.era));
  add("registry_revision", ToString(position_));
  add("carried_items", std::to_string(registry_.carried_count()));
  add("known_revision", ToString(freshness_.known_position()));
  add("behind_ms", std::to_string(freshness_.BehindFor(now).count()));
  add("servers", std::to_string(state_.membership().entries().size()));
  add("backend_instance", backend_.instance());
  add("nodes", std::to_string(peers_.NodeCount()));
  add("store_age_ms", std::to_string(freshness_.Age(now).count()));
  const BackendLoad load = backend_.load(now);
  add("running", std::to_string(load.running));
  add("waiting", std::to_string(load.waiting));
  add("service_time_us", std::to_string(load.service_time.count()));
  add("body_wait_us", std::to_string(load.receive_delay.count()));
  add("body_bytes", std::to_string(body_memory_.used_bytes()));
  return text;
}

}  // namespace wisteriarill
