/// \file
/// The backend duty's thread: what becomes of calls.
#include "wisteriarill/process/backend_executor.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kEvents = 16384;
constexpr nanoseconds kWait = milliseconds(20);
// Ids are remembered beyond their deadline for messages that come late.
constexpr microseconds kRetention = seconds(30);
constexpr nanoseconds kAnswerKept = seconds(3);
constexpr std::uint32_t kMostWorkers = 512;

GateOptions InitialGate(const NodeSettings& settings) {
  GateOptions options;
  options.enabled = settings.gate_enabled;
  return options;
}

}  // namespace

BackendExecutor::BackendExecutor(const NodeSettings& settings, InstanceId instance,
                         PeerHub* hub, Metrics* metrics)
    : settings_(settings),
      instance_(instance),
      hub_(hub),
      metrics_(metrics),
      gate_(InitialGate(settings), BootClock::now()),
      ledger_(kRetention),
      events_(kEvents),
      work_(kEvents) {}

BackendExecutor::~BackendExecutor() {
  events_.Close();
  work_.Close();
  if (thread_.joinable()) thread_.join();
  for (const auto& [id, call] : served_) call->answer->Cancel();
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
    std::optional<Event> event = events_.PopFor(kWait);
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
    gate_.OnTick(now);
    ledger_.OnTick(now);
    ForgetOldAnswers(now);
  }
  Flush(now);
  PublishView(now);
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
  } else if (const auto* ack = std::get_if<ResultAck>(&event.message)) {
    const auto found = served_.find(ack->id);
    if (found != served_.end() && found->second->settled) {
      served_.erase(found);
    }
  } else if (const auto* credit = std::get_if<AnswerCredit>(&event.message)) {
    const auto found = served_.find(credit->id);
    if (found != served_.end()) {
      found->second->answer->OnCredit(credit->received);
    }
  }
}

Refusal BackendExecutor::CheckStart(const CallStart& start, Instant now) const {
  if (start.target != instance_) return Refusal::kWrongInstance;
  if (snapshot_ == nullptr) return Refusal::kNotReady;
  if (start.remaining <= microseconds::zero()) return Refusal::kDeadline;
  const bool behind = snapshot_->version() < start.version;
  const auto service = snapshot_->FindService(start.service);
  const bool known = service.has_value() &&
                     (start.workspace.empty() ||
                      snapshot_->FindWorkspace(start.workspace).has_value());
  if (!known) return behind ? Refusal::kStaleConfiguration : Refusal::kNoServer;
  const auto self = snapshot_->FindServer(settings_.name);
  if (!self.has_value()) return behind ? Refusal::kStaleConfiguration : Refusal::kLeaving;
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
  if (!ledger_.Add(id, deadline, now)) {
    const bool not_run = ledger_.Find(id) == CallState::kNotRun;
    SendRefusal(link, id, not_run ? Outcome::kNotRun : Outcome::kUnknown,
                Refusal::kDuplicate, now);
    return;
  }
  if (refusal != Refusal::kNone) {
    ledger_.DeclareNotRun(id, now);
    SendRefusal(link, id, Outcome::kNotRun, refusal, now);
    return;
  }
  auto call = std::make_shared<ServedCall>();
  call->deadline = deadline;
  call->mailbox = hub_->served_calls().Add(id);
  call->mailbox->SetLink(link);
  call->answer = std::make_unique<AnswerStream>(
      id, link, [this](LinkId to, const PeerMessage& message) {
        return hub_->Send({to, {}}, message);
      });
  const GateCall offer{id, start.workspace, start.call_class, start.depth,
                       deadline};
  call->start = std::move(start);
  served_[id] = std::move(call);
  ++unfinished_;
  gate_.OnOffer(offer, now);
}

void BackendExecutor::SendRefusal(LinkId link, const RequestId& id, Outcome outcome,
                              Refusal refusal, Instant now) {
  AnswerStart answer;
  answer.id = id;
  answer.outcome = outcome;
  answer.refusal = refusal;
  answer.body_length = 0;
  answer.load = Load(now);
  hub_->Send({link, {}}, answer);
}

// Settles a call that the gate did not let through.
void BackendExecutor::Refuse(const RequestId& id, Refusal refusal, Instant now) {
  const auto found = served_.find(id);
  if (found == served_.end()) return;
  const bool not_run = ledger_.DeclareNotRun(id, now);
  SendRefusal(found->second->answer->link(), id,
              not_run ? Outcome::kNotRun : Outcome::kUnknown, refusal, now);
  hub_->served_calls().Remove(id);
  served_.erase(found);
  --unfinished_;
}

