#include "wisteriarill/process/admission_controller.h"

#include <utility>

#include "wisteriarill/process/log.h"
#include "wisteriarill/process/leasing_rate_limiter.h"
#include "wisteriarill/process/static_split_rate_limiter.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kEvents = 16384;
// Calls that wait for a token need time-outs soon; else nothing is urgent.
constexpr nanoseconds kBusyWait = milliseconds(5);
constexpr nanoseconds kIdleWait = milliseconds(20);
// A decision that took longer was interrupted by a pause of the process; what
// it checked may no longer hold.
constexpr nanoseconds kLongestDecision = milliseconds(100);

RateShardOwnerOptions HomeOptions(const NodeSettings& settings) {
  RateShardOwnerOptions options;
  options.confirmation_timeout = settings.confirmation_timeout;
  if (settings.rate_policy == RatePolicy::kOneHome) {
    options.parts.max_shards = 1;
  }
  return options;
}

std::unique_ptr<RateLimiter> MakeRates(const NodeSettings& settings) {
  if (settings.rate_policy == RatePolicy::kStaticSplit) {
    return std::make_unique<StaticSplitRateLimiter>();
  }
  LeasingRateLimiterOptions options;
  options.parts = HomeOptions(settings).parts;
  return std::make_unique<LeasingRateLimiter>(options, settings.name);
}

std::unique_ptr<RouteChooser> MakeChooser(const NodeSettings& settings,
                                          InstanceId instance) {
  if (settings.route_policy == RoutePolicy::kRoundRobin) {
    return std::make_unique<RoundRobinChooser>();
  }
  return std::make_unique<PowerOfTwoLoadBalancer>(LoadChooserOptions(), settings.name,
                                       instance.value);
}

AdmissionResult Refused(Refusal refusal) { return AdmissionResult{refusal, {}, {}}; }

}  // namespace

void AdmissionSlot::Set(AdmissionResult admission) {
  {
    const std::lock_guard lock(mutex_);
    admission_ = std::move(admission);
  }
  ready_.notify_one();
}

std::optional<AdmissionResult> AdmissionSlot::WaitFor(nanoseconds timeout) {
  std::unique_lock lock(mutex_);
  ready_.wait_for(lock, timeout, [this] { return admission_.has_value(); });
  return admission_;
}

AdmissionController::AdmissionController(const NodeSettings& settings, InstanceId instance,
                             std::string address, Sender send, Metrics* metrics)
    : self_(settings.name),
      address_(std::move(address)),
      send_(std::move(send)),
      metrics_(metrics),
      homes_(settings.rate_policy != RatePolicy::kStaticSplit),
      rates_(MakeRates(settings)),
      home_(HomeOptions(settings), settings.name, BootClock::now()),
      probe_(settings.name, instance.value),
      chooser_(MakeChooser(settings, instance)),
      events_(kEvents) {}

AdmissionController::~AdmissionController() {
  events_.Close();
  if (thread_.joinable()) thread_.join();
}

void AdmissionController::Start() {
  thread_ = std::thread([this] { Run(); });
}

AdmissionResult AdmissionController::Ask(Event event,
                             const std::shared_ptr<AdmissionSlot>& slot,
                             nanoseconds timeout) {
  if (!events_.TryPush(std::move(event))) return Refused(Refusal::kOverload);
  return slot->WaitFor(timeout).value_or(Refused(Refusal::kDeadline));
}

AdmissionResult AdmissionController::Admit(const std::string& workspace,
                               const std::string& service,
                               nanoseconds timeout) {
  auto slot = std::make_shared<AdmissionSlot>();
  return Ask(EnterEvent{workspace, service, slot}, slot, timeout);
}

AdmissionResult AdmissionController::Retry(const std::string& service,
                               std::set<std::string> tried,
                               nanoseconds timeout) {
  auto slot = std::make_shared<AdmissionSlot>();
  return Ask(RetryEvent{service, std::move(tried), slot}, slot, timeout);
}

