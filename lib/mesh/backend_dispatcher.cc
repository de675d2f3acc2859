#include "wisteriarill/mesh/backend_dispatcher.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// Idle time after which a connection is not reused, unless the server
/// announces an idle timeout of its own.
constexpr milliseconds kMaxIdleTime{4000};
constexpr milliseconds kConnectTimeout{300};
/// Maximum number of responses to other requests that are discarded before the
/// response to the current one.
constexpr int kMaxStrayResponses = 3;
/// The server's status for a call to another instance.
constexpr int kStatusMisdirected = 421;
/// Minimum time between health checks started by missing or truncated
/// responses. It limits the checks of a server that fails only some calls.
constexpr milliseconds kMinHealthCheckInterval{500};

}  // namespace

/// Holds a slot of the admission queue. Releases it when the server begins to
/// respond or when the attempt ends, whichever comes first.
class BackendDispatcher::AdmissionSlot {
 public:
  AdmissionSlot(BackendDispatcher* dispatcher, const MeshCall& call)
      : dispatcher_(dispatcher),
        call_id_(call.id),
        route_(call.route),
        is_retry_(call.is_retry),
        began_(BootClock::now()) {
    dispatcher_->running_calls_.OnStarted(call_id_, call.urgency);
    if (is_retry_) ++dispatcher_->running_retries_;
  }
  ~AdmissionSlot() { Release(microseconds(0)); }
  AdmissionSlot(const AdmissionSlot&) = delete;
  AdmissionSlot& operator=(const AdmissionSlot&) = delete;

  /// Releases the slot and returns how long the call ran. The server has
  /// finished the call when its response begins, so a slow client of a long
  /// response must not hold a slot.
  microseconds OnResponseStarted() {
    const auto service_time =
        std::chrono::duration_cast<microseconds>(BootClock::now() - began_);
    Release(service_time);
    return service_time;
  }

 private:
  void Release(microseconds service_time) {
    if (std::exchange(released_, true)) return;
    const Instant now = BootClock::now();
    dispatcher_->running_calls_.OnEnded(call_id_);
    if (is_retry_) --dispatcher_->running_retries_;
    dispatcher_->admission_queue_.OnCallFinished(service_time, now, route_);
    dispatcher_->AdmitWaiting(now);
  }

  BackendDispatcher* dispatcher_;
  const std::string call_id_;
  const std::string route_;
  bool is_retry_;
  Instant began_;
  bool released_ = false;
};

BackendDispatcher::BackendDispatcher(asio::io_context* loop,
                                     const ProxySettings& settings,
                                     const PlatformFieldNames& field_names,
                                     const DispatchCheck* check,
                                     Metrics* metrics)
    : loop_(loop),
      settings_(settings),
      field_names_(field_names),
      dispatch_check_(check),
      metrics_(metrics),
      pool_(loop, ParseEndpoint(settings.backend).value(), kMaxIdleTime),
      link_pacer_(settings.link_mbps),
      link_admission_(settings.link_mbps),
      rate_timer_(*loop) {}

BackendLoad BackendDispatcher::load(Instant now) const {
  BackendLoad load = admission_queue_.load(now);
  load.link_delay = link_pacer_.QueueDelay(now);
  load.receive_delay = link_admission_.QueueDelay(now);
  return load;
}

double BackendDispatcher::RetryFraction() const {
  const std::uint32_t running = admission_queue_.running();
  if (running == 0) return 0;
  return static_cast<double>(running_retries_) / running;
}

void BackendDispatcher::OnRegistryEntry(const BackendEntry* entry,
                                        const MeshService* service,
                                        bool controls_overload, Instant now) {
  if (service != nullptr) health_path_ = service->health_path;
  if (entry == nullptr || entry->service != settings_.service) return;
  BackendAdmissionOptions options;
  options.slots = std::max(1U, entry->slots);
  options.reports_waits = controls_overload;
  if (service != nullptr && service->cold_rate > 0) {
    // The part beyond a multiple of the rate is left for calls that arrive
    // closer together than they were sent.
    options.cold_rate = service->cold_rate * settings_.cold_over;
  }
  admission_queue_.Configure(options);
  if (entry->position <= entry_position_) return;
  entry_position_ = entry->position;
  if (entry->cold_remaining.count() > 0)
    admission_queue_.SetColdUntil(now + entry->cold_remaining);
  OnRegisteredStart(*entry, now);
  if (registered_instance_ == entry->instance) return;
  registered_instance_ = entry->instance;
  if (instance_ == registered_instance_) return;
  LogEvent(LogLevel::kInfo, "backend_instance")
      .With("instance", registered_instance_)
      .With("before", instance_)
      .With("revision", ToString(entry->position))
      .With("cold_ms", entry->cold_remaining.count());
  instance_ = registered_instance_;
  pool_.Clear();
  StartHealthCheck();
}

