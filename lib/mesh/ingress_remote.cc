/// \file
/// Attempts at backend servers on other VMs, through the nodes there.
#include <limits>
#include <utility>

#include "ingress_call_state.h"
#include "wisteriarill/mesh/backend_report_parser.h"
#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/mesh/response_relay.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kConnectTimeout{400};
/// Extra time for a response to arrive. The serving node itself responds when
/// the deadline passes, and this covers the network delay of that response.
constexpr milliseconds kDeadlineMargin{30};
/// A peer sends interim responses while a call runs. The deadline bounds them.
constexpr int kStatusContinue = 100;
constexpr int kMaxPeerInterimResponses = std::numeric_limits<int>::max();

/// Returns how an attempt ended at a peer that did not relay a response.
AttemptResult EndedAtPeer(PeerResponseOrigin origin,
                          const HttpResponseHead& head, const MeshCall& call,
                          Peer* peer) {
  if (origin == PeerResponseOrigin::kRefusal)
    return MakeResult(AttemptOutcome::kNotRun, "peer-refused");
  const std::optional<AttemptResult> result = ParseForwardResult(head);
  if (!result) return MakeResult(AttemptOutcome::kUnknown, "peer-no-result");
  if (IsFullReason(result->reason)) {
    const Instant now = BootClock::now();
    peer->OnBackendFull(call.urgency, result->retry_after, now);
    if (result->reason == kBackendRateReason)
      peer->rate_free_at = now + result->retry_after;
  }
  return *result;
}

/// Result of asking a peer whether the body of a request may be sent.
struct BodyPermission {
  bool granted = false;
  /// The peer's final response if it refused. Without one, the connection
  /// broke, and the call has not run because its body was not sent.
  std::optional<HttpResponseHead> refusal;
};

Task<BodyPermission> AskToSendBody(ClientConnection* connection,
                                   std::string head, Instant deadline) {
  BodyPermission permission;
  const std::string no_body;
  const Status sent = co_await connection->Send(std::move(head), &no_body,
                                                RemainingTime(deadline));
  if (!sent) co_return permission;
  Result<HttpResponseHead> response =
      co_await connection->ReadPermission(RemainingTime(deadline));
  if (!response) co_return permission;
  permission.granted = response.value().status == kStatusContinue;
  if (!permission.granted) permission.refusal = std::move(response.value());
  co_return permission;
}

/// Lists a connection among the calls in flight to a peer, so that the call can
/// be ended when the peer becomes unresponsive.
class PeerCallRegistration {
 public:
  PeerCallRegistration(Peer* peer, ClientConnection* connection,
                       std::function<bool()> take_retry)
      : peer_(peer), connection_(connection) {
    peer_->calls[connection_].take_retry = std::move(take_retry);
    EnterPhase(PeerCall::Phase::kConnecting);
  }
  ~PeerCallRegistration() { peer_->calls.erase(connection_); }
  PeerCallRegistration(const PeerCallRegistration&) = delete;
  PeerCallRegistration& operator=(const PeerCallRegistration&) = delete;

  void EnterPhase(PeerCall::Phase phase) {
    PeerCall& call = peer_->calls[connection_];
    call.phase = phase;
    call.phase_began = BootClock::now();
  }

 private:
  Peer* peer_;
  ClientConnection* connection_;
};

}  // namespace

void Ingress::RecordStatements(const CallState& call_state,
                               const HttpResponseHead& head) {
  const PlatformFieldNames& names = *dependencies_.field_names;
  const bool own_answer = FindField(head.fields, names.signature) != nullptr;
  backend_statements_.OnResponse(
      call_state.target.start(), ParseBackendReport(head.fields, names),
      own_answer, call_state.attempt_began, BootClock::now());
}

Task<AttemptResult> Ingress::ReadPeerResponse(CallState* call_state, Peer* peer,
                                              ClientConnection* connection) {
  const MeshCall& call = call_state->call;
  auto read = co_await connection->ReadHead(
      RemainingTime(call.deadline + kDeadlineMargin), kMaxPeerInterimResponses);
  if (!read) {
    const bool deadline_passed = call.deadline <= BootClock::now();
    co_return MakeResult(
        deadline_passed ? AttemptOutcome::kDeadlinePassed
                        : AttemptOutcome::kUnknown,
        deadline_passed ? "deadline-passed" : "peer-no-answer");
  }
  const PeerResponseOrigin origin = OriginOf(read.value());
  if (origin != PeerResponseOrigin::kServer) {
    co_await DrainResponse(connection);
    co_return EndedAtPeer(origin, read.value(), call, peer);
  }
  RecordStatements(*call_state, read.value());
  if (call.retry_on_failure && read.value().status >= 500) {
    co_await DrainResponse(connection);
    AttemptResult failed =
        MakeResult(AttemptOutcome::kFailed, "server-failure");
    failed.status = read.value().status;
    co_return failed;
  }
  EraseHopByHopFields(&read.value().fields);
  const microseconds service_time =
      TakeServerResponseMark(&read.value().fields);
  AttemptResult result = co_await RelayResponse(
      connection, std::move(read.value()), call_state->exchange,
      {kMaxBufferedResponseBytes, nullptr}, call.deadline);
  result.service_time = service_time;
  co_return result;
}

Task<AttemptResult> Ingress::ForwardToPeer(CallState* call_state, Peer* peer) {
  const MeshCall& call = call_state->call;
  ServerExchange* sink = call_state->exchange;
  std::shared_ptr<ClientConnection> connection =
      peer->pool->Take(BootClock::now());
  // While a call is registered, the peer table keeps the peer.
  PeerCallRegistration registration(peer, connection.get(), [this, call_state] {
    return TakeRetryElsewhere(call_state);
  });
  if (!connection->has_sent_request()) {
    const Status connected = co_await connection->Connect(kConnectTimeout);
    if (!connected) {
      peer->OnUnreachable(BootClock::now());
      co_return MakeResult(AttemptOutcome::kNotRun, "peer-away");
    }
  }
  if (sink->client_disconnected())
    co_return MakeResult(AttemptOutcome::kClientDisconnected, "reader-left");
  sink->OnDisconnect([connection] { connection->Close(); });
  HttpRequest forwarded = MakeForwardRequest(call, BootClock::now());
  std::string text =
      SerializeRequestHead({forwarded.method, forwarded.target,
                            std::move(forwarded.fields), call.request.body});
  std::optional<HttpResponseHead> refusal;
  bool may_send = true;
  if (AsksBeforeBody(call)) {
    BodyPermission permission =
        co_await AskToSendBody(connection.get(), std::move(text),
                               call.start_deadline + kDeadlineMargin);
    text.clear();
    may_send = permission.granted;
    refusal = std::move(permission.refusal);
  }
  AttemptResult result =
      MakeResult(AttemptOutcome::kNotRun, "peer-no-permission");
  if (may_send) {
    registration.EnterPhase(PeerCall::Phase::kSending);
    result = MakeResult(AttemptOutcome::kUnknown, "peer-not-sent-whole");
    const Status sent = co_await connection->Send(
        std::move(text), &call.request.body, RemainingTime(call.deadline));
    if (sent) {
      registration.EnterPhase(PeerCall::Phase::kWaiting);
      result = co_await ReadPeerResponse(call_state, peer, connection.get());
    }
  } else if (refusal) {
    result = EndedAtPeer(OriginOf(*refusal), *refusal, call, peer);
    co_await DrainResponse(connection.get());
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
