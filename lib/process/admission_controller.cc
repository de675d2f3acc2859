#include "wisteriarill/process/admission_controller.h"

#include <utility>

#include "wisteriarill/process/leasing_rate_limiter.h"
#include "wisteriarill/process/log.h"
#include "wisteriarill/process/static_split_rate_limiter.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kEventQueueCapacity = 16384;
// While calls wait for a token, their timeouts must be checked soon.
constexpr nanoseconds kPollIntervalWhileCallsWait = milliseconds(5);
constexpr nanoseconds kIdlePollInterval = milliseconds(20);
// A decision that took longer was interrupted by a pause of the process; what
// it was based on may no longer hold.
constexpr nanoseconds kMaxDecisionTime = milliseconds(100);

RateShardOwnerOptions MakeShardOwnerOptions(const NodeSettings& settings) {
  RateShardOwnerOptions options;
  options.confirmation_timeout = settings.confirmation_timeout;
  if (settings.rate_policy == RatePolicy::kOneHome) {
    options.shard_options.max_shards = 1;
  }
  return options;
}

std::unique_ptr<RateLimiter> MakeRateLimiter(const NodeSettings& settings) {
  if (settings.rate_policy == RatePolicy::kStaticSplit) {
    return std::make_unique<StaticSplitRateLimiter>();
  }
  LeasingRateLimiterOptions options;
  options.shard_options = MakeShardOwnerOptions(settings).shard_options;
  return std::make_unique<LeasingRateLimiter>(options, settings.name);
}

std::unique_ptr<LoadBalancer> MakeLoadBalancer(const NodeSettings& settings,
                                               InstanceId instance) {
  if (settings.route_policy == RoutePolicy::kRoundRobin) {
    return std::make_unique<RoundRobinLoadBalancer>();
  }
  return std::make_unique<PowerOfTwoLoadBalancer>(
      PowerOfTwoLoadBalancerOptions(), settings.name, instance.value);
}

AdmissionResult Refused(Refusal refusal) {
  return AdmissionResult{refusal, {}, {}};
}

}  // namespace

void PendingAdmission::Set(AdmissionResult admission) {
  {
    const std::lock_guard lock(mutex_);
    admission_ = std::move(admission);
  }
  ready_.notify_one();
}

std::optional<AdmissionResult> PendingAdmission::WaitFor(nanoseconds timeout) {
  std::unique_lock lock(mutex_);
  ready_.wait_for(lock, timeout, [this] { return admission_.has_value(); });
  return admission_;
}

AdmissionController::AdmissionController(const NodeSettings& settings,
                                         InstanceId instance,
                                         std::string address, Sender send,
                                         Metrics* metrics)
    : self_(settings.name),
      address_(std::move(address)),
      send_(std::move(send)),
      metrics_(metrics),
      owns_shards_(settings.rate_policy != RatePolicy::kStaticSplit),
      rate_limiter_(MakeRateLimiter(settings)),
      shard_owner_(MakeShardOwnerOptions(settings), settings.name,
                   BootClock::now()),
      prober_(settings.name, instance.value),
      load_balancer_(MakeLoadBalancer(settings, instance)),
      events_(kEventQueueCapacity) {}

AdmissionController::~AdmissionController() {
  events_.Close();
  if (thread_.joinable()) thread_.join();
}

void AdmissionController::Start() {
  thread_ = std::thread([this] { Run(); });
}

AdmissionResult AdmissionController::PostAndWait(
    Event event, const std::shared_ptr<PendingAdmission>& pending,
    nanoseconds timeout) {
  if (!events_.TryPush(std::move(event))) return Refused(Refusal::kOverload);
  return pending->WaitFor(timeout).value_or(Refused(Refusal::kDeadline));
}

AdmissionResult AdmissionController::Admit(const std::string& workspace,
                                           const std::string& service,
                                           nanoseconds timeout) {
  auto pending = std::make_shared<PendingAdmission>();
  return PostAndWait(AdmitEvent{workspace, service, false, pending}, pending,
                     timeout);
}

AdmissionResult AdmissionController::AdmitNested(const std::string& service,
                                                 nanoseconds timeout) {
  auto pending = std::make_shared<PendingAdmission>();
  return PostAndWait(AdmitEvent{"", service, true, pending}, pending, timeout);
}

AdmissionResult AdmissionController::Retry(const std::string& service,
                                           std::set<std::string> tried,
                                           nanoseconds timeout) {
  auto pending = std::make_shared<PendingAdmission>();
  return PostAndWait(RetryEvent{service, std::move(tried), pending}, pending,
                     timeout);
}

void AdmissionController::OnAttemptEnded(const std::string& server,
                                         const LoadReport* load,
                                         bool unresponsive) {
  AttemptEndedEvent event{server, {}, unresponsive};
  if (load != nullptr) event.load = *load;
  events_.TryPush(std::move(event));
}

