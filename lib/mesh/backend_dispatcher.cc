#include "wisteriarill/mesh/backend_dispatcher.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// Idle time after which a connection is not used again, unless the server
/// announces its own.
constexpr milliseconds kMostIdle{4000};
constexpr milliseconds kConnectTimeout{300};
constexpr milliseconds kHealthTimeout{250};
/// Pause between questions to a server that is away.
constexpr milliseconds kHealthPause{150};
/// Answers to other requests that are skipped before one's own.
constexpr int kMostStrayAnswers = 3;
constexpr int kMisdirected = 421;
constexpr milliseconds kAwayRetry{300};
/// A server that breaks single answers is asked no more often than this.
constexpr milliseconds kVerifyPause{500};

AttemptResult NotRun(std::string reason, bool arrived) {
  AttemptResult result;
  result.outcome = AttemptOutcome::kNotRun;
  result.reason = std::move(reason);
  result.reached_server = arrived;
  return result;
}

AttemptResult Ended(AttemptOutcome end, std::string reason) {
  AttemptResult result;
  result.outcome = end;
  result.reason = std::move(reason);
  result.reached_server = true;
  return result;
}

}  // namespace

// A place at the gate, given back when the server has answered or the attempt
// ends, whichever comes first.
class BackendDispatcher::Turn {
 public:
  explicit Turn(BackendDispatcher* port) : port_(port), began_(BootClock::now()) {}
  ~Turn() { GiveBack(microseconds(0)); }
  Turn(const Turn&) = delete;
  Turn& operator=(const Turn&) = delete;

  /// The server is done with the call once its answer begins: a reader that
  /// takes a long answer slowly occupies no slot.
  microseconds OnAnswer() {
    const auto ran =
        std::chrono::duration_cast<microseconds>(BootClock::now() - began_);
    GiveBack(ran);
    return ran;
  }

 private:
  void GiveBack(microseconds ran) {
    if (std::exchange(given_back_, true)) return;
    const Instant now = BootClock::now();
    port_->gate_.OnCallFinished(ran, now);
    port_->AdmitWaiting(now);
  }

  BackendDispatcher* port_;
  Instant began_;
  bool given_back_ = false;
};

BackendDispatcher::BackendDispatcher(asio::io_context* loop, const ProxySettings& settings,
                         const PlatformFieldNames& dialect, const DispatchCheck* check,
                         Metrics* metrics)
    : loop_(loop),
      settings_(settings),
      dialect_(dialect),
      check_(check),
      metrics_(metrics),
      pool_(loop, ParseEndpoint(settings.backend).value(), kMostIdle),
      link_(settings.link_mbps) {}

BackendLoad BackendDispatcher::load(Instant now) const {
  BackendLoad load = gate_.load(now);
  load.link_delay = link_.QueueDelay(now);
  return load;
}

void BackendDispatcher::OnEntry(const BackendEntry* entry, const MeshService* service,
                          Instant now) {
  if (service != nullptr) health_path_ = service->health_path;
  if (entry == nullptr || entry->service != settings_.service) return;
  BackendAdmissionOptions options;
  options.slots = std::max(1U, entry->slots);
  if (service != nullptr && service->cold_rate > 0) {
    options.cold_rate = service->cold_rate;
  }
  gate_.Configure(options);
  if (entry->revision <= entry_revision_) return;
  entry_revision_ = entry->revision;
  if (entry->cold_remaining.count() > 0) gate_.SetColdUntil(now + entry->cold_remaining);
  if (registered_ == entry->instance) return;
  registered_ = entry->instance;
  if (instance_ == registered_) return;
  LogEvent(LogLevel::kInfo, "backend_instance")
      .With("instance", registered_)
      .With("before", instance_)
      .With("revision", entry->revision)
      .With("cold_ms", entry->cold_remaining.count());
  instance_ = registered_;
  pool_.Clear();
  Verify();
}

