#include "wisteriarill/mesh/peer_request_handler.h"

#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// A body may wait for the link for this part of the time within which its call
/// has to start. The call may have to wait for a slot, too.
constexpr int kLinkWaitDivisor = 2;
constexpr std::string_view kAfterParameter = "?after=";
/// Bytes of a response that the serving node buffers before it sends any. The
/// ingress node buffers more.
constexpr std::size_t kMaxBufferedResponseBytes = 8U << 10;

/// Logs a forwarded call that was not delivered. The caller skips refusals by a
/// full admission queue, because the ingress node logs these with the call.
void LogFailure(const MeshCall& call, const AttemptResult& result,
                Instant received) {
  LogEvent(LogLevel::kInfo, "hop_ended")
      .With("id", call.id)
      .With("end", ToString(result.outcome))
      .With("reason", result.reason)
      .With("server", call.instance)
      .With("ran_ms", ToMillis(BootClock::now() - received));
}

}  // namespace

/// Lists a call for interim responses while it runs.
class PeerRequestHandler::RunningCall {
 public:
  RunningCall(PeerRequestHandler* handler, ServerExchange* exchange)
      : handler_(handler), exchange_(exchange) {
    handler_->next_interim_[exchange_] = BootClock::now() + kInterimInterval;
  }
  ~RunningCall() { handler_->next_interim_.erase(exchange_); }
  RunningCall(const RunningCall&) = delete;
  RunningCall& operator=(const RunningCall&) = delete;

 private:
  PeerRequestHandler* handler_;
  ServerExchange* exchange_;
};

void PeerRequestHandler::OnTick(Instant now) {
  for (auto& [exchange, due] : next_interim_) {
    if (now < due) continue;
    exchange->SendInterimResponse();
    due = now + kInterimInterval;
  }
}

Task<void> PeerRequestHandler::Handle(ServerExchange* exchange) {
  const HttpRequest& request = exchange->request();
  const bool reads_registry = !IsForwardedCall(request) &&
                              request.target.starts_with(kRegistryReplicaPath);
  if (reads_registry) {
    co_return co_await SendRegistryReplica(exchange);
  }
  co_await RunForwardedCall(exchange);
}

BodyDecision PeerRequestHandler::AdmitBody(const HttpFields& fields,
                                           std::uint64_t bytes) {
  const Instant now = BootClock::now();
  LinkAdmission* link = backend_->link_admission();
  const std::optional<nanoseconds> wait =
      link->TryReserve(bytes, MaxStartDelay(fields) / kLinkWaitDivisor, now);
  if (!wait) {
    return MakeBodyRefusal(
        std::chrono::duration_cast<milliseconds>(link->QueueDelay(now)));
  }
  BodyDecision decision;
  decision.wait = *wait;
  return decision;
}

Task<void> PeerRequestHandler::SendRegistryReplica(ServerExchange* exchange) {
  const std::string& target = exchange->request().target;
  const std::size_t position = target.find(kAfterParameter);
  StorePosition after;
  if (position != std::string::npos) {
    const std::string_view text =
        std::string_view(target).substr(position + kAfterParameter.size());
    after = ParseStorePosition(text).value_or(StorePosition());
  }
  if (active_replica_reads_ >= kMaxConcurrentReplicaReads) {
    co_return co_await exchange->SendResponse(503, {}, "busy\n");
  }
  ++active_replica_reads_;
  HttpFields fields;
  fields.push_back({"Content-Type", "application/msgpack"});
  co_await exchange->SendResponse(200, std::move(fields),
                                  EncodeBatch(registry_->MakeBatch(after)));
  --active_replica_reads_;
}

Task<void> PeerRequestHandler::RunForwardedCall(ServerExchange* exchange) {
  const Instant received = exchange->received();
  // The ingress node sent its deadlines with the head. The body may have taken
  // long since.
  std::optional<MeshCall> call =
      ParseForwardRequest(&exchange->request(), exchange->head_received());
  if (!call) {
    co_return co_await exchange->SendResponse(400, {}, "no call of a peer\n");
  }
  if (stop_ && !stop_->AcceptsPeerCall(received, call->deadline)) {
    AttemptResult stopping;
    stopping.outcome = AttemptOutcome::kNotRun;
    stopping.reason = "stopping";
    co_return co_await exchange->SendResponse(503, MakeForwardResult(stopping),
                                              "");
  }
  std::optional<RunningCall> running;
  if (call->wants_interim_responses) running.emplace(this, exchange);
  const RelayOptions relay{kMaxBufferedResponseBytes, backend_->link_pacer()};
  const AttemptResult result = co_await backend_->Run(*call, exchange, relay);
  if (result.outcome == AttemptOutcome::kDelivered ||
      exchange->client_disconnected())
    co_return;
  if (!IsFullReason(result.reason)) LogFailure(*call, result, received);
  if (exchange->response_started()) co_return exchange->AbortResponse();
  co_await exchange->SendResponse(503, MakeForwardResult(result), "");
}

}  // namespace wisteriarill
