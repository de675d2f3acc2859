/// \file
/// The backend executor's workers. Each of them runs one call at a time.
#include <algorithm>
#include <utility>

#include "wisteriarill/connection/http_fields.h"
#include "wisteriarill/process/backend_executor.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kPollInterval = milliseconds(200);

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

// Makes the message for the ingress about a call that ended without a response.
ResponseStart MakeFailureResponse(const BackendExchangeResult& end) {
  ResponseStart answer;
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
  while (!work_queue_.closed()) {
    const std::optional<ServedCallPtr> call = work_queue_.PopFor(kPollInterval);
    if (!call.has_value()) continue;
    const Instant start_time = BootClock::now();
    const BackendExchangeResult end = RunExchange(*call, &client);
    const auto latency =
        std::chrono::duration_cast<microseconds>(BootClock::now() - start_time);
    FinishResponse(*call, end);
    events_.Push(FinishedEvent{(*call)->start.id, end, latency});
  }
}

BackendExchangeResult BackendExecutor::RunExchange(const ServedCallPtr& call,
                                                   BackendClient* client) {
  std::uint64_t received = 0;
  bool ended = false;
  BackendExchangeCallbacks exchange;
  exchange.confirm_send = [&] {
    // Last check of cancellation and deadline before the call is sent.
    if (call->answer->cancelled() || BootClock::now() >= call->deadline) {
      return false;
    }
    call->handed_over = true;
    return true;
  };
  exchange.next_piece = [&] { return NextBodyPiece(call, &received, &ended); };
  exchange.on_response = [&](const BackendResponse& answer) {
    ResponseStart start;
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

// Returns the next piece of the request body. A duplicate piece or one out of
// order fails the call.
std::optional<std::string> BackendExecutor::NextBodyPiece(
    const ServedCallPtr& call, std::uint64_t* received, bool* ended) {
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
        call->mailbox->Next(std::min<nanoseconds>(left, kPollInterval));
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

void BackendExecutor::FinishResponse(const ServedCallPtr& call,
                                     const BackendExchangeResult& end) {
  if (end.answered) {
    call->answer->Finish(end.complete);
    return;
  }
  ResponseStart failure = MakeFailureResponse(end);
  failure.load = status().load;
  call->answer->Start(std::move(failure));
}

}  // namespace wisteriarill