void BackendDispatcher::Verify() {
  if (verifying_ || health_path_.empty()) return;
  verifying_ = true;
  verified_ = BootClock::now();
  gate_.SetPaused(true);
  asio::co_spawn(*loop_, AskHealth(), asio::detached);
}

void BackendDispatcher::OnTick(Instant now) { AdmitWaiting(now); }

Task<void> BackendDispatcher::AskHealth() {
  // GCC 12 miscompiles an awaited call in a loop's condition.
  for (;;) {
    const bool answered = co_await AskHealthOnce();
    if (answered) break;
    if (!std::exchange(away_, true)) {
      LogEvent(LogLevel::kWarning, "backend_lost").With("instance", instance_);
    }
    co_await SleepFor(kHealthPause);
  }
  if (std::exchange(away_, false)) {
    LogEvent(LogLevel::kInfo, "backend_regained").With("instance", instance_);
  }
  verifying_ = false;
  gate_.SetPaused(false);
  AdmitWaiting(BootClock::now());
}

Task<bool> BackendDispatcher::AskHealthOnce() {
  const std::shared_ptr<ClientConnection> connection = pool_.CreateConnection();
  const Status connected = co_await connection->Connect(kHealthTimeout);
  if (!connected) co_return false;
  metrics_->Add("wisteria_health_questions");
  HttpRequest request;
  request.method = "GET";
  request.target = health_path_;
  request.fields.push_back({"Host", settings_.backend});
  const Status sent = co_await connection->Send(SerializeRequestHead(request),
                                                &request.body, kHealthTimeout);
  if (!sent) co_return true;
  const Result<HttpResponseHead> head =
      co_await connection->ReadHead(kHealthTimeout);
  // A server that takes connections but is slow to answer is used as it is.
  if (head) OnHealth(head.value());
  connection->Close();
  co_return true;
}

void BackendDispatcher::OnHealth(const HttpResponseHead& head) {
  const std::string* cold = FindField(head.fields, dialect_.cold_remaining);
  const std::uint64_t cold_ms =
      cold == nullptr ? 0 : ParseDecimal(*cold).value_or(0);
  const Instant now = BootClock::now();
  if (cold != nullptr) gate_.SetColdUntil(now + milliseconds(cold_ms));
  const std::string* instance = FindField(head.fields, dialect_.instance);
  LogEvent(LogLevel::kInfo, "backend_health")
      .With("status", head.status)
      .With("instance", instance == nullptr ? "" : *instance)
      .With("cold_ms", cold_ms);
  // Another server may have the address by now; only a registered one counts.
  if (instance != nullptr && *instance == registered_) instance_ = *instance;
}

void BackendDispatcher::AdmitWaiting(Instant now) {
  for (const BackendAdmissionTicket ticket : gate_.TakeAdmitted(now)) {
    const auto waiting = waiting_.find(ticket);
    if (waiting == waiting_.end()) {
      gate_.OnCallFinished(microseconds(0), now);
      continue;
    }
    asio::steady_timer* timer = waiting->second;
    waiting_.erase(waiting);
    timer->cancel();
  }
}

Task<bool> BackendDispatcher::AwaitAdmission(BackendAdmissionTicket ticket, const MeshCall& call,
                                       ServerExchange* sink) {
  asio::steady_timer timer(*loop_, RemainingTime(call.start_deadline));
  waiting_[ticket] = &timer;
  sink->OnDisconnect([&timer] { timer.cancel(); });
  error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  sink->OnDisconnect(nullptr);
  // AdmitWaiting takes the ticket off the list before it wakes the call.
  if (!waiting_.contains(ticket)) co_return true;
  waiting_.erase(ticket);
  gate_.CancelQueued(ticket);
  co_return false;
}

