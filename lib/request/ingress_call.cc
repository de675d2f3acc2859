#include "wisteriarill/request/ingress_call.h"

#include <algorithm>
#include <utility>

namespace wisteriarill {
namespace {

constexpr nanoseconds kConnectLimit = milliseconds(400);
// After the deadline, the node beside the backend server may still tell that
// a call did not run.
constexpr nanoseconds kTruthGrace = milliseconds(150);
constexpr nanoseconds kMostAdmissionWait = milliseconds(600);
constexpr int kMostAttempts = 4;
constexpr std::uint64_t kCreditStep = kMaxInFlightBodyBytes / 4;

}  // namespace

IngressCall::IngressCall(IngressRequest request, PeerHub* hub,
                         AdmissionController* admission, IdSource next_id)
    : request_(std::move(request)),
      hub_(hub),
      admission_(admission),
      next_id_(std::move(next_id)),
      body_ended_(request_.body_whole),
      body_rest_(request_.body_begin) {}

IngressCall::~IngressCall() {
  if (mailbox_ != nullptr) hub_->ingress_calls().Remove(id_);
}

nanoseconds IngressCall::Left() const {
  return request_.deadline - BootClock::now();
}

AdmissionResult IngressCall::FirstAdmission() {
  const nanoseconds wait = std::min(Left(), kMostAdmissionWait);
  const std::string workspace = request_.charged ? request_.workspace : "";
  return admission_->Admit(workspace, request_.service, wait);
}

bool IngressCall::MayRetry(const IngressEnd& end) const {
  if (end.started || body_lost_ || Left() <= nanoseconds::zero()) return false;
  if (end.refusal == Refusal::kDeadline) return false;
  if (end.outcome == Outcome::kNotRun) return true;
  return end.outcome == Outcome::kUnknown && request_.idempotent;
}

IngressEnd IngressCall::Run(const CallerExchange& exchange) {
  AdmissionResult admission = FirstAdmission();
  std::set<std::string> tried;
  IngressEnd end;
  end.id = next_id_();
  for (int attempt = 0; attempt < kMostAttempts; ++attempt) {
    if (admission.refusal != Refusal::kNone) {
      // A refused retry leaves what the attempt before it came to.
      if (attempt > 0) return end;
      end.refusal = admission.refusal;
      end.retry_after = admission.retry_after;
      return end;
    }
    tried.insert(admission.choice.server);
    const Outcome before = end.outcome;
    end = Attempt(admission.choice, exchange);
    // A call that may have run stays so, whatever a retry comes to.
    if (attempt > 0 && before == Outcome::kUnknown &&
        end.outcome == Outcome::kNotRun) {
      end.outcome = Outcome::kUnknown;
    }
    if (end.outcome == Outcome::kDone || !MayRetry(end)) return end;
    admission = admission_->Retry(request_.service, tried,
                                  std::min(Left(), kMostAdmissionWait));
  }
  return end;
}

CallStart IngressCall::MakeStart(InstanceId target) const {
  CallStart start;
  start.id = id_;
  start.target = target;
  start.version = request_.version;
  start.service = request_.service;
  start.workspace = request_.workspace;
  start.call_class = request_.call_class;
  start.depth = request_.depth;
  start.idempotent = request_.idempotent;
  start.remaining = std::chrono::duration_cast<microseconds>(Left());
  start.method = request_.method;
  start.uri = request_.uri;
  start.headers = request_.headers;
  start.body_length = request_.body_length;
  start.body_whole = request_.body_whole;
  if (request_.body_whole) start.body = request_.body_begin;
  return start;
}

IngressEnd IngressCall::Attempt(const ChosenServer& choice,
                                const CallerExchange& exchange) {
  if (mailbox_ != nullptr) hub_->ingress_calls().Remove(id_);
  id_ = next_id_();
  choice_ = choice;
  load_.reset();
  silent_ = false;
  received_ = 0;
  digest_ = std::make_unique<BodyDigest>();
  mailbox_ = hub_->ingress_calls().Add(id_);
  IngressEnd end;
  end.id = id_;
  end.refusal = Refusal::kNoServer;
  const auto connection =
      hub_->Connect(choice.node, std::min(Left(), kConnectLimit));
  if (connection.has_value()) {
    target_ = connection->peer.instance;
    mailbox_->SetLink(connection->link);
    const bool sent = hub_->Send({connection->link, {}}, MakeStart(target_));
    if (sent) {
      end = Converse(exchange);
    } else {
      silent_ = true;
    }
  } else {
    silent_ = true;
  }
  admission_->OnAttemptEnded(choice.server,
                             load_.has_value() ? &*load_ : nullptr, silent_);
  return end;
}

IngressEnd IngressCall::Converse(const CallerExchange& exchange) {
  IngressEnd end;
  end.id = id_;
  end.outcome = Outcome::kUnknown;
  end.refusal = Refusal::kNoAnswer;
  while (true) {
    const nanoseconds left = Left() + kTruthGrace;
    std::optional<CallEvent> event;
    if (left > nanoseconds::zero()) event = mailbox_->Next(left);
    if (!event.has_value()) {
      Cancel();
      silent_ = !load_.has_value();
      return end;
    }
    if (!OnEvent(std::move(*event), exchange, &end)) return end;
  }
}

// Returns false once the call has ended.
bool IngressCall::OnEvent(CallEvent event, const CallerExchange& exchange,
                          IngressEnd* end) {
  if (std::holds_alternative<LinkLost>(event)) return Reconnect(end);
  PeerMessage& message = std::get<PeerMessage>(event);
  if (const auto* start = std::get_if<AnswerStart>(&message)) {
    return OnAnswerStart(*start, exchange, end);
  }
  if (const auto* piece = std::get_if<AnswerPiece>(&message)) {
    return OnAnswerPiece(*piece, exchange, end);
  }
  if (const auto* credit = std::get_if<CallCredit>(&message)) {
    return OnCredit(*credit, exchange, end);
  }
  return true;
}

bool IngressCall::OnAnswerStart(const AnswerStart& start,
                                const CallerExchange& exchange,
                                IngressEnd* end) {
  if (end->started) return true;  // Sent again over another link.
  load_ = start.load;
  end->outcome = start.outcome;
  end->refusal = start.refusal;
  if (start.outcome != Outcome::kDone) {
    hub_->Send({mailbox_->link(), {}}, ResultAck{id_});
    return false;
  }
  end->started = true;
  if (exchange.on_start(start)) return true;
  Cancel();
  return false;
}

bool IngressCall::OnAnswerPiece(const AnswerPiece& piece,
                                const CallerExchange& exchange,
                                IngressEnd* end) {
  if (!end->started || piece.offset > received_) {
    // A piece is missing: ask for the rest from where this side is.
    hub_->Send({mailbox_->link(), {}},
               ResultQuery{id_, end->started, received_});
    return true;
  }
  const std::uint64_t piece_end = piece.offset + piece.bytes.size();
  if (piece_end > received_) {
    const std::string_view fresh =
        std::string_view(piece.bytes).substr(received_ - piece.offset);
    digest_->Add(fresh);
    const std::uint64_t before = received_;
    received_ = piece_end;
    if (!exchange.on_body(fresh)) {
      Cancel();
      return false;
    }
    if (received_ / kCreditStep != before / kCreditStep) {
      hub_->Send({mailbox_->link(), {}}, AnswerCredit{id_, received_});
    }
  }
  if (!piece.last) return true;
  end->whole = !piece.cut && piece.digest == digest_->value();
  hub_->Send({mailbox_->link(), {}}, ResultAck{id_});
  return false;
}

// Sends the request body as far as the target allows.
bool IngressCall::OnCredit(const CallCredit& credit,
                           const CallerExchange& exchange, IngressEnd* end) {
  if (request_.body_whole) return true;
  while (!body_ended_ && body_sent_ < credit.granted) {
    if (body_rest_.empty()) {
      std::optional<std::string> more = exchange.read_body();
      if (!more.has_value()) {
        Cancel();
        return false;
      }
      body_ended_ = more->empty();
      body_rest_ = std::move(*more);
    }
    CallPiece piece;
    piece.id = id_;
    piece.offset = body_sent_;
    piece.bytes = body_rest_.substr(0, kMaxBodyPieceBytes);
    body_rest_.erase(0, piece.bytes.size());
    piece.last = body_ended_;
    body_sent_ += piece.bytes.size();
    body_lost_ = true;
    if (!hub_->Send({mailbox_->link(), {}}, piece)) return Reconnect(end);
  }
  return true;
}

// Asks over another link what became of the call.
bool IngressCall::Reconnect(IngressEnd* end) {
  while (Left() > nanoseconds::zero()) {
    const auto connection =
        hub_->Connect(choice_.node, std::min(Left(), kConnectLimit));
    if (!connection.has_value()) {
      silent_ = true;
      if (!request_.idempotent || end->started) continue;
      return false;  // Unknown; another server may run it as well.
    }
    if (connection->peer.instance != target_) {
      silent_ = false;
      end->refusal = Refusal::kBackendBroken;
      return false;
    }
    mailbox_->SetLink(connection->link);
    const ResultQuery query{id_, end->started, received_};
    if (hub_->Send({connection->link, {}}, query)) return true;
  }
  return true;
}

void IngressCall::Cancel() {
  hub_->Send({mailbox_->link(), {}}, CallCancel{id_});
}

}  // namespace wisteriarill
