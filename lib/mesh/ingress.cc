#include "wisteriarill/mesh/ingress.h"

#include <algorithm>
#include <utility>

#include "ingress_call_state.h"
#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/mesh/response_relay.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// Retry-After while the node has no configuration.
constexpr milliseconds kNotReadyRetryAfter{200};
constexpr milliseconds kNoServerRetryAfter{150};
constexpr milliseconds kMinRetryAfter{50};
/// A call at a silent peer is not ended with less time left than this, because
/// its retry would hardly be answered.
constexpr milliseconds kMinRetryTime{50};
/// Maximum number of full servers that may refuse a call before it is refused.
/// Servers already known to be full are skipped and don't count.
constexpr int kMaxFullRefusals = 2;

std::string FormatSeconds(milliseconds time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f",
                std::chrono::duration<double>(time).count());
  return text;
}

}  // namespace

RetryRequester Ingress::RetryRequesterOf(const CallState& call_state) {
  return call_state.nested ? RetryRequester::kServer : RetryRequester::kCaller;
}

Ingress::Ingress(const IngressDependencies& dependencies)
    : dependencies_(dependencies),
      server_selector_(Hash64(dependencies.settings->name)),
      server_subsets_(dependencies.settings->ip,
                      dependencies.settings->failure_domain),
      random_(Hash64(dependencies.settings->ip)) {}

Task<void> Ingress::Handle(ServerExchange* exchange) {
  CallState call_state;
  call_state.exchange = exchange;
  EraseNodeFields(&exchange->request().fields);
  call_state.config = dependencies_.state->config();
  if (!dependencies_.state->serving()) {
    co_return co_await Refuse(&call_state, 503, "no-configuration",
                              kNotReadyRetryAfter);
  }
  if (!MatchRoute(&call_state)) {
    const bool has_request_id = !call_state.call.id.empty();
    co_return co_await Refuse(&call_state, has_request_id ? 404 : 400,
                              has_request_id ? "no-route" : "no-request-id",
                              {});
  }
  FindParentCall(&call_state);
  if (!IsAccepted(call_state)) {
    co_return co_await Refuse(&call_state, 503, "stopping", kMinRetryAfter);
  }
  if (!Authenticate(&call_state)) {
    co_return co_await Refuse(&call_state, 401, "unknown-key", {});
  }
  if (!co_await CheckRateLimit(&call_state)) co_return;
  PrepareCall(&call_state);
  co_await TryServers(&call_state);
}

Task<AttemptResult> Ingress::Attempt(CallState* call_state) {
  ++call_state->attempts;
  call_state->retry_taken = false;
  call_state->tried_instances.insert(call_state->target.instance);
  call_state->attempt_began = BootClock::now();
  MeshCall& call = call_state->call;
  call.is_retry = call_state->servers_used > 0;
  call.retry_on_failure =
      call.idempotent &&
      call_state->servers_used + 1 < call_state->route->max_servers &&
      retry_budget_.CanRetry(call.service, RetryRequesterOf(*call_state),
                             call_state->attempt_began);
  // Of this attempt's server: an earlier one may have been at another.
  call.told_rate_limit = backend_statements_.TellPeer(
      call_state->target.start(), call_state->attempt_began);
  if (call_state->target.ip == dependencies_.settings->ip) {
    const RelayOptions relay{kMaxBufferedResponseBytes, nullptr};
    co_return co_await dependencies_.backend->Run(call, call_state->exchange,
                                                  relay);
  }
  Peer* peer = dependencies_.peers->Find(call_state->target.ip);
  if (peer == nullptr) {
    AttemptResult result;
    result.outcome = AttemptOutcome::kNotRun;
    result.reason = "peer-unknown";
    co_return result;
  }
  ++peer->calls_since_status;
  co_return co_await ForwardToPeer(call_state, peer);
}

// Adds a failed attempt to the list that the call's log line prints. An
// attempt that reached a server or may have run also gets a log line of its
// own.
void Ingress::RecordFailedAttempt(CallState* call_state,
                                  const AttemptResult& result) {
  if (result.outcome == AttemptOutcome::kDelivered) return;
  if (result.reason == kServerLeavingReason)
    backend_statements_.OnLeaving(call_state->target.start(), BootClock::now());
  // Servers that name a limit say nothing about the room of the others.
  const bool full =
      result.reason == kBackendFullReason || result.reason == kLinkFullReason;
  if (full) ++call_state->full_refusals;
  if (!call_state->failed_attempts.empty()) call_state->failed_attempts += ',';
  call_state->failed_attempts.append(call_state->call.instance).append(":");
  call_state->failed_attempts.append(result.reason);
  if (result.outcome != AttemptOutcome::kNotRun || result.reached_server) {
    LogAttempt(*call_state, result);
  }
}

