/// \file
/// What the ingress checks of a request before it tries servers: route, stop,
/// API key and rate limit.
#include <algorithm>
#include <utility>

#include "ingress_call_state.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kDefaultDeadline{30000};
/// Maximum of the deadline that a caller may set.
constexpr milliseconds kMaxDeadline = std::chrono::hours(1);
/// Minimum time that a call may wait for a token of its workspace; it may wait
/// longer if 40% of its latency objective is more. To a caller whose workspace
/// is within its rate, a late response is better than a refusal.
constexpr milliseconds kMinTokenWait{120};
/// Urgency of a nested call, relative to that of the call that makes it. It
/// goes before callers' requests of the same urgency, because refusing it
/// wastes the work already done.
constexpr std::int32_t kNestedUrgency = -1;
/// Distance between the urgencies of two priorities, so that there is room for
/// nested calls between them.
constexpr std::int32_t kUrgencyStep = 2;
constexpr std::string_view kBearerPrefix = "Bearer ";

/// Returns the time that the caller's deadline field allows, without its
/// fraction of a millisecond, or the default if the field is missing or
/// malformed.
milliseconds ParseDeadline(const HttpFields& fields, const std::string& name) {
  const std::string* text = FindField(fields, name);
  if (text == nullptr) return kDefaultDeadline;
  const std::size_t dot = std::min(text->find('.'), text->size());
  const auto millis = ParseDecimal(std::string_view(*text).substr(0, dot));
  if (!millis) return kDefaultDeadline;
  const std::uint64_t max_millis = kMaxDeadline.count();
  return milliseconds(std::min(*millis, max_millis));
}

}  // namespace

bool Ingress::MatchRoute(CallState* call_state) {
  HttpRequest& request = call_state->exchange->request();
  const Instant received = call_state->exchange->received();
  const std::string* id =
      FindField(request.fields, dependencies_.field_names->request_id);
  if (id == nullptr || id->empty()) return false;
  call_state->call.id = *id;
  call_state->caller_deadline =
      received +
      ParseDeadline(request.fields, dependencies_.field_names->deadline);
  const std::string* host = FindField(request.fields, "Host");
  call_state->route = call_state->config->FindRoute(
      HostWithoutPort(*host), PathWithoutQuery(request.target));
  return call_state->route != nullptr;
}

// Only servers call routes without keys where callers have keys. Otherwise a
// nested call is known by the call that makes it.
void Ingress::FindParentCall(CallState* call_state) const {
  if (call_state->config->has_workspaces()) {
    call_state->nested = call_state->route->open;
    return;
  }
  const RunningCall* parent =
      dependencies_.backend->FindParent(call_state->call.id);
  call_state->nested = parent != nullptr;
  if (parent != nullptr) call_state->parent_urgency = parent->urgency;
}

bool Ingress::IsAccepted(const CallState& call_state) const {
  if (!stop_) return true;
  const Instant received = call_state.exchange->received();
  const Instant deadline = CallDeadline(call_state);
  return call_state.nested ? stop_->AcceptsNestedCall(received, deadline)
                           : stop_->AcceptsRequest(received, deadline);
}

Instant Ingress::CallDeadline(const CallState& call_state) {
  const milliseconds timeout = call_state.route->timeout;
  if (timeout.count() == 0) return call_state.caller_deadline;
  return std::min<Instant>(call_state.caller_deadline,
                           call_state.exchange->received() + timeout);
}

bool Ingress::Authenticate(CallState* call_state) {
  HttpFields& fields = call_state->exchange->request().fields;
  const std::string* authorization = FindField(fields, "Authorization");
  const MeshConfig& config = *call_state->config;
  if (!config.has_workspaces() || call_state->route->open) return true;
  if (authorization == nullptr || !authorization->starts_with(kBearerPrefix)) {
    return false;
  }
  const std::string_view key =
      std::string_view(*authorization).substr(kBearerPrefix.size());
  call_state->workspace = config.FindWorkspaceByKey(key);
  return call_state->workspace != nullptr;
}

Task<bool> Ingress::CheckRateLimit(CallState* call_state) {
  if (call_state->workspace == nullptr || call_state->workspace->rate <= 0) {
    co_return true;
  }
  const milliseconds max_wait =
      std::max(kMinTokenWait, call_state->route->latency_objective * 4 / 10);
  const RateLimitDecision decision =
      co_await dependencies_.peer_service->rates()->Admit(
          call_state->workspace->name, max_wait);
  if (decision.admitted) co_return true;
  co_await Refuse(call_state, 429, decision.reason, decision.retry_after);
  co_return false;
}

std::string Ingress::PickService(const MeshRoute& route) {
  if (route.targets.size() == 1) return route.targets.front().service;
  // Smooth weighted round robin: each request adds every target's weight to its
  // credit, and the target with the highest credit is chosen and pays the sum
  // of the weights. This keeps the shares even over short runs of requests.
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

void Ingress::PrepareCall(CallState* call_state) {
  const MeshRoute& route = *call_state->route;
  MeshCall& call = call_state->call;
  const Instant received = call_state->exchange->received();
  call.request = std::move(call_state->exchange->request());
  EraseHopByHopFields(&call.request.fields);
  EraseField(&call.request.fields, "Authorization");
  EraseField(&call.request.fields, dependencies_.field_names->workspace);
  call.workspace = call_state->workspace ? call_state->workspace->name : "";
  call.caller = dependencies_.settings->service;
  call.service = PickService(route);
  call.idempotent = route.idempotent;
  call.download = route.download;
  call.upload = route.upload;
  if (call_state->config->controls_overload()) call.route = route.name;
  call.urgency = route.priority;
  if (call_state->workspace != nullptr && call_state->workspace->priority) {
    call.urgency = *call_state->workspace->priority;
  }
  if (call_state->config->controls_overload()) call.urgency *= kUrgencyStep;
  if (call_state->nested)
    call.urgency = call_state->parent_urgency.value_or(0) + kNestedUrgency;
  call.deadline = CallDeadline(*call_state);
  // A nested call that is known by the call that makes it may wait for as long
  // as its own deadline allows.
  const microseconds queue_timeout =
      call_state->parent_urgency
          ? queue_timeout_policy_.NestedQueueTimeout(
                route.name, std::chrono::duration_cast<microseconds>(
                                call.deadline - received))
          : queue_timeout_policy_.QueueTimeout(route.name,
                                               route.latency_objective);
  call.start_deadline =
      std::min<Instant>(call.deadline, received + queue_timeout);
}

}  // namespace wisteriarill
