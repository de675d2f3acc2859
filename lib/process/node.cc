#include "wisteriarill/process/node.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "node_pages.h"
#include "wisteriarill/process/admission_controller.h"
#include "wisteriarill/process/backend_executor.h"
#include "wisteriarill/process/invariant.h"
#include "wisteriarill/process/log.h"
#include "wisteriarill/process/operator_service.h"
#include "wisteriarill/process/timer_service.h"
#include "wisteriarill/request/caller_service.h"
#include "wisteriarill/version/explanation.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kLinkTickInterval = milliseconds(200);
constexpr nanoseconds kConfigTickInterval = milliseconds(50);
constexpr nanoseconds kBackendTickInterval = milliseconds(20);
constexpr nanoseconds kLogReportInterval = seconds(1);
constexpr nanoseconds kDrainPollInterval = milliseconds(20);
constexpr microseconds kPlatformTimeout = seconds(1);

ConfigDisseminatorOptions MakeDisseminatorOptions(const NodeSettings& settings,
                                                  const std::string& address) {
  ConfigDisseminatorOptions options;
  options.self = settings.name;
  options.address = address;
  options.failure_domain = settings.failure_domain;
  options.seeds = settings.seeds;
  options.fleet_size = settings.fleet_size;
  options.isolation_timeout = settings.isolation_timeout;
  return options;
}

}  // namespace

class Node::Impl {
 public:
  explicit Impl(NodeSettings settings)
      : settings_(std::move(settings)), instance_(GenerateInstanceId()) {
    SetAbortOnViolation(settings_.abort_on_violation);
    PeerTransportOptions options;
    options.listen = settings_.peer_listen;
    hub_ = std::make_unique<PeerHub>(
        options, [this] { return MakeHello(); }, &metrics_);
  }

  ~Impl() {
    // Destroys each component only after the components that call it.
    for (const TimerId timer : subscriptions_) timers_.Unsubscribe(timer);
    operators_.reset();
    callers_.reset();
    config_.reset();
    admission_.reset();
    backend_.reset();
    hub_.reset();
  }

  Status Start() {
    PeerMessageHandlers handlers;
    handlers.configuration = [this](PeerTarget from, PeerMessage message) {
      return started_ &&
             config_->OnPeerMessage(std::move(from), std::move(message));
    };
    handlers.admission = [this](PeerTarget from, PeerMessage message) {
      return started_ &&
             admission_->OnPeerMessage(std::move(from), std::move(message));
    };
    handlers.backend = [this](PeerTarget from, PeerMessage message) {
      return started_ &&
             backend_->OnPeerMessage(std::move(from), std::move(message));
    };
    Status listening = hub_->Start(std::move(handlers));
    if (!listening) return listening;
    CreateComponents();
    started_ = true;
    admission_->Start();
    backend_->Start();
    config_->Start();
    SubscribeTimers();
    FillCallerContext();
    callers_ = MakeCallerService(&context_);
    Status callers = callers_->Start();
    if (!callers) return callers;
    operators_ = MakeOperatorService(settings_.operator_listen, MakePages());
    return operators_->Start();
  }

  void Drain() {
    LogEvent(LogLevel::kInfo, "drain_began")
        .With("limit_ms", settings_.drain_limit.count());
    const Instant drain_started_at = BootClock::now();
    context_.leaving = true;
    backend_->SetLeaving();
    config_->SetLeaving();
    while (BootClock::now() - drain_started_at < settings_.drain_limit) {
      std::this_thread::sleep_for(kDrainPollInterval);
      const Instant quiet_since =
          std::max(drain_started_at, context_.last_request_at.load());
      const bool quiet =
          BootClock::now() - quiet_since > settings_.drain_quiet_period;
      const bool idle =
          context_.active_requests.load() == 0 && backend_->unfinished() == 0;
      if (quiet && idle) break;
    }
    callers_->Stop();
    WaitForUnfinishedCalls(drain_started_at);
    LogEvent(LogLevel::kInfo, "drain_ended")
        .With("unfinished", backend_->unfinished());
  }

  std::string caller_address() const { return callers_->address(); }
  std::string peer_address() const { return hub_->address(); }
  std::string operator_address() const { return operators_->address(); }

 private:
  Hello MakeHello() {
    Hello hello;
    hello.node = settings_.name;
    hello.instance = instance_;
    hello.failure_domain = settings_.failure_domain;
    hello.address = hub_->address();
    hello.leaving = context_.leaving.load();
    return hello;
  }

