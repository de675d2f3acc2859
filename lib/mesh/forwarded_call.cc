#include "wisteriarill/mesh/forwarded_call.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wisteriarill {
namespace {

/// Names of fields that only nodes write begin with this.
constexpr std::string_view kNodeFieldPrefix = "Wisteria-";

// Fields of a forwarded call.
constexpr const char* kCallIdField = "Wisteria-Call";
constexpr const char* kWorkspaceField = "Wisteria-Workspace";
constexpr const char* kCallerField = "Wisteria-Caller";
constexpr const char* kServiceField = "Wisteria-Service";
constexpr const char* kInstanceField = "Wisteria-Instance";
constexpr const char* kFlagsField = "Wisteria-Flags";
constexpr const char* kUrgencyField = "Wisteria-Urgency";
constexpr const char* kDeadlineField = "Wisteria-Deadline-Millis";
constexpr const char* kStartDeadlineField = "Wisteria-Patience-Millis";
constexpr const char* kRouteField = "Wisteria-Route";
constexpr const char* kRateLimitField = "Wisteria-Limit";  // Per 1000 seconds.
constexpr const char* kRateLimitAgeField = "Wisteria-Limit-Age-Millis";

// Fields of a response that tell how an attempt ended at the serving node.
constexpr const char* kOutcomeField = "Wisteria-Outcome";
constexpr const char* kReasonField = "Wisteria-Reason";
constexpr const char* kRetryAfterField = "Wisteria-Retry-Millis";
constexpr const char* kReachedServerField = "Wisteria-Arrived";
/// Field of a relayed response: the microseconds that the call ran at the
/// server.
constexpr const char* kServiceTimeField = "Wisteria-Ran-Micros";

constexpr int kFirstErrorStatus = 400;
/// Status of a request whose handling failed, and which may have run.
constexpr int kStatusInternalError = 500;

constexpr const char* kExpectField = "Expect";
/// Shorter bodies are sent without asking, because the link is free again about
/// as soon as the permission would arrive.
constexpr std::size_t kMinAnnouncedBytes = 8U << 10;

/// Offset added to an urgency on the wire, because ParseDecimal accepts no
/// negative numbers.
constexpr std::int32_t kUrgencyOffset = 1000;

std::string MillisecondsUntil(Instant at, Instant now) {
  return std::to_string(std::max<std::int64_t>(0, ToMillis(at - now)));
}

/// Requests per second are sent as a whole number of requests in this time.
constexpr double kRateLimitSeconds = 1000;
constexpr std::uint64_t kMaxToldRequests = 1'000'000'000;
/// Maximum of the times and the urgency that a peer may send.
constexpr std::uint64_t kMaxMillis = 3'600'000;
constexpr std::uint64_t kMaxEncodedUrgency = 1U << 20;

milliseconds BoundedMillis(std::uint64_t millis) {
  return milliseconds(std::min(millis, kMaxMillis));
}

std::string FieldOrEmpty(const HttpFields& fields, const char* name) {
  const std::string* value = FindField(fields, name);
  return value == nullptr ? std::string() : *value;
}

void AddToldRateLimit(const ToldRateLimit& told, HttpFields* fields) {
  const auto requests =
      static_cast<std::uint64_t>(told.rate * kRateLimitSeconds);
  fields->push_back({kRateLimitField, std::to_string(requests)});
  fields->push_back({kRateLimitAgeField, std::to_string(told.age.count())});
}

std::optional<ToldRateLimit> ParseToldRateLimit(const HttpFields& fields) {
  const auto requests = ParseDecimal(FieldOrEmpty(fields, kRateLimitField));
  const auto age = ParseDecimal(FieldOrEmpty(fields, kRateLimitAgeField));
  if (!requests || !age) return std::nullopt;
  const auto bounded =
      static_cast<double>(std::min(*requests, kMaxToldRequests));
  return ToldRateLimit{bounded / kRateLimitSeconds, BoundedMillis(*age)};
}

constexpr std::array<std::pair<AttemptOutcome, std::string_view>, 4>
    kForwardedOutcomes = {{
        {AttemptOutcome::kNotRun, "not-run"},
        {AttemptOutcome::kUnknown, "unknown"},
        {AttemptOutcome::kDeadlinePassed, "late"},
        {AttemptOutcome::kClientDisconnected, "gone"},
    }};

/// Room for the fields of a call in a head: names of the configuration, an id,
/// and a few numbers.
constexpr std::size_t kMaxCallFieldBytes = 8U << 10;

}  // namespace

CallerLimits PeerLimits(const CallerLimits& published) {
  CallerLimits limits;
  limits.max_header_bytes =
      std::max(limits.max_header_bytes, published.max_header_bytes) +
      kMaxCallFieldBytes;
  return limits;
}

void EraseNodeFields(HttpFields* fields) {
  EraseFieldsWithPrefix(fields, kNodeFieldPrefix);
}

PeerResponseOrigin OriginOf(const HttpResponseHead& head) {
  if (FindField(head.fields, kOutcomeField) != nullptr)
    return PeerResponseOrigin::kPeer;
  if (FindField(head.fields, kServiceTimeField) != nullptr)
    return PeerResponseOrigin::kServer;
  const bool refused =
      head.status >= kFirstErrorStatus && head.status != kStatusInternalError;
  return refused ? PeerResponseOrigin::kRefusal : PeerResponseOrigin::kUnknown;
}

void MarkServerResponse(HttpFields* fields, microseconds service_time) {
  fields->push_back({kServiceTimeField, std::to_string(service_time.count())});
}

