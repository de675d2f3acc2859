#include "wisteriarill/mesh/ingress.h"

#include <algorithm>
#include <utility>

#include "ingress_call_state.h"
#include "wisteriarill/mesh/response_relay.h"
#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kDefaultDeadline{30000};
/// Retry-After while the node has no configuration yet.
constexpr milliseconds kNotReadyRetry{200};
constexpr milliseconds kNoServerRetry{150};
constexpr milliseconds kLeastRetryAfter{50};
/// A call waits this long for a token of its workspace, or four tenths of its
/// latency objective if that is longer: a late answer is worth more to its
/// caller than a refusal although the workspace is within its rate.
constexpr milliseconds kLeastRateWait{120};
/// Servers without room that a call is offered to; others that are known to
/// have none are not asked at all.
constexpr int kMostFullAnswers = 2;
/// A call that a server makes while it runs another goes before all others:
/// refusing it wastes what has run already.
constexpr std::int32_t kNestedUrgency = -1;
constexpr std::string_view kBearer = "Bearer ";

std::string SecondsText(milliseconds time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f",
                std::chrono::duration<double>(time).count());
  return text;
}

// Returns the caller's deadline field as a time, or the default.
milliseconds DeadlineOf(const HttpFields& fields, const std::string& name) {
  const std::string* text = FindField(fields, name);
  if (text == nullptr) return kDefaultDeadline;
  const std::size_t dot = std::min(text->find('.'), text->size());
  const auto millis = ParseDecimal(std::string_view(*text).substr(0, dot));
  return millis ? milliseconds(*millis) : kDefaultDeadline;
}

}  // namespace

RetryRequester Ingress::ClaimOf(const Serving& serving) {
  return serving.nested ? RetryRequester::kServer : RetryRequester::kCaller;
}

Ingress::Ingress(const IngressParts& parts)
    : parts_(parts), choice_(Hash64(parts.settings->name)) {}

Task<void> Ingress::Handle(ServerExchange* exchange) {
  Serving serving;
  serving.exchange = exchange;
  serving.config = parts_.state->config();
  if (!parts_.state->serving()) {
    co_return co_await Refuse(&serving, 503, "no-configuration",
                              kNotReadyRetry);
  }
  if (!CheckRequest(&serving)) {
    const bool known = !serving.call.id.empty();
    co_return co_await Refuse(&serving, known ? 404 : 400,
                              known ? "no-route" : "no-request-id", {});
  }
  const bool nested = serving.route->open && serving.config->has_workspaces();
  if (!taking_ && !nested) {
    co_return co_await Refuse(&serving, 503, "stopping", kLeastRetryAfter);
  }
  if (!CheckKey(&serving)) {
    co_return co_await Refuse(&serving, 401, "unknown-key", {});
  }
  if (!co_await CheckRate(&serving)) co_return;
  PrepareCall(&serving);
  co_await TryServers(&serving);
}

bool Ingress::CheckRequest(Serving* serving) {
  HttpRequest& request = serving->exchange->request();
  const Instant received = serving->exchange->received();
  const std::string* id = FindField(request.fields, parts_.dialect->request_id);
  if (id == nullptr || id->empty()) return false;
  serving->call.id = *id;
  serving->caller_deadline =
      received + DeadlineOf(request.fields, parts_.dialect->deadline);
  const std::string* host = FindField(request.fields, "Host");
  serving->route = serving->config->FindRoute(HostWithoutPort(*host),
                                              PathWithoutQuery(request.target));
  return serving->route != nullptr;
}

bool Ingress::CheckKey(Serving* serving) {
  HttpFields& fields = serving->exchange->request().fields;
  const std::string* authorization = FindField(fields, "Authorization");
  const MeshConfig& config = *serving->config;
  if (!config.has_workspaces() || serving->route->open) return true;
  if (authorization == nullptr || !authorization->starts_with(kBearer)) {
    return false;
  }
  const std::string_view key =
      std::string_view(*authorization).substr(kBearer.size());
  serving->workspace = config.FindWorkspaceByKey(key);
  return serving->workspace != nullptr;
}