void AdmissionController::OnAttemptEnded(const std::string& server,
                                   const LoadReport* load, bool silent) {
  EndedEvent event{server, {}, silent};
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
  events_.TryPush(VmEvent{std::move(leaving)});
}

void AdmissionController::OnConfigView(const ConfigView& view) {
  if (view.snapshot == nullptr) return;
  const ViewEvent event{view.snapshot->version(), view.confirmed_at,
                        view.published_at};
  {
    const std::lock_guard lock(view_mutex_);
    const bool same = event.version == last_view_.version &&
                      event.confirmed_at == last_view_.confirmed_at &&
                      event.published_at == last_view_.published_at;
    if (same) return;
    last_view_ = event;
  }
  events_.TryPush(event);
}

void AdmissionController::OnTick() { events_.TryPush(TickEvent{}); }

void AdmissionController::Run() {
  while (!events_.closed()) {
    std::optional<Event> event =
        events_.PopFor(waiting_.empty() ? kIdleWait : kBusyWait);
    Handle(event.has_value() ? std::move(*event) : Event(TickEvent{}));
  }
}

void AdmissionController::Handle(Event event) {
  const Instant now = BootClock::now();
  if (auto* enter = std::get_if<EnterEvent>(&event)) {
    Enter(*enter, now);
  } else if (auto* retry = std::get_if<RetryEvent>(&event)) {
    Retry(*retry, now);
  } else if (auto* ended = std::get_if<EndedEvent>(&event)) {
    const LoadReport* load = ended->load.has_value() ? &*ended->load : nullptr;
    chooser_->OnEnded(ended->server, load, now);
    if (ended->silent) chooser_->OnSilent(ended->server, now);
  } else if (auto* peer = std::get_if<PeerEvent>(&event)) {
    HandlePeer(*peer, now);
  } else if (auto* snapshot = std::get_if<SnapshotEvent>(&event)) {
    snapshot_ = snapshot->snapshot;
    if (homes_) home_.OnSnapshot(snapshot_, now);
    part_count_ = home_.shard_count();
    rates_->OnSnapshot(snapshot_, now);
    chooser_->OnSnapshot(snapshot_);
  } else if (auto* vms = std::get_if<VmEvent>(&event)) {
    chooser_->OnVmView(vms->leaving);
  } else if (auto* view = std::get_if<ViewEvent>(&event)) {
    if (snapshot_ != nullptr && snapshot_->version() == view->version) {
      if (view->confirmed_at != kNever) home_.OnVersionConfirmed(view->confirmed_at);
      if (view->published_at != kNever) {
        home_.OnVersionPublished(view->version, view->published_at, now);
      }
    }
  } else {
    rates_->OnTick(now);
    if (now >= next_probe_) SendProbes(now);
  }
  Flush(now);
}

void AdmissionController::HandlePeer(const PeerEvent& event, Instant now) {
  const PeerMessage& message = event.message;
  if (const auto* ask = std::get_if<TokenLeaseRequest>(&message)) {
    const TokenLeaseReply answer = home_.OnTokenRequest(*ask, now);
    if (ask->need > 0 || ask->ahead > 0) send_(event.from, answer);
  } else if (const auto* answer = std::get_if<TokenLeaseReply>(&message)) {
    rates_->OnAnswer(*answer, now);
  } else if (const auto* claim = std::get_if<ShardClaim>(&message)) {
    const auto release = home_.OnClaim(*claim, now);
    if (release.has_value()) send_(event.from, *release);
  } else if (const auto* release = std::get_if<ShardRelease>(&message)) {
    home_.OnRelease(*release, now);
  } else if (const auto* ask = std::get_if<OwnershipHistoryRequest>(&message)) {
    send_(event.from, home_.AnswerHistory(ask->node, now));
  } else if (const auto* history = std::get_if<OwnershipHistory>(&message)) {
    home_.OnHistory(*history, now);
  } else if (const auto* probe = std::get_if<ProbeRequest>(&message)) {
    if (snapshot_ == nullptr) return;
    const auto id = snapshot_->FindServer(probe->node);
    if (!id.has_value()) return;
    send_({{}, snapshot_->server(*id).node_address},
          ProbeEcho{probe->nonce, snapshot_->version()});
  } else if (const auto* echo = std::get_if<ProbeEcho>(&message)) {
    if (snapshot_ == nullptr) return;
    const auto proof = probe_.OnEcho(*echo, snapshot_->version(), now);
    if (!proof.has_value()) return;
    home_.OnReachabilityProved(proof->probed_at);
    if (proof->majority) home_.OnMajorityReached(now);
  }
}

