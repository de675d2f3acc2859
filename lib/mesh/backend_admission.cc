/// \file
/// The wait of calls for their turn at the local backend server.
#include "wisteriarill/mesh/backend_dispatcher.h"

namespace wisteriarill {
namespace {

/// Retry-After of calls refused while the server accepts no connection.
constexpr milliseconds kUnreachableRetryAfter{300};

}  // namespace

void BackendDispatcher::AdmitWaiting(Instant now) {
  for (const BackendAdmissionTicket ticket :
       admission_queue_.TakeAdmitted(now)) {
    const auto queued = queued_calls_.find(ticket);
    if (queued == queued_calls_.end()) {
      admission_queue_.OnCallFinished(microseconds(0), now);
      continue;
    }
    asio::steady_timer* timer = queued->second;
    queued_calls_.erase(queued);
    timer->cancel();
  }
  ScheduleRateTurn(now);
}

Task<bool> BackendDispatcher::WaitInQueue(BackendAdmissionTicket ticket,
                                          const MeshCall& call,
                                          ServerExchange* sink) {
  asio::steady_timer timer(*loop_, RemainingTime(call.start_deadline));
  queued_calls_[ticket] = &timer;
  sink->OnDisconnect([&timer] { timer.cancel(); });
  error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  sink->OnDisconnect(nullptr);
  // AdmitWaiting removes the ticket before it cancels the timer.
  if (!queued_calls_.contains(ticket)) co_return true;
  queued_calls_.erase(ticket);
  admission_queue_.CancelQueued(ticket);
  co_return false;
}

AttemptResult BackendDispatcher::MakeFullResult(const MeshCall& call,
                                                Instant now) const {
  const bool rate_exhausted = admission_queue_.RateWait(now).count() > 0;
  AttemptResult full = MakeNotRunResult(
      rate_exhausted ? kBackendRateReason : kBackendFullReason, false);
  full.retry_after = std::chrono::duration_cast<milliseconds>(
      admission_queue_.ExpectedWait(call.urgency, now));
  return full;
}

Task<AttemptResult> BackendDispatcher::WaitForAdmission(const MeshCall& call,
                                                        ServerExchange* sink) {
  const Instant now = BootClock::now();
  if (unreachable_) {
    AttemptResult unreachable = MakeNotRunResult("backend-away", false);
    unreachable.retry_after = kUnreachableRetryAfter;
    co_return unreachable;
  }
  const BackendAdmissionTicket ticket{++last_ticket_};
  const BackendAdmissionDecision decision = admission_queue_.TryAdmit(
      ticket, {call.urgency, call.start_deadline, call.waits_for_rate}, now);
  if (decision == BackendAdmissionDecision::kAdmit) {
    co_return MakeResult(AttemptOutcome::kDelivered, "turn");
  }
  AttemptResult rejected = MakeFullResult(call, now);
  if (decision == BackendAdmissionDecision::kReject) co_return rejected;
  ScheduleRateTurn(now);
  if (co_await WaitInQueue(ticket, call, sink)) {
    co_return MakeResult(AttemptOutcome::kDelivered, "turn");
  }
  if (statements_.leaving())
    co_return MakeNotRunResult(kServerLeavingReason, false);
  if (statements_.rate_limit())
    rejected = MakeFullResult(call, BootClock::now());
  if (sink->client_disconnected()) {
    rejected.outcome = AttemptOutcome::kClientDisconnected;
    rejected.reason = "reader-left";
  }
  co_return rejected;
}

}  // namespace wisteriarill