Task<bool> Ingress::CheckRate(Serving* serving) {
  if (serving->workspace == nullptr || serving->workspace->rate <= 0) {
    co_return true;
  }
  const milliseconds most_wait =
      std::max(kLeastRateWait, serving->route->latency_objective * 4 / 10);
  const RateLimitDecision verdict =
      co_await parts_.peer_service->Admit(serving->workspace->name, most_wait);
  if (verdict.admitted) co_return true;
  co_await Refuse(serving, 429, verdict.reason, verdict.retry_after);
  co_return false;
}

std::string Ingress::PickService(const MeshRoute& route) {
  if (route.targets.size() == 1) return route.targets.front().service;
  // Each request adds every target's weight to its credit; the richest is
  // chosen and pays the sum, so shares are kept in any run of requests.
  std::map<std::string, double>& credit = split_credit_[route.name];
  double sum = 0;
  const RouteTarget* chosen = nullptr;
  for (const RouteTarget& target : route.targets) {
    sum += target.weight;
    credit[target.service] += target.weight;
    if (target.weight == 0) continue;
    if (chosen == nullptr || credit[target.service] > credit[chosen->service]) {
      chosen = &target;
    }
  }
  if (chosen == nullptr) return route.targets.front().service;
  credit[chosen->service] -= sum;
  return chosen->service;
}

void Ingress::PrepareCall(Serving* serving) {
  const MeshRoute& route = *serving->route;
  MeshCall& call = serving->call;
  const Instant received = serving->exchange->received();
  call.request = std::move(serving->exchange->request());
  EraseHopByHopFields(&call.request.fields);
  EraseField(&call.request.fields, "Authorization");
  EraseField(&call.request.fields, parts_.dialect->workspace);
  call.workspace = serving->workspace ? serving->workspace->name : "";
  call.caller = parts_.settings->service;
  call.service = PickService(route);
  call.idempotent = route.idempotent;
  call.download = route.download;
  call.urgency = route.priority;
  if (serving->workspace != nullptr && serving->workspace->priority) {
    call.urgency = *serving->workspace->priority;
  }
  if (serving->nested) call.urgency = kNestedUrgency;
  call.deadline = serving->caller_deadline;
  if (route.timeout.count() > 0) {
    call.deadline = std::min(call.deadline, received + route.timeout);
  }
  nanoseconds patience =
      patience_.QueueTimeout(route.name, route.latency_objective);
  // A late answer still saves what the server that waits for it has run.
  if (serving->nested) {
    patience =
        std::max<nanoseconds>(patience, (call.deadline - received) * 6 / 10);
  }
  call.start_deadline = std::min<Instant>(call.deadline, received + patience);
}

bool Ingress::ChooseServer(Serving* serving) {
  const Instant now = BootClock::now();
  const Membership& membership = parts_.state->membership();
  std::vector<ServerCandidate> views;
  std::vector<const BackendEntry*> entries;
  for (const auto& [instance, entry] : membership.entries()) {
    if (entry.service != serving->call.service) continue;
    if (!membership.AcceptsCalls(entry)) continue;
    if (serving->tried.contains(instance)) continue;
    ServerCandidate view;
    view.instance = instance;
    view.load.slots = entry.slots;
    view.load.service_time = milliseconds(50);
    view.same_failure_domain = entry.failure_domain == parts_.settings->failure_domain;
    const auto failures = failure_share_.find(instance);
    if (failures != failure_share_.end()) view.failure_rate = failures->second;
    if (entry.ip == parts_.settings->ip) {
      if (instance != parts_.backend->instance()) continue;
      view.local = true;
      view.load = parts_.backend->load(now);
    } else {
      const Peer* peer = parts_.peers->Find(entry.ip);
      if (peer == nullptr) continue;
      if (peer->IsFullFor(serving->call.urgency, now)) {
        serving->all_full = true;
        continue;
      }
      if (!peer->IsReachable(now)) continue;
      view.calls_since_heartbeat = peer->calls_since_heartbeat;
      if (peer->last_heard != kNever) view.load = peer->heartbeat.load;
    }
    views.push_back(view);
    entries.push_back(&entry);
  }
  if (views.empty()) return false;
  const std::size_t chosen = choice_.Choose(views, serving->call.download);
  serving->target = *entries[chosen];
  serving->call.instance = serving->target.instance;
  return true;
}

