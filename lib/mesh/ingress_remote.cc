/// \file
/// Attempts at servers beside other nodes.
#include <utility>

#include "ingress_call_state.h"
#include "wisteriarill/mesh/response_relay.h"
#include "wisteriarill/mesh/forwarded_call.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kConnectTimeout{400};
/// The serving node answers a deadline itself; this covers its way.
constexpr milliseconds kDeadlineMargin{30};

AttemptResult MakeResult(AttemptOutcome end, std::string reason) {
  AttemptResult result;
  result.outcome = end;
  result.reason = std::move(reason);
  result.reached_server = end != AttemptOutcome::kNotRun;
  return result;
}

// Returns how long the call ran at its server, and takes the field out.
microseconds TakeRan(HttpFields* fields) {
  const std::string* text = FindField(*fields, kHopRan);
  if (text == nullptr) return microseconds(0);
  const microseconds ran(ParseDecimal(*text).value_or(0));
  EraseField(fields, kHopRan);
  return ran;
}

// Keeps a connection among the calls under way at a peer.
class CallMark {
 public:
  CallMark(Peer* peer, ClientConnection* connection, bool repeatable)
      : peer_(peer), connection_(connection) {
    peer_->calls.emplace(connection_, repeatable);
  }
  ~CallMark() { peer_->calls.erase(connection_); }
  CallMark(const CallMark&) = delete;
  CallMark& operator=(const CallMark&) = delete;

 private:
  Peer* peer_;
  ClientConnection* connection_;
};

}  // namespace

Task<AttemptResult> Ingress::AttemptRemote(Serving* serving, Peer* peer) {
  const MeshCall& call = serving->call;
  ServerExchange* sink = serving->exchange;
  std::shared_ptr<ClientConnection> connection =
      peer->pool->Take(BootClock::now());
  if (!connection->has_sent_request()) {
    const Status connected = co_await connection->Connect(kConnectTimeout);
    if (!connected) co_return MakeResult(AttemptOutcome::kNotRun, "peer-away");
  }
  if (sink->client_disconnected()) co_return MakeResult(AttemptOutcome::kClientDisconnected, "reader-left");
  const CallMark mark(peer, connection.get(), call.idempotent);
  sink->OnDisconnect([connection] { connection->Close(); });
  HttpRequest hop = MakeHopRequest(call, BootClock::now());
  std::string text = SerializeRequestHead(
      {hop.method, hop.target, std::move(hop.fields), call.request.body});
  const Status sent = co_await connection->Send(
      std::move(text), &call.request.body, RemainingTime(call.deadline));
  AttemptResult result =
      MakeResult(AttemptOutcome::kUnknown, "peer-not-sent-whole");
  if (sent) {
    auto read = co_await connection->ReadHead(
        RemainingTime(call.deadline + kDeadlineMargin));
    if (!read) {
      const bool late = call.deadline <= BootClock::now();
      result = MakeResult(late ? AttemptOutcome::kDeadlinePassed : AttemptOutcome::kUnknown,
                          late ? "deadline-passed" : "peer-no-answer");
    } else if (auto told = ParseHopResult(read.value())) {
      result = *told;
      co_await DrainResponse(connection.get());
      if (result.reason == kBackendFullReason) {
        peer->OnBackendFull(call.urgency, result.retry_after, BootClock::now());
      }
    } else if (call.retry_on_failure && read.value().status >= 500) {
      co_await DrainResponse(connection.get());
      result = MakeResult(AttemptOutcome::kFailed, "server-failure");
      result.status = read.value().status;
    } else {
      EraseHopByHopFields(&read.value().fields);
      const microseconds ran = TakeRan(&read.value().fields);
      result =
          co_await RelayResponse(connection.get(), std::move(read.value()), sink,
                               {kHeldAnswer, nullptr}, call.deadline);
      result.service_time = ran;
    }
  }
  sink->OnDisconnect(nullptr);
  if (sink->client_disconnected()) {
    connection->Close();
    result = MakeResult(AttemptOutcome::kClientDisconnected, "reader-left");
  }
  peer->pool->Return(std::move(connection), BootClock::now());
  co_return result;
}

}  // namespace wisteriarill