void Ingress::UpdateStatistics(CallState* call_state,
                               const AttemptResult& result) {
  constexpr double kSmoothingFactor = 0.1;
  const bool failed =
      result.outcome == AttemptOutcome::kFailed ||
      result.outcome == AttemptOutcome::kUnknown ||
      result.outcome == AttemptOutcome::kTruncated ||
      (result.outcome == AttemptOutcome::kNotRun && result.reached_server) ||
      result.status >= 500;
  if (result.service_time.count() > 0 && !failed) {
    queue_timeout_policy_.OnServiceTime(call_state->route->name,
                                        result.service_time);
  }
  const bool is_sample = failed || result.outcome == AttemptOutcome::kDelivered;
  if (!is_sample) return;
  double& smoothed_rate = failure_rates_[call_state->target.instance];
  smoothed_rate += ((failed ? 1.0 : 0.0) - smoothed_rate) * kSmoothingFactor;
  if (failure_rates_.size() > kMaxFailureRates) failure_rates_.clear();
}

bool Ingress::HasTimeForRetry(const CallState& call_state, Instant now) {
  if (now >= call_state.call.deadline) return false;
  if (call_state.exchange->client_disconnected()) return false;
  if (call_state.exchange->response_started()) return false;
  return call_state.attempts < kMaxAttempts;
}

bool Ingress::TakeRetryElsewhere(CallState* call_state) {
  const Instant now = BootClock::now();
  const Instant latest_end = call_state->call.deadline - kMinRetryTime;
  if (!call_state->call.idempotent || now >= latest_end) return false;
  if (!HasTimeForRetry(*call_state, now)) return false;
  // The attempt that would be ended has used a server.
  if (call_state->servers_used + 1 >= call_state->route->max_servers)
    return false;
  if (FindCandidates(call_state).empty()) return false;
  call_state->retry_taken = retry_budget_.TryTakeRetry(
      call_state->call.service, RetryRequesterOf(*call_state), now);
  return call_state->retry_taken;
}

bool Ingress::MayRetry(CallState* call_state, const AttemptResult& result) {
  const Instant now = BootClock::now();
  if (!HasTimeForRetry(*call_state, now)) return false;
  if (call_state->full_refusals >= kMaxFullRefusals) return false;
  const bool not_run = result.outcome == AttemptOutcome::kNotRun;
  const bool may_repeat = call_state->call.idempotent &&
                          (result.outcome == AttemptOutcome::kFailed ||
                           result.outcome == AttemptOutcome::kUnknown);
  if (!not_run && !may_repeat) return false;
  if (call_state->retry_taken) return true;
  if (!result.reached_server) return true;
  if (call_state->servers_used >= call_state->route->max_servers) return false;
  return retry_budget_.TryTakeRetry(call_state->call.service,
                                    RetryRequesterOf(*call_state), now);
}

Task<void> Ingress::TryServers(CallState* call_state) {
  retry_budget_.Configure({dependencies_.settings->retry_ratio,
                           std::chrono::duration_cast<seconds>(
                               dependencies_.settings->retry_window),
                           dependencies_.settings->retry_slack,
                           dependencies_.peers->NodeCount()});
  const Instant began = BootClock::now();
  // Where a nested call is known by its parent, only callers' requests add to
  // the budget: the others follow from them.
  if (!call_state->parent_urgency)
    retry_budget_.OnFirstAttempt(call_state->call.service, began);
  if (call_state->nested) {
    dependencies_.metrics->Add("wisteria_nested_calls");
    retry_budget_.OnNestedCall(call_state->call.service,
                               dependencies_.backend->RetryFraction(), began);
  }
  AttemptResult result;
  result.outcome = AttemptOutcome::kNotRun;
  result.reason = "no-server";
  result.retry_after = kNoServerRetryAfter;
  for (;;) {
    const bool chosen = co_await ChooseServer(call_state);
    if (!chosen) {
      const bool is_full =
          call_state->skipped_full_server || call_state->known_wait;
      if (is_full && call_state->attempts == 0) {
        result.reason = call_state->skipped_rate_wait ? kBackendRateReason
                                                      : kBackendFullReason;
        result.retry_after = call_state->known_wait.value_or(
            call_state->skipped_rate_wait.value_or(result.retry_after));
      } else if (call_state->skipped_leaving_server &&
                 call_state->attempts == 0) {
        result.reason = kServerLeavingReason;
      }
      break;
    }
    result = co_await Attempt(call_state);
    if (result.reached_server) ++call_state->servers_used;
    if (result.outcome != AttemptOutcome::kNotRun)
      call_state->may_have_run = true;
    UpdateStatistics(call_state, result);
    RecordFailedAttempt(call_state, result);
    if (!MayRetry(call_state, result)) break;
  }
  co_await FinishCall(call_state, result);
}