bool AdmissionController::OnPeerMessage(PeerTarget from, PeerMessage message) {
  return events_.TryPush(PeerEvent{std::move(from), std::move(message)});
}

void AdmissionController::OnSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  events_.Push(SnapshotEvent{std::move(snapshot)});
}

void AdmissionController::OnVmsLeaving(std::vector<std::string> leaving) {
  events_.TryPush(VmsLeavingEvent{std::move(leaving)});
}

void AdmissionController::OnConfigView(const ConfigView& view) {
  if (view.snapshot == nullptr) return;
  const ConfigViewEvent event{view.snapshot->version(), view.confirmed_at,
                              view.published_at};
  {
    const std::lock_guard lock(config_view_mutex_);
    const bool same = event.version == last_config_view_.version &&
                      event.confirmed_at == last_config_view_.confirmed_at &&
                      event.published_at == last_config_view_.published_at;
    if (same) return;
    last_config_view_ = event;
  }
  events_.TryPush(event);
}

void AdmissionController::OnTick() { events_.TryPush(TickEvent{}); }

void AdmissionController::Run() {
  while (!events_.closed()) {
    std::optional<Event> event = events_.PopFor(
        waiting_.empty() ? kIdlePollInterval : kPollIntervalWhileCallsWait);
    Handle(event.has_value() ? std::move(*event) : Event(TickEvent{}));
  }
}

void AdmissionController::Handle(Event event) {
  const Instant now = BootClock::now();
  if (auto* admit = std::get_if<AdmitEvent>(&event)) {
    HandleAdmit(*admit, now);
  } else if (auto* retry = std::get_if<RetryEvent>(&event)) {
    HandleRetry(*retry, now);
  } else if (auto* ended = std::get_if<AttemptEndedEvent>(&event)) {
    const LoadReport* load = ended->load.has_value() ? &*ended->load : nullptr;
    load_balancer_->OnEnded(ended->server, load, now);
    if (ended->unresponsive) load_balancer_->OnUnresponsive(ended->server, now);
  } else if (auto* peer = std::get_if<PeerEvent>(&event)) {
    HandlePeer(*peer, now);
  } else if (auto* snapshot = std::get_if<SnapshotEvent>(&event)) {
    snapshot_ = snapshot->snapshot;
    if (owns_shards_) shard_owner_.OnSnapshot(snapshot_, now);
    shard_count_ = shard_owner_.shard_count();
    rate_limiter_->OnSnapshot(snapshot_, now);
    load_balancer_->OnSnapshot(snapshot_);
  } else if (auto* vms = std::get_if<VmsLeavingEvent>(&event)) {
    load_balancer_->SetLeavingVms(vms->leaving);
  } else if (auto* view = std::get_if<ConfigViewEvent>(&event)) {
    if (snapshot_ != nullptr && snapshot_->version() == view->version) {
      if (view->confirmed_at != kNever)
        shard_owner_.OnVersionConfirmed(view->confirmed_at);
      if (view->published_at != kNever) {
        shard_owner_.OnVersionPublished(view->version, view->published_at, now);
      }
    }
  } else {
    rate_limiter_->OnTick(now);
    if (now >= next_probe_at_) SendProbes(now);
  }
  FlushRateLimiter(now);
}

void AdmissionController::HandlePeer(const PeerEvent& event, Instant now) {
  const PeerMessage& message = event.message;
  if (const auto* request = std::get_if<TokenLeaseRequest>(&message)) {
    const TokenLeaseReply reply = shard_owner_.OnTokenRequest(*request, now);
    if (request->need > 0 || request->ahead > 0) send_(event.from, reply);
  } else if (const auto* reply = std::get_if<TokenLeaseReply>(&message)) {
    rate_limiter_->OnTokenReply(*reply, now);
  } else if (const auto* claim = std::get_if<ShardClaim>(&message)) {
    const auto release = shard_owner_.OnClaim(*claim, now);
    if (release.has_value()) send_(event.from, *release);
  } else if (const auto* release = std::get_if<ShardRelease>(&message)) {
    shard_owner_.OnRelease(*release, now);
  } else if (const auto* request =
                 std::get_if<OwnershipHistoryRequest>(&message)) {
    send_(event.from, shard_owner_.AnswerHistory(request->node, now));
  } else if (const auto* history = std::get_if<OwnershipHistory>(&message)) {
    shard_owner_.OnHistory(*history, now);
  } else if (const auto* probe = std::get_if<ProbeRequest>(&message)) {
    if (snapshot_ == nullptr) return;
    const auto id = snapshot_->FindServer(probe->node);
    if (!id.has_value()) return;
    send_({{}, snapshot_->server(*id).node_address},
          ProbeEcho{probe->nonce, snapshot_->version()});
  } else if (const auto* echo = std::get_if<ProbeEcho>(&message)) {
    if (snapshot_ == nullptr) return;
    const auto result = prober_.OnEcho(*echo, snapshot_->version(), now);
    if (!result.has_value()) return;
    shard_owner_.OnReachabilityProved(result->probed_at);
    if (result->majority) shard_owner_.OnMajorityReached(now);
  }
}