void AdmissionController::Enter(const EnterEvent& event, Instant now) {
  budget_.OnFirstAttempt();
  if (event.workspace.empty()) {
    Choose(event.service, {}, event.slot.get(), now);
    return;
  }
  const TicketId ticket{++last_ticket_};
  const std::string workspace = event.workspace;
  waiting_[ticket.value] = {event.service, event.slot};
  rates_->RequestToken(workspace, ticket, now);
}

void AdmissionController::Retry(const RetryEvent& event, Instant now) {
  if (!budget_.TryTakeRetry()) {
    metrics_->Add("retries_over_budget");
    event.slot->Set(Refused(Refusal::kNoServer));
    return;
  }
  metrics_->Add("retries");
  Choose(event.service, event.tried, event.slot.get(), now);
}

void AdmissionController::Choose(const std::string& service,
                           const std::set<std::string>& tried,
                           AdmissionSlot* slot, Instant now) {
  std::optional<ChosenServer> choice = chooser_->Choose(service, tried, now);
  if (!choice.has_value()) {
    slot->Set(Refused(Refusal::kNoServer));
    return;
  }
  slot->Set(AdmissionResult{Refusal::kNone, {}, std::move(*choice)});
}

void AdmissionController::Decide(const RateDecision& decision, Instant now) {
  const auto found = waiting_.find(decision.ticket.value);
  if (found == waiting_.end()) return;
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  if (!decision.granted) {
    waiting.slot->Set({Refusal::kOverRate, decision.retry_after, {}});
    return;
  }
  if (BootClock::now() - now > kLongestDecision) {
    // The token may have lapsed while the process was frozen.
    metrics_->Add("tokens_dropped_after_pause");
    waiting.slot->Set(Refused(Refusal::kOverload));
    return;
  }
  Choose(waiting.service, {}, waiting.slot.get(), now);
}

// Carries out what the rates decided; answers of this node's own home may
// lead to further decisions.
void AdmissionController::Flush(Instant now) {
  while (true) {
    const std::vector<RateDecision> decisions = rates_->TakeDecisions();
    for (const RateDecision& decision : decisions) Decide(decision, now);
    std::vector<OutgoingTokenRequest> asks = rates_->TakeRequests();
    if (decisions.empty() && asks.empty()) return;
    for (OutgoingTokenRequest& ask : asks) {
      if (ask.owner != self_) {
        send_({{}, ask.address}, ask.request);
        continue;
      }
      const TokenLeaseReply answer = home_.OnTokenRequest(ask.request, now);
      if (ask.request.need > 0) rates_->OnAnswer(answer, now);
    }
  }
}

void AdmissionController::SendProbes(Instant now) {
  next_probe_ =
      now + (home_.NeedsMajority(now) ? kFastProbeInterval : kProbeInterval);
  if (snapshot_ == nullptr || !homes_) return;
  const auto probes = probe_.StartRound(*snapshot_, now);
  for (const OutgoingProbe& action : probes) {
    send_({{}, action.address}, action.probe);
  }
  if (home_.NeedsHistory(now) && !probes.empty()) {
    send_({{}, probes.back().address},
          OwnershipHistoryRequest{snapshot_->version(), self_});
  }
  for (const OutgoingShardClaim& claim : home_.TakeClaims(now)) {
    send_({{}, claim.address}, claim.claim);
  }
}

}  // namespace wisteriarill
