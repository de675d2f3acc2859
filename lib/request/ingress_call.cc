#include "wisteriarill/request/ingress_call.h"

#include <algorithm>
#include <utility>

namespace wisteriarill {
namespace {

// Maximum wait for a link to the serving node.
constexpr nanoseconds kMaxConnectWait = milliseconds(400);
// How long past the deadline the ingress waits, because the serving node may
// still report that the call did not run.
constexpr nanoseconds kOutcomeGracePeriod = milliseconds(150);
constexpr nanoseconds kMaxAdmissionWait = milliseconds(600);
constexpr int kMaxAttempts = 4;
// The ingress grants new credit each time it has received this many bytes of
// the response body.
constexpr std::uint64_t kCreditIntervalBytes = kMaxInFlightBodyBytes / 4;

}  // namespace

IngressCall::IngressCall(IngressRequest request, PeerHub* hub,
                         AdmissionController* admission, IdSource next_id)
    : request_(std::move(request)),
      hub_(hub),
      admission_(admission),
      next_id_(std::move(next_id)),
      body_ended_(request_.body_complete),
      unsent_body_(request_.initial_body) {}

IngressCall::~IngressCall() {
  if (mailbox_ != nullptr) hub_->ingress_calls().Remove(id_);
}

nanoseconds IngressCall::RemainingTime() const {
  return request_.deadline - BootClock::now();
}

AdmissionResult IngressCall::AdmitFirstAttempt() {
  const nanoseconds wait = std::min(RemainingTime(), kMaxAdmissionWait);
  if (request_.depth > 0) {
    return admission_->AdmitNested(request_.service, wait);
  }
  return admission_->Admit(request_.workspace, request_.service, wait);
}

bool IngressCall::CanRetry(const IngressResult& result) const {
  if (result.response_started || body_consumed_ ||
      RemainingTime() <= nanoseconds::zero()) {
    return false;
  }
  if (result.refusal == Refusal::kDeadline) return false;
  if (result.outcome == Outcome::kNotRun) return true;
  return result.outcome == Outcome::kUnknown && request_.idempotent;
}

IngressResult IngressCall::Run(const CallerExchange& exchange) {
  AdmissionResult admission = AdmitFirstAttempt();
  std::set<std::string> tried;
  IngressResult result;
  result.id = next_id_();
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    if (admission.refusal != Refusal::kNone) {
      // A rejected retry does not change the result of the previous attempt.
      if (attempt > 0) return result;
      result.refusal = admission.refusal;
      result.retry_after = admission.retry_after;
      return result;
    }
    tried.insert(admission.choice.server);
    const Outcome previous = result.outcome;
    result = RunAttempt(admission.choice, exchange);
    // If an earlier attempt may have run, the call may have run, even if the
    // retry did not.
    if (attempt > 0 && previous == Outcome::kUnknown &&
        result.outcome == Outcome::kNotRun) {
      result.outcome = Outcome::kUnknown;
    }
    if (result.outcome == Outcome::kDone || !CanRetry(result)) return result;
    admission = admission_->Retry(request_.service, tried,
                                  std::min(RemainingTime(), kMaxAdmissionWait));
  }
  return result;
}

CallStart IngressCall::MakeCallStart(InstanceId target) const {
  CallStart start;
  start.id = id_;
  start.target = target;
  start.version = request_.version;
  start.service = request_.service;
  start.workspace = request_.workspace;
  start.call_class = request_.call_class;
  start.depth = request_.depth;
  start.idempotent = request_.idempotent;
  start.remaining = std::chrono::duration_cast<microseconds>(RemainingTime());
  start.method = request_.method;
  start.uri = request_.uri;
  start.headers = request_.headers;
  start.body_length = request_.body_length;
  start.body_whole = request_.body_complete;
  if (request_.body_complete) start.body = request_.initial_body;
  return start;
}

IngressResult IngressCall::RunAttempt(const ChosenServer& choice,
                                      const CallerExchange& exchange) {
  if (mailbox_ != nullptr) hub_->ingress_calls().Remove(id_);
  id_ = next_id_();
  choice_ = choice;
  load_report_.reset();
  unresponsive_ = false;
  received_ = 0;
  digest_ = std::make_unique<BodyDigest>();
  mailbox_ = hub_->ingress_calls().Add(id_);
  IngressResult result;
  result.id = id_;
  result.refusal = Refusal::kNoServer;
  const auto connection =
      hub_->Connect(choice.node, std::min(RemainingTime(), kMaxConnectWait));
  if (connection.has_value()) {
    target_ = connection->peer.instance;
    mailbox_->SetLink(connection->link);
    const bool sent =
        hub_->Send({connection->link, {}}, MakeCallStart(target_));
    if (sent) {
      result = ProcessEvents(exchange);
    } else {
      unresponsive_ = true;
    }
  } else {
    unresponsive_ = true;
  }
  admission_->OnAttemptEnded(
      choice.server, load_report_.has_value() ? &*load_report_ : nullptr,
      unresponsive_);
  return result;
}