void BackendDispatcher::OnTick(Instant now) { AdmitWaiting(now); }

std::string BackendDispatcher::RefusalReason(const MeshCall& call) const {
  std::string refusal = dispatch_check_->DispatchRefusalReason(call);
  if (!refusal.empty()) return refusal;
  if (call.instance != instance_) return "other-instance";
  return statements_.leaving() ? kServerLeavingReason : "";
}

Task<AttemptResult> BackendDispatcher::Run(const MeshCall& call,
                                           ServerExchange* sink,
                                           const RelayOptions& relay) {
  std::string refusal = RefusalReason(call);
  if (!refusal.empty()) {
    CountStatedRefusal(refusal);
    co_return MakeNotRunResult(std::move(refusal), false);
  }
  OnToldByPeer(call);
  const AttemptResult admission = co_await WaitForAdmission(call, sink);
  if (admission.outcome != AttemptOutcome::kDelivered) {
    CountStatedRefusal(admission.reason);
    co_return admission;
  }
  co_return co_await RunAdmitted(call, sink, relay);
}

Task<AttemptResult> BackendDispatcher::RunAdmitted(const MeshCall& call,
                                                   ServerExchange* sink,
                                                   const RelayOptions& relay) {
  AdmissionSlot slot(this, call);
  // Check again, because the call may have waited in the admission queue.
  std::string refusal = RefusalReason(call);
  if (!refusal.empty()) co_return MakeNotRunResult(std::move(refusal), false);
  if (call.deadline <= BootClock::now()) {
    co_return MakeNotRunResult("deadline-passed", false);
  }
  std::shared_ptr<ClientConnection> connection = pool_.Take(BootClock::now());
  if (!connection->has_sent_request()) {
    const Status connected = co_await connection->Connect(kConnectTimeout);
    if (!connected) {
      StartHealthCheck();
      co_return MakeNotRunResult("no-connection", false);
    }
  }
  if (sink->CheckDisconnected()) {
    AttemptResult disconnected = MakeNotRunResult("reader-left", false);
    disconnected.outcome = AttemptOutcome::kClientDisconnected;
    co_return disconnected;
  }
  sink->OnDisconnect([connection] { connection->Close(); });
  AttemptResult result =
      co_await ExchangeWithServer(call, sink, relay, connection, &slot);
  sink->OnDisconnect(nullptr);
  const bool broken = result.outcome == AttemptOutcome::kUnknown ||
                      result.outcome == AttemptOutcome::kTruncated;
  const Instant now = BootClock::now();
  if (broken && now >= health_check_began_ + kMinHealthCheckInterval)
    StartHealthCheck();
  pool_.Return(std::move(connection), BootClock::now());
  co_return result;
}

HttpRequest BackendDispatcher::MakeRequest(const MeshCall& call) const {
  HttpRequest request;
  request.method = call.request.method;
  request.target = call.request.target;
  request.fields = call.request.fields;
  const milliseconds remaining =
      std::chrono::duration_cast<milliseconds>(RemainingTime(call.deadline));
  SetField(&request.fields, field_names_.request_id, call.id);
  SetField(&request.fields, field_names_.deadline,
           std::to_string(remaining.count()));
  SetField(&request.fields, field_names_.expected_instance, call.instance);
  SetField(&request.fields, field_names_.caller, call.caller);
  EraseField(&request.fields, field_names_.workspace);
  if (!call.workspace.empty()) {
    SetField(&request.fields, field_names_.workspace, call.workspace);
  }
  return request;
}

Task<Result<HttpResponseHead>> BackendDispatcher::ReadMatchingResponse(
    const MeshCall& call, ClientConnection* connection) {
  for (int i = 0; i < kMaxStrayResponses; ++i) {
    Result<HttpResponseHead> head =
        co_await connection->ReadHead(RemainingTime(call.deadline));
    if (!head) co_return head.error();
    const std::string* id =
        FindField(head.value().fields, field_names_.request_id);
    if (id == nullptr || *id == call.id) co_return head;
    metrics_->Add("wisteria_stray_answers");
    std::string discarded(4096, '\0');
    for (;;) {
      if (BootClock::now() >= call.deadline) connection->Close();
      const Result<std::size_t> read = co_await connection->ReadBody(
          discarded.data(), discarded.size(), RemainingTime(call.deadline));
      if (!read) co_return read.error();
      if (read.value() == 0) break;
    }
  }
  connection->Close();
  co_return MakeError(
      ErrorKind::kBroken,
      "the backend server sent only responses to other requests",
      "check which request id the backend server returns");
}

