#include "wisteriarill/mesh/forwarded_call.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wisteriarill {
namespace {

constexpr const char* kCall = "Wisteria-Call";
constexpr const char* kWorkspace = "Wisteria-Workspace";
constexpr const char* kCaller = "Wisteria-Caller";
constexpr const char* kService = "Wisteria-Service";
constexpr const char* kInstance = "Wisteria-Instance";
constexpr const char* kFlags = "Wisteria-Flags";
constexpr const char* kUrgency = "Wisteria-Urgency";
constexpr const char* kDeadline = "Wisteria-Deadline-Millis";
constexpr const char* kPatience = "Wisteria-Patience-Millis";

constexpr std::array<const char*, 9> kCallFields = {
    kCall,  kWorkspace, kCaller,   kService, kInstance,
    kFlags, kUrgency,   kDeadline, kPatience};

/// Urgencies are sent with this added, so that none is negative.
constexpr std::int32_t kUrgencyBase = 1000;

std::string MillisUntil(Instant at, Instant now) {
  return std::to_string(std::max<std::int64_t>(0, ToMillis(at - now)));
}

std::string Take(const HttpFields& fields, const char* name) {
  const std::string* value = FindField(fields, name);
  return value == nullptr ? std::string() : *value;
}

constexpr std::array<std::pair<AttemptOutcome, std::string_view>, 4> kEnds = {{
    {AttemptOutcome::kNotRun, "not-run"},
    {AttemptOutcome::kUnknown, "unknown"},
    {AttemptOutcome::kDeadlinePassed, "late"},
    {AttemptOutcome::kClientDisconnected, "gone"},
}};

}  // namespace

HttpRequest MakeHopRequest(const MeshCall& call, Instant now) {
  HttpRequest request;
  request.method = call.request.method;
  request.target = call.request.target;
  request.fields = call.request.fields;
  HttpFields& fields = request.fields;
  for (const char* name : kCallFields) EraseField(&fields, name);
  fields.push_back({kCall, call.id});
  fields.push_back({kWorkspace, call.workspace});
  fields.push_back({kCaller, call.caller});
  fields.push_back({kService, call.service});
  fields.push_back({kInstance, call.instance});
  std::string flags;
  if (call.idempotent) flags += 'i';
  if (call.download) flags += 'd';
  fields.push_back({kFlags, flags});
  fields.push_back({kUrgency, std::to_string(call.urgency + kUrgencyBase)});
  fields.push_back({kDeadline, MillisUntil(call.deadline, now)});
  fields.push_back({kPatience, MillisUntil(call.start_deadline, now)});
  return request;
}

std::optional<MeshCall> ParseHopRequest(HttpRequest* request, Instant now) {
  MeshCall call;
  HttpFields& fields = request->fields;
  call.id = Take(fields, kCall);
  call.workspace = Take(fields, kWorkspace);
  call.caller = Take(fields, kCaller);
  call.service = Take(fields, kService);
  call.instance = Take(fields, kInstance);
  const std::string flags = Take(fields, kFlags);
  call.idempotent = flags.find('i') != std::string::npos;
  call.download = flags.find('d') != std::string::npos;
  const auto urgency = ParseDecimal(Take(fields, kUrgency));
  const auto deadline = ParseDecimal(Take(fields, kDeadline));
  const auto patience = ParseDecimal(Take(fields, kPatience));
  if (call.id.empty() || call.instance.empty() || !urgency || !deadline ||
      !patience) {
    return std::nullopt;
  }
  call.urgency = static_cast<std::int32_t>(*urgency) - kUrgencyBase;
  call.deadline = now + milliseconds(*deadline);
  call.start_deadline = now + milliseconds(*patience);
  for (const char* name : kCallFields) EraseField(&fields, name);
  EraseHopByHopFields(&fields);
  call.request = std::move(*request);
  return call;
}

HttpFields MakeHopResult(const AttemptResult& result) {
  HttpFields fields;
  fields.push_back({kHopOutcome, std::string(ToString(result.outcome))});
  fields.push_back({kHopReason, result.reason});
  fields.push_back(
      {kHopRetryAfter, std::to_string(result.retry_after.count())});
  if (result.reached_server) fields.push_back({kHopArrived, "1"});
  return fields;
}

std::optional<AttemptResult> ParseHopResult(const HttpResponseHead& head) {
  const std::string* outcome = FindField(head.fields, kHopOutcome);
  if (outcome == nullptr) return std::nullopt;
  AttemptResult result;
  for (const auto& [end, name] : kEnds) {
    if (*outcome == name) result.outcome = end;
  }
  result.reason = Take(head.fields, kHopReason);
  result.reached_server = FindField(head.fields, kHopArrived) != nullptr;
  result.retry_after =
      milliseconds(ParseDecimal(Take(head.fields, kHopRetryAfter)).value_or(0));
  return result;
}

}  // namespace wisteriarill
