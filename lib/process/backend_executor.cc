/// \file
/// The backend executor's thread, which decides on calls.
#include "wisteriarill/process/backend_executor.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kQueueCapacity = 16384;
constexpr nanoseconds kPollInterval = milliseconds(20);
// Call states are remembered beyond the call's deadline, for messages that
// arrive late.
constexpr microseconds kCallStateRetention = seconds(30);
constexpr nanoseconds kResponseRetention = seconds(3);
constexpr std::uint32_t kMaxWorkers = 512;

ConcurrencyLimiterOptions InitialLimiterOptions(const NodeSettings& settings) {
  ConcurrencyLimiterOptions options;
  options.enabled = settings.gate_enabled;
  return options;
}

}  // namespace

BackendExecutor::BackendExecutor(const NodeSettings& settings,
                                 InstanceId instance, PeerHub* hub,
                                 Metrics* metrics)
    : settings_(settings),
      instance_(instance),
      hub_(hub),
      metrics_(metrics),
      limiter_(InitialLimiterOptions(settings), BootClock::now()),
      call_states_(kCallStateRetention),
      events_(kQueueCapacity),
      work_queue_(kQueueCapacity) {}

BackendExecutor::~BackendExecutor() {
  events_.Close();
  work_queue_.Close();
  if (thread_.joinable()) thread_.join();
  for (const auto& [id, call] : calls_) call->answer->Cancel();
  for (std::thread& worker : workers_) worker.join();
}

void BackendExecutor::Start() {
  thread_ = std::thread([this] { Run(); });
}

bool BackendExecutor::OnPeerMessage(PeerTarget from, PeerMessage message) {
  return events_.TryPush(PeerEvent{std::move(from), std::move(message)});
}

void BackendExecutor::OnSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  events_.Push(SnapshotEvent{std::move(snapshot)});
}

void BackendExecutor::OnTick() { events_.TryPush(TickEvent{}); }

void BackendExecutor::Run() {
  while (!events_.closed()) {
    std::optional<Event> event = events_.PopFor(kPollInterval);
    if (event.has_value()) Handle(std::move(*event));
  }
}

void BackendExecutor::Handle(Event event) {
  const Instant now = BootClock::now();
  if (auto* peer = std::get_if<PeerEvent>(&event)) {
    HandlePeer(std::move(*peer), now);
  } else if (auto* finished = std::get_if<FinishedEvent>(&event)) {
    OnFinished(*finished, now);
  } else if (auto* snapshot = std::get_if<SnapshotEvent>(&event)) {
    ApplySnapshot(std::move(snapshot->snapshot));
  } else {
    limiter_.OnTick(now);
    call_states_.OnTick(now);
    DropOldResponses(now);
  }
  ApplyLimiterDecisions(now);
  PublishStatus(now);
}

void BackendExecutor::HandlePeer(PeerEvent event, Instant now) {
  if (!event.from.link.has_value()) return;
  const LinkId link = *event.from.link;
  if (auto* start = std::get_if<CallStart>(&event.message)) {
    OnStart(link, std::move(*start), now);
  } else if (const auto* cancel = std::get_if<CallCancel>(&event.message)) {
    OnCancel(cancel->id, now);
  } else if (const auto* query = std::get_if<ResultQuery>(&event.message)) {
    OnQuery(link, *query, now);
  } else if (const auto* received = std::get_if<ResultAck>(&event.message)) {
    const auto found = calls_.find(received->id);
    if (found != calls_.end() && found->second->done) {
      calls_.erase(found);
    }
  } else if (const auto* credit = std::get_if<ResponseCredit>(&event.message)) {
    const auto found = calls_.find(credit->id);
    if (found != calls_.end()) {
      found->second->answer->OnCredit(credit->received);
    }
  }
}

Refusal BackendExecutor::CheckStart(const CallStart& start, Instant now) const {
  if (start.target != instance_) return Refusal::kWrongInstance;
  if (snapshot_ == nullptr) return Refusal::kNotReady;
  if (start.remaining <= microseconds::zero()) return Refusal::kDeadline;
  const bool stale = snapshot_->version() < start.version;
  const auto service = snapshot_->FindService(start.service);
  const bool known = service.has_value() &&
                     (start.workspace.empty() ||
                      snapshot_->FindWorkspace(start.workspace).has_value());
  if (!known) return stale ? Refusal::kStaleConfiguration : Refusal::kNoServer;
  const auto self = snapshot_->FindServer(settings_.name);
  if (!self.has_value())
    return stale ? Refusal::kStaleConfiguration : Refusal::kLeaving;
  const Server& server = snapshot_->server(*self);
  if (server.service != *service) return Refusal::kNoServer;
  if (!snapshot_->failure_domain(server.domain).in_service) {
    return Refusal::kFailureDomainOut;
  }
  static_cast<void>(now);
  return Refusal::kNone;
}

void BackendExecutor::OnStart(LinkId link, CallStart start, Instant now) {
  const RequestId id = start.id;
  const Refusal refusal = CheckStart(start, now);
  const Instant deadline = now + start.remaining;
  if (!call_states_.Add(id, deadline, now)) {
    const bool not_run = call_states_.Find(id) == CallState::kNotRun;
    SendRefusal(link, id, not_run ? Outcome::kNotRun : Outcome::kUnknown,
                Refusal::kDuplicate, now);
    return;
  }
  if (refusal != Refusal::kNone) {
    call_states_.DeclareNotRun(id, now);
    SendRefusal(link, id, Outcome::kNotRun, refusal, now);
    return;
  }
  auto call = std::make_shared<ServedCall>();
  call->deadline = deadline;
  call->mailbox = hub_->served_calls().Add(id);
  call->mailbox->SetLink(link);
  call->answer = std::make_unique<ResponseStream>(
      id, link, [this](LinkId to, const PeerMessage& message) {
        return hub_->Send({to, {}}, message);
      });
  const LimiterCall limiter_call{id, start.workspace, start.call_class,
                                 start.depth, deadline};
  call->start = std::move(start);
  calls_[id] = std::move(call);
  ++unfinished_;
  limiter_.Submit(limiter_call, now);
}