Task<AttemptResult> BackendDispatcher::WaitForTurn(const MeshCall& call,
                                             ServerExchange* sink) {
  const Instant now = BootClock::now();
  if (away_) {
    AttemptResult away = NotRun("backend-away", false);
    away.retry_after = kAwayRetry;
    co_return away;
  }
  const BackendAdmissionTicket ticket{++last_ticket_};
  const BackendAdmissionDecision verdict =
      gate_.TryAdmit(ticket, {call.urgency, call.start_deadline}, now);
  if (verdict == BackendAdmissionDecision::kAdmit) {
    co_return Ended(AttemptOutcome::kDelivered, "turn");
  }
  AttemptResult full = NotRun(kBackendFullReason, false);
  full.retry_after = std::chrono::duration_cast<milliseconds>(
      gate_.ExpectedWait(call.urgency, now));
  if (verdict == BackendAdmissionDecision::kReject) co_return full;
  if (co_await AwaitAdmission(ticket, call, sink)) {
    co_return Ended(AttemptOutcome::kDelivered, "turn");
  }
  if (sink->client_disconnected()) {
    full.outcome = AttemptOutcome::kClientDisconnected;
    full.reason = "reader-left";
  }
  co_return full;
}

Task<AttemptResult> BackendDispatcher::Run(const MeshCall& call, ServerExchange* sink,
                                     const RelayOptions& relay) {
  std::string refusal = check_->DispatchRefusalReason(call);
  if (!refusal.empty()) co_return NotRun(std::move(refusal), false);
  if (call.instance != instance_) co_return NotRun("other-instance", false);
  const AttemptResult turn = co_await WaitForTurn(call, sink);
  if (turn.outcome != AttemptOutcome::kDelivered) co_return turn;
  co_return co_await Exchange(call, sink, relay);
}

Task<AttemptResult> BackendDispatcher::Exchange(const MeshCall& call,
                                          ServerExchange* sink,
                                          const RelayOptions& relay) {
  Turn turn(this);
  // Time may have passed at the gate.
  std::string refusal = check_->DispatchRefusalReason(call);
  if (!refusal.empty()) co_return NotRun(std::move(refusal), false);
  if (call.instance != instance_) co_return NotRun("other-instance", false);
  if (call.deadline <= BootClock::now()) {
    co_return NotRun("deadline-passed", false);
  }
  std::shared_ptr<ClientConnection> connection = pool_.Take(BootClock::now());
  if (!connection->has_sent_request()) {
    const Status connected = co_await connection->Connect(kConnectTimeout);
    if (!connected) {
      Verify();
      co_return NotRun("no-connection", false);
    }
  }
  if (sink->CheckDisconnected()) {
    AttemptResult gone = NotRun("reader-left", false);
    gone.outcome = AttemptOutcome::kClientDisconnected;
    co_return gone;
  }
  sink->OnDisconnect([connection] { connection->Close(); });
  AttemptResult result =
      co_await Converse(call, sink, relay, connection, &turn);
  sink->OnDisconnect(nullptr);
  const bool broke =
      result.outcome == AttemptOutcome::kUnknown || result.outcome == AttemptOutcome::kTruncated;
  const Instant now = BootClock::now();
  if (broke && now >= verified_ + kVerifyPause) Verify();
  pool_.Return(std::move(connection), BootClock::now());
  co_return result;
}

HttpRequest BackendDispatcher::MakeRequest(const MeshCall& call) const {
  HttpRequest request;
  request.method = call.request.method;
  request.target = call.request.target;
  request.fields = call.request.fields;
  const milliseconds left =
      std::chrono::duration_cast<milliseconds>(RemainingTime(call.deadline));
  SetField(&request.fields, dialect_.request_id, call.id);
  SetField(&request.fields, dialect_.deadline, std::to_string(left.count()));
  SetField(&request.fields, dialect_.expected_instance, call.instance);
  SetField(&request.fields, dialect_.caller, call.caller);
  EraseField(&request.fields, dialect_.workspace);
  if (!call.workspace.empty()) {
    SetField(&request.fields, dialect_.workspace, call.workspace);
  }
  return request;
}