Task<AttemptResult> BackendDispatcher::ExchangeWithServer(
    const MeshCall& call, ServerExchange* sink, const RelayOptions& relay,
    std::shared_ptr<ClientConnection> connection, AdmissionSlot* slot) {
  HttpRequest request = MakeRequest(call);
  const bool reused = connection->has_sent_request();
  const Instant sent_at = BootClock::now();
  std::string text =
      SerializeRequestHead({request.method, request.target,
                            std::move(request.fields), call.request.body});
  const Status sent = co_await connection->Send(
      std::move(text), &call.request.body, RemainingTime(call.deadline));
  // A server may respond before it has read a long body. That response is lost
  // if the send fails, because a failed send closes the connection.
  if (!sent && sink->client_disconnected())
    co_return MakeResult(AttemptOutcome::kClientDisconnected, "reader-left");
  if (!sent) co_return MakeResult(AttemptOutcome::kUnknown, "not-sent-whole");
  Result<HttpResponseHead> read =
      co_await ReadMatchingResponse(call, connection.get());
  if (!read) {
    if (sink->client_disconnected())
      co_return MakeResult(AttemptOutcome::kClientDisconnected, "reader-left");
    const bool deadline_passed = call.deadline <= BootClock::now();
    co_return MakeResult(deadline_passed ? AttemptOutcome::kDeadlinePassed
                                         : AttemptOutcome::kUnknown,
                         deadline_passed ? "deadline-passed" : "no-answer");
  }
  HttpResponseHead& head = read.value();
  // Without an id, a response on a connection that was used before may be a
  // late copy of an earlier one, and prove nothing about this call.
  const bool has_id =
      FindField(head.fields, field_names_.request_id) != nullptr;
  const bool foreign = !has_id && reused;
  // Before the slot is released, because the next call starts with that.
  if (!foreign && head.status != kStatusMisdirected)
    OnCallReport(head, call, sent_at);
  const microseconds service_time = slot->OnResponseStarted();
  EraseNodeFields(&head.fields);
  const bool refused = head.status == kStatusMisdirected ||
                       FindField(head.fields, field_names_.not_run) != nullptr;
  if (foreign) {
    connection->Close();
    co_return MakeResult(AttemptOutcome::kUnknown, "foreign-answer");
  }
  if (refused) {
    // Read the rest of the response so that the connection can be reused.
    // Otherwise a server that refuses many calls costs a new connection each.
    co_await DrainResponse(connection.get());
    co_return HandleRefusal(head);
  }
  // Before the check for required fields, because `Connection` may name them.
  EraseHopByHopFields(&head.fields);
  const bool encoded = FindField(head.fields, "Content-Encoding") != nullptr;
  const bool successful = head.status >= 200 && head.status < 300;
  const bool has_required_fields =
      FindField(head.fields, field_names_.signature) != nullptr && has_id;
  if (encoded || (successful && !has_required_fields)) {
    connection->Close();
    co_return MakeResult(AttemptOutcome::kUnknown, "foreign-answer");
  }
  if (call.retry_on_failure && head.status >= 500) {
    co_await DrainResponse(connection.get());
    AttemptResult failed =
        MakeResult(AttemptOutcome::kFailed, "server-failure");
    failed.status = head.status;
    co_return failed;
  }
  EraseField(&head.fields, field_names_.load);
  if (relay.link_pacer != nullptr)
    MarkServerResponse(&head.fields, service_time);
  AttemptResult relayed = co_await RelayResponse(
      connection.get(), std::move(head), sink, relay, call.deadline);
  relayed.service_time = service_time;
  co_return relayed;
}

AttemptResult BackendDispatcher::HandleRefusal(const HttpResponseHead& head) {
  if (head.status == kStatusMisdirected) {
    StartHealthCheck();
    return MakeNotRunResult("other-instance", false);
  }
  return MakeNotRunResult("server-refused", true);
}

}  // namespace wisteriarill