void AdmissionController::HandleAdmit(const AdmitEvent& event, Instant now) {
  retry_budget_.OnFirstAttempt();
  if (event.nested) {
    AssignOtherServer(event.service, event.pending.get(), now);
    return;
  }
  if (event.workspace.empty()) {
    AssignServer(event.service, {}, event.pending.get(), now);
    return;
  }
  const TicketId ticket{++last_ticket_id_};
  const std::string workspace = event.workspace;
  waiting_[ticket.value] = {event.service, event.pending};
  rate_limiter_->RequestToken(workspace, ticket, now);
}

void AdmissionController::HandleRetry(const RetryEvent& event, Instant now) {
  if (!retry_budget_.TryTakeRetry()) {
    metrics_->Add("retries_over_budget");
    event.pending->Set(Refused(Refusal::kNoServer));
    return;
  }
  metrics_->Add("retries");
  AssignServer(event.service, event.tried, event.pending.get(), now);
}

void AdmissionController::AssignOtherServer(const std::string& service,
                                            PendingAdmission* pending,
                                            Instant now) {
  std::optional<ChosenServer> other =
      load_balancer_->Choose(service, {self_}, now);
  if (!other.has_value()) {
    AssignServer(service, {}, pending, now);
    return;
  }
  pending->Set(AdmissionResult{Refusal::kNone, {}, std::move(*other)});
}

void AdmissionController::AssignServer(const std::string& service,
                                       const std::set<std::string>& tried,
                                       PendingAdmission* pending, Instant now) {
  std::optional<ChosenServer> choice =
      load_balancer_->Choose(service, tried, now);
  if (!choice.has_value()) {
    pending->Set(Refused(Refusal::kNoServer));
    return;
  }
  pending->Set(AdmissionResult{Refusal::kNone, {}, std::move(*choice)});
}

void AdmissionController::Resolve(const RateDecision& decision, Instant now) {
  const auto found = waiting_.find(decision.ticket.value);
  if (found == waiting_.end()) return;
  const WaitingCall waiting = std::move(found->second);
  waiting_.erase(found);
  if (!decision.granted) {
    waiting.pending->Set({Refusal::kOverRate, decision.retry_after, {}});
    return;
  }
  if (BootClock::now() - now > kMaxDecisionTime) {
    // The token may have expired while the process was frozen.
    metrics_->Add("tokens_dropped_after_pause");
    waiting.pending->Set(Refused(Refusal::kOverload));
    return;
  }
  AssignServer(waiting.service, {}, waiting.pending.get(), now);
}

// Applies the rate limiter's decisions and sends its requests. Replies of this
// node as the owner of a shard may lead to further decisions.
void AdmissionController::FlushRateLimiter(Instant now) {
  while (true) {
    const std::vector<RateDecision> decisions = rate_limiter_->TakeDecisions();
    for (const RateDecision& decision : decisions) Resolve(decision, now);
    std::vector<OutgoingTokenRequest> requests = rate_limiter_->TakeRequests();
    if (decisions.empty() && requests.empty()) return;
    for (OutgoingTokenRequest& request : requests) {
      if (request.owner != self_) {
        send_({{}, request.address}, request.request);
        continue;
      }
      const TokenLeaseReply reply =
          shard_owner_.OnTokenRequest(request.request, now);
      if (request.request.need > 0) rate_limiter_->OnTokenReply(reply, now);
    }
  }
}

void AdmissionController::SendProbes(Instant now) {
  next_probe_at_ = now + (shard_owner_.NeedsMajority(now) ? kFastProbeInterval
                                                          : kProbeInterval);
  if (snapshot_ == nullptr || !owns_shards_) return;
  const auto probes = prober_.StartRound(*snapshot_, now);
  for (const OutgoingProbe& probe : probes) {
    send_({{}, probe.address}, probe.probe);
  }
  if (shard_owner_.NeedsHistory(now) && !probes.empty()) {
    send_({{}, probes.back().address},
          OwnershipHistoryRequest{snapshot_->version(), self_});
  }
  for (const OutgoingShardClaim& claim : shard_owner_.TakeClaims(now)) {
    send_({{}, claim.address}, claim.claim);
  }
}

}  // namespace wisteriarill
