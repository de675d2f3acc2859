/// \file
/// The backend duty's workers: each carries one call at a time.
#include <algorithm>
#include <utility>

#include "wisteriarill/connection/http_fields.h"
#include "wisteriarill/process/backend_executor.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kWait = milliseconds(200);

BackendRequest ToBackendRequest(const CallStart& start, Instant deadline) {
  BackendRequest request{start.method, start.uri, start.headers,
                         start.body_length, deadline};
  if (start.body_whole) {
    request.body_length = static_cast<std::int64_t>(start.body.size());
  }
  const nanoseconds left =
      std::max<nanoseconds>(deadline - BootClock::now(), milliseconds(1));
  request.headers.push_back({kRequestIdHeader, ToString(start.id)});
  request.headers.push_back({kDeadlineHeader, std::to_string(ToMillis(left))});
  if (!start.workspace.empty()) {
    request.headers.push_back({kWorkspaceHeader, start.workspace});
  }
  return request;
}

// What an ingress is told of a call that did not end with an answer.
AnswerStart Failure(const BackendExchangeResult& end) {
  AnswerStart answer;
  answer.body_length = 0;
  if (!end.handed_over || end.result == BackendResult::kShed) {
    answer.outcome = Outcome::kNotRun;
    answer.refusal = Refusal::kNoServer;
    if (end.result == BackendResult::kShed) answer.refusal = Refusal::kOverload;
    if (end.result == BackendResult::kWithdrawn) {
      answer.refusal = Refusal::kDeadline;
    }
    return answer;
  }
  answer.outcome = Outcome::kUnknown;
  answer.refusal = end.result == BackendResult::kTimedOut
                       ? Refusal::kNoAnswer
                       : Refusal::kBackendBroken;
  return answer;
}

}  // namespace

void BackendExecutor::RunWorker() {
  BackendClient client(settings_.backend);
  while (!work_.closed()) {
    const std::optional<ServedPtr> call = work_.PopFor(kWait);
    if (!call.has_value()) continue;
    const Instant began = BootClock::now();
    const BackendExchangeResult end = Exchange(*call, &client);
    const auto latency =
        std::chrono::duration_cast<microseconds>(BootClock::now() - began);
    AnswerEnd(*call, end);
    events_.Push(FinishedEvent{(*call)->start.id, end, latency});
  }
}

BackendExchangeResult BackendExecutor::Exchange(const ServedPtr& call, BackendClient* client) {
  std::uint64_t received = 0;
  bool ended = false;
  BackendExchangeCallbacks exchange;
  exchange.confirm_send = [&] {
    // The last look at cancellation and deadline before it runs.
    if (call->answer->cancelled() || BootClock::now() >= call->deadline) {
      return false;
    }
    call->handed_over = true;
    return true;
  };
  exchange.next_piece = [&] { return NextPiece(call, &received, &ended); };
  exchange.on_answer = [&](const BackendAnswer& answer) {
    AnswerStart start;
    start.outcome = Outcome::kDone;
    start.status = answer.status;
    start.headers = answer.headers;
    start.body_length = answer.body_length;
    start.load = status().load;
    start.load.leaving = start.load.leaving || leaving_.load();
    call->answer->Start(std::move(start));
    return true;
  };
  exchange.on_body = [&](std::string_view bytes) {
    return call->answer->Write(bytes, call->deadline);
  };
  call->client = client;
  BackendExchangeResult end =
      client->Run(ToBackendRequest(call->start, call->deadline), exchange);
  call->client = nullptr;
  return end;
}

// Returns the next piece of the request's body in order; pieces that come
// twice or out of order end the call.
std::optional<std::string> BackendExecutor::NextPiece(const ServedPtr& call,
                                                  std::uint64_t* received,
                                                  bool* ended) {
  if (*ended) return std::string();
  if (call->start.body_whole) {
    *ended = true;
    return call->start.body;
  }
  hub_->Send({call->mailbox->link(), {}},
             CallCredit{call->start.id, *received + kMaxInFlightBodyBytes});
  while (!call->answer->cancelled()) {
    const nanoseconds left = call->deadline - BootClock::now();
    if (left <= nanoseconds::zero()) return std::nullopt;
    std::optional<CallEvent> event =
        call->mailbox->Next(std::min<nanoseconds>(left, kWait));
    if (!event.has_value()) continue;
    auto* message = std::get_if<PeerMessage>(&*event);
    if (message == nullptr) return std::nullopt;  // The link was lost.
    auto* piece = std::get_if<CallPiece>(message);
    if (piece == nullptr || piece->offset != *received) return std::nullopt;
    *received += piece->bytes.size();
    *ended = piece->last;
    if (!piece->bytes.empty() || piece->last) return std::move(piece->bytes);
  }
  return std::nullopt;
}

void BackendExecutor::AnswerEnd(const ServedPtr& call, const BackendExchangeResult& end) {
  if (end.answered) {
    call->answer->Finish(end.whole);
    return;
  }
  AnswerStart failure = Failure(end);
  failure.load = status().load;
  call->answer->Start(std::move(failure));
}

}  // namespace wisteriarill