void BackendExecutor::OnCancel(const RequestId& id, Instant now) {
  const auto found = served_.find(id);
  if (found == served_.end()) return;
  if (gate_.OnCancelled(id)) {
    Refuse(id, Refusal::kDeadline, now);
    return;
  }
  found->second->answer->Cancel();
  BackendClient* client = found->second->client.load();
  if (client != nullptr) client->Abort();
}

void BackendExecutor::OnQuery(LinkId link, const ResultQuery& query, Instant now) {
  const auto found = served_.find(query.id);
  if (found != served_.end()) {
    found->second->mailbox->SetLink(link);
    found->second->answer->Rebind(link, query.has_start, query.received);
    return;
  }
  // From here on the call will not run, if it has not.
  const bool not_run = ledger_.DeclareNotRun(query.id, now);
  SendRefusal(link, query.id, not_run ? Outcome::kNotRun : Outcome::kUnknown,
              Refusal::kNoAnswer, now);
}

void BackendExecutor::OnFinished(const FinishedEvent& event, Instant now) {
  gate_.OnFinished(event.id, event.end.result, event.latency,
                   event.end.instance, now);
  const bool ran =
      event.end.handed_over && event.end.result != BackendResult::kShed;
  if (ran) {
    ledger_.Finish(event.id);
  } else {
    ledger_.ConfirmNotRun(event.id);
  }
  {
    const std::lock_guard lock(running_mutex_);
    running_.erase(event.id);
  }
  hub_->served_calls().Remove(event.id);
  --unfinished_;
  const auto found = served_.find(event.id);
  if (found == served_.end()) return;
  found->second->settled = true;
  if (found->second->answer->cancelled()) served_.erase(found);
}

void BackendExecutor::ApplySnapshot(std::shared_ptr<const Snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  const auto self = snapshot_->FindServer(settings_.name);
  if (!self.has_value()) {
    gate_.Close(Refusal::kLeaving);
    return;
  }
  const Server& server = snapshot_->server(*self);
  const Service& service = snapshot_->service(server.service);
  GateOptions options;
  options.slots = service.slots;
  options.cold_slots = service.cold_slots;
  options.warmup = service.warmup;
  options.enabled = settings_.gate_enabled;
  gate_.Configure(options);
  GrowWorkers(settings_.gate_enabled ? service.slots : kMostWorkers);
  if (snapshot_->failure_domain(server.domain).in_service) {
    gate_.Open();
  } else {
    gate_.Close(Refusal::kFailureDomainOut);
  }
}

void BackendExecutor::GrowWorkers(std::uint32_t count) {
  count = std::min(count, kMostWorkers);
  while (workers_.size() < count) {
    workers_.emplace_back([this] { RunWorker(); });
  }
}

void BackendExecutor::Flush(Instant now) {
  for (const GateAction& action : gate_.TakeActions()) {
    if (!action.admitted) {
      Refuse(action.id, action.refusal, now);
      continue;
    }
    const auto found = served_.find(action.id);
    if (found == served_.end()) continue;
    const ServedPtr& call = found->second;
    call->running = true;
    ledger_.HandOver(action.id);
    {
      const std::lock_guard lock(running_mutex_);
      running_[action.id] = {call->start.workspace, call->start.depth,
                             call->deadline};
    }
    work_.TryPush(call);
  }
}

void BackendExecutor::ForgetOldAnswers(Instant now) {
  std::erase_if(served_, [&](const auto& entry) {
    return entry.second->settled && now - entry.second->deadline > kAnswerKept;
  });
}

LoadReport BackendExecutor::Load(Instant now) const {
  LoadReport report = gate_.load(now);
  report.leaving = report.leaving || leaving_.load();
  return report;
}

std::optional<ParentCall> BackendExecutor::FindRunning(const RequestId& id) const {
  const std::lock_guard lock(running_mutex_);
  const auto found = running_.find(id);
  if (found == running_.end()) return std::nullopt;
  return found->second;
}

void BackendExecutor::PublishView(Instant now) {
  const std::lock_guard lock(running_mutex_);
  view_ =
      BackendStatus{Load(now), gate_.cold_starts(), ledger_.size(), served_.size()};
}

BackendStatus BackendExecutor::status() const {
  const std::lock_guard lock(running_mutex_);
  return view_;
}

}  // namespace wisteriarill