Task<Result<HttpResponseHead>> BackendDispatcher::ReadOwnAnswer(
    const MeshCall& call, ClientConnection* connection) {
  for (int i = 0; i < kMostStrayAnswers; ++i) {
    Result<HttpResponseHead> head =
        co_await connection->ReadHead(RemainingTime(call.deadline));
    if (!head) co_return head.error();
    const std::string* id = FindField(head.value().fields, dialect_.request_id);
    if (id == nullptr || *id == call.id) co_return head;
    metrics_->Add("wisteria_stray_answers");
    std::string skipped(4096, '\0');
    for (;;) {
      const Result<std::size_t> read = co_await connection->ReadBody(
          skipped.data(), skipped.size(), RemainingTime(call.deadline));
      if (!read) co_return read.error();
      if (read.value() == 0) break;
    }
  }
  connection->Close();
  co_return MakeError(ErrorKind::kBroken, "only answers to other requests came",
                      "see what the backend server sends");
}

Task<AttemptResult> BackendDispatcher::Converse(
    const MeshCall& call, ServerExchange* sink, const RelayOptions& relay,
    std::shared_ptr<ClientConnection> connection, Turn* turn) {
  HttpRequest request = MakeRequest(call);
  std::string text =
      SerializeRequestHead({request.method, request.target,
                       std::move(request.fields), call.request.body});
  const Status sent = co_await connection->Send(
      std::move(text), &call.request.body, RemainingTime(call.deadline));
  // A server may answer before it has read a long body, so read either way.
  if (!sent && sink->client_disconnected()) co_return Ended(AttemptOutcome::kClientDisconnected, "reader-left");
  if (!sent) co_return Ended(AttemptOutcome::kUnknown, "not-sent-whole");
  Result<HttpResponseHead> read = co_await ReadOwnAnswer(call, connection.get());
  if (!read) {
    if (sink->client_disconnected()) co_return Ended(AttemptOutcome::kClientDisconnected, "reader-left");
    const bool late = call.deadline <= BootClock::now();
    co_return Ended(late ? AttemptOutcome::kDeadlinePassed : AttemptOutcome::kUnknown,
                    late ? "deadline-passed" : "no-answer");
  }
  const microseconds ran = turn->OnAnswer();
  HttpResponseHead& head = read.value();
  const bool refused = head.status == kMisdirected ||
                       FindField(head.fields, dialect_.not_run) != nullptr;
  if (refused) {
    // A server that refuses many calls would need a new connection for each.
    co_await DrainResponse(connection.get());
    co_return JudgeRefusal(head);
  }
  const bool encoded = FindField(head.fields, "Content-Encoding") != nullptr;
  const bool success = head.status >= 200 && head.status < 300;
  const bool own = FindField(head.fields, dialect_.signature) != nullptr &&
                   FindField(head.fields, dialect_.request_id) != nullptr;
  if (encoded || (success && !own)) {
    connection->Close();
    co_return Ended(AttemptOutcome::kUnknown, "foreign-answer");
  }
  if (call.retry_on_failure && head.status >= 500) {
    co_await DrainResponse(connection.get());
    AttemptResult failed = Ended(AttemptOutcome::kFailed, "server-failure");
    failed.status = head.status;
    co_return failed;
  }
  EraseHopByHopFields(&head.fields);
  EraseField(&head.fields, dialect_.load);
  EraseField(&head.fields, kHopRan);
  if (relay.link_pacer != nullptr) {
    head.fields.push_back({kHopRan, std::to_string(ran.count())});
  }
  AttemptResult relayed = co_await RelayResponse(
      connection.get(), std::move(head), sink, relay, call.deadline);
  relayed.service_time = ran;
  co_return relayed;
}

AttemptResult BackendDispatcher::JudgeRefusal(const HttpResponseHead& head) {
  if (head.status == kMisdirected) {
    Verify();
    return NotRun("other-instance", false);
  }
  return NotRun("server-refused", true);
}

}  // namespace wisteriarill