Task<void> Ingress::FinishCall(CallState* call_state,
                               const AttemptResult& result) {
  const bool served = result.outcome == AttemptOutcome::kDelivered;
  const auto latency = std::chrono::duration_cast<microseconds>(
      BootClock::now() - call_state->exchange->received());
  CallRecord record;
  record.workspace = call_state->call.workspace;
  record.call_class =
      call_state->call.download ? CallClass::kBulk : CallClass::kInteractive;
  record.outcome = served ? Outcome::kDone : Outcome::kUnknown;
  record.latency = latency;
  dependencies_.metrics->RecordCall(record);
  if (served) {
    const bool unremarkable = call_state->call.idempotent &&
                              call_state->failed_attempts.empty() &&
                              latency < call_state->route->latency_objective;
    if (!unremarkable) LogAttempt(*call_state, result);
    co_return;
  }
  if (call_state->exchange->client_disconnected()) co_return;
  if (call_state->exchange->response_started())
    co_return call_state->exchange->AbortResponse();
  const bool deadline_passed = BootClock::now() >= call_state->call.deadline;
  if (call_state->may_have_run) {
    co_return co_await Refuse(call_state, deadline_passed ? 504 : 502,
                              result.reason, {});
  }
  const bool controls_overload = call_state->config->controls_overload();
  // A caller whose request has not run may still have time to send it again.
  if (deadline_passed && !controls_overload) {
    co_return co_await Refuse(call_state, 504, "deadline-passed", {});
  }
  const milliseconds retry_after = std::max(result.retry_after, kMinRetryAfter);
  co_await Refuse(call_state, 503, result.reason,
                  controls_overload ? Spread(retry_after) : retry_after);
}

// Callers that were refused together would come back together, too.
milliseconds Ingress::Spread(milliseconds retry_after) {
  std::uniform_int_distribution<milliseconds::rep> extra(
      0, retry_after.count() / 2);
  return retry_after + milliseconds(extra(random_));
}

Task<void> Ingress::Refuse(CallState* call_state, int status,
                           std::string reason, milliseconds retry_after) {
  LogEvent(LogLevel::kInfo, "call_refused")
      .With("id", call_state->call.id)
      .With("status", status)
      .With("reason", reason)
      .With("route", call_state->route ? call_state->route->name : "")
      .With("workspace",
            call_state->workspace ? call_state->workspace->name : std::string())
      .With("attempts", call_state->attempts)
      .With("tried", call_state->failed_attempts)
      .With("nested", call_state->nested ? 1 : 0)
      .With("known_wait_ms",
            call_state->known_wait.value_or(milliseconds(0)).count())
      .With("config", call_state->config
                          ? ToString(call_state->config->version())
                          : std::string("none"))
      .With("after_ms",
            ToMillis(BootClock::now() - call_state->exchange->received()))
      .With("retry_after_ms", retry_after.count());
  dependencies_.metrics->Add("wisteria_refused{status=\"" +
                             std::to_string(status) + "\",reason=\"" + reason +
                             "\"}");
  HttpFields fields;
  if (!call_state->call.id.empty()) {
    fields.push_back(
        {dependencies_.field_names->request_id, call_state->call.id});
  }
  if (retry_after.count() > 0) {
    fields.push_back({"Retry-After", FormatSeconds(retry_after)});
  }
  fields.push_back({"Content-Type", "text/plain"});
  co_await call_state->exchange->SendResponse(status, std::move(fields),
                                              reason + "\n");
}

void Ingress::LogAttempt(const CallState& call_state,
                         const AttemptResult& result) {
  LogEvent(LogLevel::kInfo, "attempt")
      .With("id", call_state.call.id)
      .With("end", ToString(result.outcome))
      .With("reason", result.reason)
      .With("status", result.status)
      .With("server", call_state.call.instance)
      .With("service", call_state.call.service)
      .With("attempt", call_state.attempts)
      .With("tried", call_state.failed_attempts)
      .With("urgency", call_state.call.urgency)
      .With("arrived", result.reached_server ? 1 : 0)
      .With("ran_ms", ToMillis(BootClock::now() - call_state.attempt_began))
      .With("answer_bytes", result.response_bytes)
      .With("relayed_ms", result.relay_time.count())
      .With("left_ms", ToMillis(call_state.call.deadline - BootClock::now()))
      .With("config", ToString(call_state.config->version()));
}

}  // namespace wisteriarill