microseconds TakeServerResponseMark(HttpFields* fields) {
  const microseconds service_time(
      ParseDecimal(FieldOrEmpty(*fields, kServiceTimeField)).value_or(0));
  EraseField(fields, kServiceTimeField);
  return service_time;
}

bool IsForwardedCall(const HttpRequest& request) {
  return FindField(request.fields, kCallIdField) != nullptr;
}

bool AsksBeforeBody(const MeshCall& call) {
  return call.upload && call.request.body.size() >= kMinAnnouncedBytes;
}

BodyDecision MakeBodyRefusal(milliseconds retry_after) {
  AttemptResult refused;
  refused.outcome = AttemptOutcome::kNotRun;
  refused.reason = kLinkFullReason;
  refused.retry_after = retry_after;
  BodyDecision decision;
  decision.admitted = false;
  decision.refusal_fields = MakeForwardResult(refused);
  return decision;
}

milliseconds MaxStartDelay(const HttpFields& fields) {
  return BoundedMillis(
      ParseDecimal(FieldOrEmpty(fields, kStartDeadlineField)).value_or(0));
}

HttpRequest MakeForwardRequest(const MeshCall& call, Instant now) {
  HttpRequest request;
  request.method = call.request.method;
  request.target = call.request.target;
  request.fields = call.request.fields;
  HttpFields& fields = request.fields;
  fields.push_back({kCallIdField, call.id});
  fields.push_back({kWorkspaceField, call.workspace});
  fields.push_back({kCallerField, call.caller});
  fields.push_back({kServiceField, call.service});
  fields.push_back({kInstanceField, call.instance});
  if (!call.route.empty()) fields.push_back({kRouteField, call.route});
  if (call.told_rate_limit) AddToldRateLimit(*call.told_rate_limit, &fields);
  std::string flags;
  if (call.idempotent) flags += 'i';
  if (call.download) flags += 'd';
  if (call.is_retry) flags += 'r';
  if (call.waits_for_rate) flags += 'q';
  if (AsksBeforeBody(call)) {
    flags += 'e';
    SetField(&fields, kExpectField, "100-continue");
  }
  flags += 'w';  // Interim responses are wanted.
  fields.push_back({kFlagsField, flags});
  fields.push_back(
      {kUrgencyField, std::to_string(call.urgency + kUrgencyOffset)});
  fields.push_back({kDeadlineField, MillisecondsUntil(call.deadline, now)});
  fields.push_back(
      {kStartDeadlineField, MillisecondsUntil(call.start_deadline, now)});
  return request;
}

std::optional<MeshCall> ParseForwardRequest(HttpRequest* request, Instant now) {
  MeshCall call;
  HttpFields& fields = request->fields;
  call.id = FieldOrEmpty(fields, kCallIdField);
  call.workspace = FieldOrEmpty(fields, kWorkspaceField);
  call.caller = FieldOrEmpty(fields, kCallerField);
  call.service = FieldOrEmpty(fields, kServiceField);
  call.route = FieldOrEmpty(fields, kRouteField);
  call.instance = FieldOrEmpty(fields, kInstanceField);
  const std::string flags = FieldOrEmpty(fields, kFlagsField);
  call.idempotent = flags.find('i') != std::string::npos;
  call.download = flags.find('d') != std::string::npos;
  call.is_retry = flags.find('r') != std::string::npos;
  call.waits_for_rate = flags.find('q') != std::string::npos;
  call.wants_interim_responses = flags.find('w') != std::string::npos;
  const auto urgency = ParseDecimal(FieldOrEmpty(fields, kUrgencyField));
  const auto deadline = ParseDecimal(FieldOrEmpty(fields, kDeadlineField));
  const auto start_deadline =
      ParseDecimal(FieldOrEmpty(fields, kStartDeadlineField));
  if (call.id.empty() || call.instance.empty() || !urgency || !deadline ||
      !start_deadline) {
    return std::nullopt;
  }
  call.told_rate_limit = ParseToldRateLimit(fields);
  call.urgency =
      static_cast<std::int32_t>(std::min(*urgency, kMaxEncodedUrgency)) -
      kUrgencyOffset;
  call.deadline = now + BoundedMillis(*deadline);
  call.start_deadline = now + BoundedMillis(*start_deadline);
  // The expectation was this node's own matter.
  if (flags.find('e') != std::string::npos) EraseField(&fields, kExpectField);
  EraseNodeFields(&fields);
  EraseHopByHopFields(&fields);
  call.request = std::move(*request);
  return call;
}

HttpFields MakeForwardResult(const AttemptResult& result) {
  HttpFields fields;
  fields.push_back({kOutcomeField, std::string(ToString(result.outcome))});
  fields.push_back({kReasonField, result.reason});
  fields.push_back(
      {kRetryAfterField, std::to_string(result.retry_after.count())});
  if (result.reached_server) fields.push_back({kReachedServerField, "1"});
  return fields;
}

std::optional<AttemptResult> ParseForwardResult(const HttpResponseHead& head) {
  const std::string* outcome = FindField(head.fields, kOutcomeField);
  if (outcome == nullptr) return std::nullopt;
  AttemptResult result;
  for (const auto& [outcome_value, name] : kForwardedOutcomes) {
    if (*outcome == name) result.outcome = outcome_value;
  }
  result.reason = FieldOrEmpty(head.fields, kReasonField);
  result.reached_server =
      FindField(head.fields, kReachedServerField) != nullptr;
  result.retry_after = BoundedMillis(
      ParseDecimal(FieldOrEmpty(head.fields, kRetryAfterField)).value_or(0));
  return result;
}

}  // namespace wisteriarill