Task<AttemptResult> Ingress::Attempt(Serving* serving) {
  ++serving->attempts;
  serving->tried.insert(serving->target.instance);
  serving->attempt_began = BootClock::now();
  MeshCall& call = serving->call;
  call.retry_on_failure =
      call.idempotent &&
      serving->servers_used + 1 < serving->route->max_servers &&
      budget_.CanRetry(call.service, ClaimOf(*serving),
                        serving->attempt_began);
  if (serving->target.ip == parts_.settings->ip) {
    const RelayOptions relay{kHeldAnswer, nullptr};
    co_return co_await parts_.backend->Run(call, serving->exchange, relay);
  }
  Peer* peer = parts_.peers->Find(serving->target.ip);
  if (peer == nullptr) {
    AttemptResult result;
    result.outcome = AttemptOutcome::kNotRun;
    result.reason = "peer-unknown";
    co_return result;
  }
  ++peer->calls_since_heartbeat;
  co_return co_await AttemptRemote(serving, peer);
}

// One line for a call says where it went in vain; an attempt that a server saw
// has a line of its own.
void Ingress::NoteTrail(Serving* serving, const AttemptResult& result) {
  if (result.outcome == AttemptOutcome::kDelivered) return;
  if (result.reason == kBackendFullReason) ++serving->full_answers;
  if (!serving->trail.empty()) serving->trail += ',';
  serving->trail.append(serving->call.instance).append(":");
  serving->trail.append(result.reason);
  if (result.outcome != AttemptOutcome::kNotRun || result.reached_server) {
    Record(*serving, result);
  }
}

void Ingress::NoteOutcome(Serving* serving, const AttemptResult& result) {
  constexpr double kSampleShare = 0.1;
  const bool failed = result.outcome == AttemptOutcome::kFailed ||
                      result.outcome == AttemptOutcome::kUnknown ||
                      result.outcome == AttemptOutcome::kTruncated ||
                      (result.outcome == AttemptOutcome::kNotRun && result.reached_server) ||
                      result.status >= 500;
  if (result.service_time.count() > 0 && !failed) {
    patience_.OnServiceTime(serving->route->name, result.service_time);
  }
  const bool counts = failed || result.outcome == AttemptOutcome::kDelivered;
  if (!counts) return;
  double& share = failure_share_[serving->target.instance];
  share += ((failed ? 1.0 : 0.0) - share) * kSampleShare;
  if (failure_share_.size() > kMostFailureShares) failure_share_.clear();
}

bool Ingress::MayTryAgain(Serving* serving, const AttemptResult& result) {
  const Instant now = BootClock::now();
  if (now >= serving->call.deadline) return false;
  if (serving->exchange->client_disconnected() || serving->exchange->response_started()) return false;
  if (serving->attempts >= kMostAttempts) return false;
  if (serving->full_answers >= kMostFullAnswers) return false;
  const bool not_run = result.outcome == AttemptOutcome::kNotRun;
  const bool repeatable =
      serving->call.idempotent &&
      (result.outcome == AttemptOutcome::kFailed || result.outcome == AttemptOutcome::kUnknown);
  if (!not_run && !repeatable) return false;
  if (!result.reached_server) return true;
  if (serving->servers_used >= serving->route->max_servers) return false;
  return budget_.TryTakeRetry(serving->call.service, ClaimOf(*serving), now);
}