  void CreateComponents() {
    const auto send = [this](const PeerTarget& to, const PeerMessage& message) {
      hub_->Send(to, message);
    };
    admission_ = std::make_unique<AdmissionController>(
        settings_, instance_, hub_->address(), send, &metrics_);
    backend_ = std::make_unique<BackendExecutor>(settings_, instance_,
                                                 hub_.get(), &metrics_);
    ConfigCallbacks callbacks;
    callbacks.send = send;
    callbacks.on_version_applied =
        [this](std::shared_ptr<const Snapshot> snapshot) {
          backend_->OnSnapshot(snapshot);
          admission_->OnSnapshot(std::move(snapshot));
        };
    callbacks.on_vms_leaving = [this](const std::vector<std::string>& leaving) {
      admission_->OnVmsLeaving(leaving);
    };
    callbacks.on_view_changed = [this](const ConfigView& view) {
      admission_->OnConfigView(view);
    };
    config_ = std::make_unique<ConfigManager>(
        MakeDisseminatorOptions(settings_, hub_->address()), instance_.value,
        [this] {
          return MakeHttpPlatformReader(settings_.platform, kPlatformTimeout);
        },
        std::move(callbacks));
  }

  void SubscribeTimers() {
    subscriptions_ = {
        timers_.Subscribe(kLinkTickInterval,
                          [this](Instant now) { hub_->OnTick(now); }),
        timers_.Subscribe(kConfigTickInterval,
                          [this](Instant /*now*/) { config_->OnTick(); }),
        timers_.Subscribe(kBackendTickInterval,
                          [this](Instant /*now*/) { backend_->OnTick(); }),
        timers_.Subscribe(kLogReportInterval,
                          [](Instant /*now*/) { ReportLostLogLines(); }),
    };
  }

  void FillCallerContext() {
    context_.settings = &settings_;
    context_.config = config_.get();
    context_.admission = admission_.get();
    context_.backend = backend_.get();
    context_.hub = hub_.get();
    context_.metrics = &metrics_;
    context_.instance = instance_;
  }

  OperatorPages MakePages() {
    OperatorPages pages;
    pages.status = [this] {
      const NodeState state{&settings_,
                            instance_,
                            context_.leaving.load(),
                            context_.active_requests.load(),
                            admission_->shard_count(),
                            config_->view(),
                            backend_->status(),
                            hub_->stats()};
      return RenderStatus(state, BootClock::now());
    };
    pages.metrics = [this] { return RenderMetrics(); };
    pages.ready = [this] {
      return config_->view().ready && !context_.leaving.load();
    };
    pages.explain = [this](const std::string& method, const std::string& host,
                           const std::string& path) {
      return RenderExplanation(config_->view().snapshot.get(),
                               {method, host, path, {}});
    };
    return pages;
  }

  std::string RenderMetrics() {
    const PeerTransportStats peers = hub_->stats();
    const BackendStatus backend = backend_->status();
    metrics_.Set("peer_links", static_cast<double>(peers.links));
    metrics_.Set("peer_bytes_sent", static_cast<double>(peers.bytes_sent));
    metrics_.Set("peer_bytes_received",
                 static_cast<double>(peers.bytes_received));
    metrics_.Set("peer_malformed_frames",
                 static_cast<double>(peers.malformed_frames));
    metrics_.Set("gate_in_flight", backend.load.in_flight);
    metrics_.Set("gate_limit", backend.load.limit);
    metrics_.Set("platform_reads",
                 static_cast<double>(config_->view().platform_reads));
    metrics_.Set("invariant_violations",
                 static_cast<double>(InvariantViolations()));
    return metrics_.Render();
  }

  void WaitForUnfinishedCalls(Instant drain_started_at) {
    while (backend_->unfinished() > 0 &&
           BootClock::now() - drain_started_at < settings_.drain_limit) {
      std::this_thread::sleep_for(kDrainPollInterval);
    }
  }

  const NodeSettings settings_;
  const InstanceId instance_;
  Metrics metrics_;
  CallerContext context_;
  std::atomic<bool> started_{false};
  std::unique_ptr<PeerHub> hub_;
  std::unique_ptr<BackendExecutor> backend_;
  std::unique_ptr<AdmissionController> admission_;
  std::unique_ptr<ConfigManager> config_;
  std::unique_ptr<HttpListener> callers_;
  std::unique_ptr<HttpListener> operators_;
  TimerService timers_;
  std::vector<TimerId> subscriptions_;
};

Node::Node(NodeSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

Node::~Node() = default;

Status Node::Start() { return impl_->Start(); }

void Node::Drain() { impl_->Drain(); }

std::string Node::caller_address() const { return impl_->caller_address(); }

std::string Node::peer_address() const { return impl_->peer_address(); }

std::string Node::operator_address() const { return impl_->operator_address(); }

}  // namespace wisteriarill