IngressResult IngressCall::ProcessEvents(const CallerExchange& exchange) {
  IngressResult result;
  result.id = id_;
  result.outcome = Outcome::kUnknown;
  result.refusal = Refusal::kNoAnswer;
  while (true) {
    const nanoseconds left = RemainingTime() + kOutcomeGracePeriod;
    std::optional<CallEvent> event;
    if (left > nanoseconds::zero()) event = mailbox_->Next(left);
    if (!event.has_value()) {
      Cancel();
      unresponsive_ = !load_report_.has_value();
      return result;
    }
    if (!OnEvent(std::move(*event), exchange, &result)) return result;
  }
}

// Handles an event of the current attempt; returns false when the attempt has
// ended.
bool IngressCall::OnEvent(CallEvent event, const CallerExchange& exchange,
                          IngressResult* result) {
  if (std::holds_alternative<LinkLost>(event)) return Reconnect(result);
  PeerMessage& message = std::get<PeerMessage>(event);
  if (const auto* start = std::get_if<ResponseStart>(&message)) {
    return OnResponseStart(*start, exchange, result);
  }
  if (const auto* piece = std::get_if<ResponsePiece>(&message)) {
    return OnResponsePiece(*piece, exchange, result);
  }
  if (const auto* credit = std::get_if<CallCredit>(&message)) {
    return OnCredit(*credit, exchange, result);
  }
  return true;
}

bool IngressCall::OnResponseStart(const ResponseStart& start,
                                  const CallerExchange& exchange,
                                  IngressResult* result) {
  if (result->response_started)
    return true;  // Duplicate, sent over a new link.
  load_report_ = start.load;
  result->outcome = start.outcome;
  result->refusal = start.refusal;
  if (start.outcome != Outcome::kDone) {
    hub_->Send({mailbox_->link(), {}}, ResultAck{id_});
    return false;
  }
  result->response_started = true;
  if (exchange.on_response_start(start)) return true;
  Cancel();
  return false;
}

bool IngressCall::OnResponsePiece(const ResponsePiece& piece,
                                  const CallerExchange& exchange,
                                  IngressResult* result) {
  if (!result->response_started || piece.offset > received_) {
    // A piece is missing: ask the serving node to resend from `received_`.
    hub_->Send({mailbox_->link(), {}},
               ResultQuery{id_, result->response_started, received_});
    return true;
  }
  const std::uint64_t piece_end = piece.offset + piece.bytes.size();
  if (piece_end > received_) {
    const std::string_view fresh =
        std::string_view(piece.bytes).substr(received_ - piece.offset);
    digest_->Add(fresh);
    const std::uint64_t previous = received_;
    received_ = piece_end;
    if (!exchange.on_response_body(fresh)) {
      Cancel();
      return false;
    }
    if (received_ / kCreditIntervalBytes != previous / kCreditIntervalBytes) {
      hub_->Send({mailbox_->link(), {}}, ResponseCredit{id_, received_});
    }
  }
  if (!piece.last) return true;
  result->response_complete =
      !piece.truncated && piece.digest == digest_->value();
  hub_->Send({mailbox_->link(), {}}, ResultAck{id_});
  return false;
}

// Sends the request body up to the credit that the serving node granted.
bool IngressCall::OnCredit(const CallCredit& credit,
                           const CallerExchange& exchange,
                           IngressResult* result) {
  if (request_.body_complete) return true;
  while (!body_ended_ && body_sent_ < credit.granted) {
    if (unsent_body_.empty()) {
      std::optional<std::string> more = exchange.read_body();
      if (!more.has_value()) {
        Cancel();
        return false;
      }
      body_ended_ = more->empty();
      unsent_body_ = std::move(*more);
    }
    CallPiece piece;
    piece.id = id_;
    piece.offset = body_sent_;
    piece.bytes = unsent_body_.substr(0, kMaxBodyPieceBytes);
    unsent_body_.erase(0, piece.bytes.size());
    piece.last = body_ended_;
    body_sent_ += piece.bytes.size();
    body_consumed_ = true;
    if (!hub_->Send({mailbox_->link(), {}}, piece)) return Reconnect(result);
  }
  return true;
}

// Connects to the serving node again and asks for the result of the call.
// Returns false when the attempt has ended.
bool IngressCall::Reconnect(IngressResult* result) {
  while (RemainingTime() > nanoseconds::zero()) {
    const auto connection =
        hub_->Connect(choice_.node, std::min(RemainingTime(), kMaxConnectWait));
    if (!connection.has_value()) {
      unresponsive_ = true;
      if (!request_.idempotent || result->response_started) continue;
      return false;  // Outcome unknown; the call may run at another server too.
    }
    if (connection->peer.instance != target_) {
      unresponsive_ = false;
      result->refusal = Refusal::kBackendBroken;
      return false;
    }
    mailbox_->SetLink(connection->link);
    const ResultQuery query{id_, result->response_started, received_};
    if (hub_->Send({connection->link, {}}, query)) return true;
  }
  return true;
}

void IngressCall::Cancel() {
  hub_->Send({mailbox_->link(), {}}, CallCancel{id_});
}

}  // namespace wisteriarill