Task<void> Ingress::TryServers(Serving* serving) {
  budget_.Configure(
      {parts_.settings->retry_ratio,
       std::chrono::duration_cast<seconds>(parts_.settings->retry_window),
       parts_.settings->retry_slack,
       parts_.peers->NodeCount(BootClock::now())});
  budget_.OnFirstAttempt(serving->call.service, BootClock::now());
  AttemptResult result;
  result.outcome = AttemptOutcome::kNotRun;
  result.reason = "no-server";
  result.retry_after = kNoServerRetry;
  for (;;) {
    if (!ChooseServer(serving)) {
      if (serving->all_full && serving->attempts == 0) {
        result.reason = kBackendFullReason;
      }
      break;
    }
    result = co_await Attempt(serving);
    if (result.reached_server) ++serving->servers_used;
    if (result.outcome != AttemptOutcome::kNotRun) serving->may_have_run = true;
    NoteOutcome(serving, result);
    NoteTrail(serving, result);
    if (!MayTryAgain(serving, result)) break;
  }
  co_await Conclude(serving, result);
}

Task<void> Ingress::Conclude(Serving* serving, const AttemptResult& result) {
  const bool served = result.outcome == AttemptOutcome::kDelivered;
  const auto latency = std::chrono::duration_cast<microseconds>(
      BootClock::now() - serving->exchange->received());
  CallRecord record;
  record.workspace = serving->call.workspace;
  record.call_class =
      serving->call.download ? CallClass::kBulk : CallClass::kInteractive;
  record.outcome = served ? Outcome::kDone : Outcome::kUnknown;
  record.latency = latency;
  parts_.metrics->RecordCall(record);
  if (served) {
    const bool plain = serving->call.idempotent && serving->trail.empty() &&
                       latency < serving->route->latency_objective;
    if (!plain) Record(*serving, result);
    co_return;
  }
  if (serving->exchange->client_disconnected()) co_return;
  if (serving->exchange->response_started()) co_return serving->exchange->AbortResponse();
  const bool late = BootClock::now() >= serving->call.deadline;
  if (serving->may_have_run) {
    co_return co_await Refuse(serving, late ? 504 : 502, result.reason, {});
  }
  if (late) {
    co_return co_await Refuse(serving, 504, "deadline-passed", {});
  }
  co_await Refuse(serving, 503, result.reason,
                  std::max(result.retry_after, kLeastRetryAfter));
}

Task<void> Ingress::Refuse(Serving* serving, int status, std::string reason,
                           milliseconds retry_after) {
  LogEvent(LogLevel::kInfo, "call_refused")
      .With("id", serving->call.id)
      .With("status", status)
      .With("reason", reason)
      .With("route", serving->route ? serving->route->name : "")
      .With("workspace",
            serving->workspace ? serving->workspace->name : std::string())
      .With("attempts", serving->attempts)
      .With("tried", serving->trail)
      .With("config", serving->config ? ToString(serving->config->version())
                                      : std::string("none"))
      .With("after_ms",
            ToMillis(BootClock::now() - serving->exchange->received()))
      .With("retry_after_ms", retry_after.count());
  parts_.metrics->Add("wisteria_refused{status=\"" + std::to_string(status) +
                      "\",reason=\"" + reason + "\"}");
  HttpFields fields;
  if (!serving->call.id.empty()) {
    fields.push_back({parts_.dialect->request_id, serving->call.id});
  }
  if (retry_after.count() > 0) {
    fields.push_back({"Retry-After", SecondsText(retry_after)});
  }
  fields.push_back({"Content-Type", "text/plain"});
  co_await serving->exchange->SendResponse(status, std::move(fields), reason + "\n");
}

void Ingress::Record(const Serving& serving, const AttemptResult& result) {
  LogEvent(LogLevel::kInfo, "attempt")
      .With("id", serving.call.id)
      .With("end", ToString(result.outcome))
      .With("reason", result.reason)
      .With("status", result.status)
      .With("server", serving.call.instance)
      .With("service", serving.call.service)
      .With("attempt", serving.attempts)
      .With("tried", serving.trail)
      .With("urgency", serving.call.urgency)
      .With("arrived", result.reached_server ? 1 : 0)
      .With("ran_ms", ToMillis(BootClock::now() - serving.attempt_began))
      .With("answer_bytes", result.response_bytes)
      .With("relayed_ms", result.relay_time.count())
      .With("left_ms", ToMillis(serving.call.deadline - BootClock::now()))
      .With("config", ToString(serving.config->version()));
}

}  // namespace wisteriarill
