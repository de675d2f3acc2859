#include "wisteriarill/mesh/peer_request_handler.h"

#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr std::string_view kAfter = "?after=";
/// Bytes of an answer that are held back at the serving node. The ingress
/// holds back more.
constexpr std::size_t kHeldAnswer = 8U << 10;

// Refusals for want of room are in the ingress's line of the call.
void LogEnd(const MeshCall& call, const AttemptResult& result,
            Instant received) {
  LogEvent(LogLevel::kInfo, "hop_ended")
      .With("id", call.id)
      .With("end", ToString(result.outcome))
      .With("reason", result.reason)
      .With("server", call.instance)
      .With("ran_ms", ToMillis(BootClock::now() - received));
}

}  // namespace

Task<void> PeerRequestHandler::Handle(ServerExchange* exchange) {
  if (exchange->request().target.starts_with(kMirrorPath)) {
    co_return co_await AnswerMirror(exchange);
  }
  co_await RunCall(exchange);
}

Task<void> PeerRequestHandler::AnswerMirror(ServerExchange* exchange) {
  const std::string& target = exchange->request().target;
  const std::size_t at = target.find(kAfter);
  std::uint64_t after = 0;
  if (at != std::string::npos) {
    const std::string_view digits =
        std::string_view(target).substr(at + kAfter.size());
    after = ParseDecimal(digits).value_or(0);
  }
  if (copies_ >= kMostCopies) {
    co_return co_await exchange->SendResponse(503, {}, "busy\n");
  }
  ++copies_;
  HttpFields fields;
  fields.push_back({"Content-Type", "application/msgpack"});
  co_await exchange->SendResponse(200, std::move(fields),
                            EncodeBatch(registry_->MakeCompleteBatch(after)));
  --copies_;
}

Task<void> PeerRequestHandler::RunCall(ServerExchange* exchange) {
  const Instant received = exchange->received();
  std::optional<MeshCall> call =
      ParseHopRequest(&exchange->request(), received);
  if (!call) {
    co_return co_await exchange->SendResponse(400, {}, "no call of a peer\n");
  }
  if (!taking_) {
    AttemptResult stopping;
    stopping.outcome = AttemptOutcome::kNotRun;
    stopping.reason = "stopping";
    co_return co_await exchange->SendResponse(503, MakeHopResult(stopping), "");
  }
  const RelayOptions relay{kHeldAnswer, backend_->link()};
  const AttemptResult result = co_await backend_->Run(*call, exchange, relay);
  if (result.outcome == AttemptOutcome::kDelivered || exchange->client_disconnected()) co_return;
  if (result.reason != kBackendFullReason) LogEnd(*call, result, received);
  if (exchange->response_started()) co_return exchange->AbortResponse();
  co_await exchange->SendResponse(503, MakeHopResult(result), "");
}

}  // namespace wisteriarill