void BackendExecutor::SendRefusal(LinkId link, const RequestId& id,
                                  Outcome outcome, Refusal refusal,
                                  Instant now) {
  ResponseStart answer;
  answer.id = id;
  answer.outcome = outcome;
  answer.refusal = refusal;
  answer.body_length = 0;
  answer.load = CurrentLoad(now);
  hub_->Send({link, {}}, answer);
}

// Ends a call that the concurrency limiter refused.
void BackendExecutor::Refuse(const RequestId& id, Refusal refusal,
                             Instant now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const bool not_run = call_states_.DeclareNotRun(id, now);
  SendRefusal(found->second->answer->link(), id,
              not_run ? Outcome::kNotRun : Outcome::kUnknown, refusal, now);
  hub_->served_calls().Remove(id);
  calls_.erase(found);
  --unfinished_;
}

void BackendExecutor::OnCancel(const RequestId& id, Instant now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  if (limiter_.CancelQueued(id)) {
    Refuse(id, Refusal::kDeadline, now);
    return;
  }
  found->second->answer->Cancel();
  BackendClient* client = found->second->client.load();
  if (client != nullptr) client->Abort();
}

void BackendExecutor::OnQuery(LinkId link, const ResultQuery& query,
                              Instant now) {
  const auto found = calls_.find(query.id);
  if (found != calls_.end()) {
    found->second->mailbox->SetLink(link);
    found->second->answer->Rebind(link, query.has_start, query.received);
    return;
  }
  // Declares that the call did not run, unless it was already sent; from here
  // on, it won't run.
  const bool not_run = call_states_.DeclareNotRun(query.id, now);
  SendRefusal(link, query.id, not_run ? Outcome::kNotRun : Outcome::kUnknown,
              Refusal::kNoAnswer, now);
}

void BackendExecutor::OnFinished(const FinishedEvent& event, Instant now) {
  limiter_.OnFinished(event.id, event.end.result, event.latency,
                      event.end.instance, now);
  const bool ran =
      event.end.handed_over && event.end.result != BackendResult::kShed;
  if (ran) {
    call_states_.Finish(event.id);
  } else {
    call_states_.ConfirmNotRun(event.id);
  }
  {
    const std::lock_guard lock(running_mutex_);
    running_.erase(event.id);
  }
  hub_->served_calls().Remove(event.id);
  --unfinished_;
  const auto found = calls_.find(event.id);
  if (found == calls_.end()) return;
  found->second->done = true;
  if (found->second->answer->cancelled()) calls_.erase(found);
}

void BackendExecutor::ApplySnapshot(std::shared_ptr<const Snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  const auto self = snapshot_->FindServer(settings_.name);
  if (!self.has_value()) {
    limiter_.Close(Refusal::kLeaving);
    return;
  }
  const Server& server = snapshot_->server(*self);
  const Service& service = snapshot_->service(server.service);
  ConcurrencyLimiterOptions options;
  options.slots = service.slots;
  options.cold_slots = service.cold_slots;
  options.warmup = service.warmup;
  options.enabled = settings_.gate_enabled;
  limiter_.Configure(options);
  GrowWorkers(settings_.gate_enabled ? service.slots : kMaxWorkers);
  if (snapshot_->failure_domain(server.domain).in_service) {
    limiter_.Open();
  } else {
    limiter_.Close(Refusal::kFailureDomainOut);
  }
}

void BackendExecutor::GrowWorkers(std::uint32_t count) {
  count = std::min(count, kMaxWorkers);
  while (workers_.size() < count) {
    workers_.emplace_back([this] { RunWorker(); });
  }
}

void BackendExecutor::ApplyLimiterDecisions(Instant now) {
  for (const LimiterDecision& decision : limiter_.TakeDecisions()) {
    if (!decision.admitted) {
      Refuse(decision.id, decision.refusal, now);
      continue;
    }
    const auto found = calls_.find(decision.id);
    if (found == calls_.end()) continue;
    const ServedCallPtr& call = found->second;
    call->running = true;
    call_states_.HandOver(decision.id);
    {
      const std::lock_guard lock(running_mutex_);
      running_[decision.id] = {call->start.workspace, call->start.depth,
                               call->deadline};
    }
    work_queue_.TryPush(call);
  }
}

void BackendExecutor::DropOldResponses(Instant now) {
  std::erase_if(calls_, [&](const auto& entry) {
    return entry.second->done &&
           now - entry.second->deadline > kResponseRetention;
  });
}

LoadReport BackendExecutor::CurrentLoad(Instant now) const {
  LoadReport report = limiter_.load(now);
  report.leaving = report.leaving || leaving_.load();
  return report;
}

std::optional<ParentCall> BackendExecutor::FindRunning(
    const RequestId& id) const {
  const std::lock_guard lock(running_mutex_);
  const auto found = running_.find(id);
  if (found == running_.end()) return std::nullopt;
  return found->second;
}

void BackendExecutor::PublishStatus(Instant now) {
  const std::lock_guard lock(running_mutex_);
  status_ = BackendStatus{CurrentLoad(now), limiter_.cold_starts(),
                          call_states_.size(), calls_.size()};
}

BackendStatus BackendExecutor::status() const {
  const std::lock_guard lock(running_mutex_);
  return status_;
}

}  // namespace wisteriarill
