#include "wisteriarill/request/outcome.h"

#include <Poco/JSON/Object.h>

#include <array>
#include <sstream>

namespace wisteriarill {
namespace {

constexpr std::string_view kRetryLater =
    "the request did not run; send it again after a moment";
constexpr std::string_view kMayHaveRun =
    "the request may have run; check its effect before sending it again";

struct RefusalText {
  std::string_view name;
  int status;
  std::string_view title;
  std::string_view remedy;
};

// Indexed by Refusal.
constexpr std::array<RefusalText, 17> kRefusalTexts = {{
    {"none", 200, "ok", ""},
    {"unknown-key", 401, "the key is missing, unknown or withdrawn",
     "send Authorization: Bearer with a key granted to your workspace"},
    {"wrong-workspace", 403, "the workspace may not use this route",
     "use a route of your workspace or ask the operators for access"},
    {"no-route", 404, "no route matches host, path and method",
     "check the address against the operators' routes"},
    {"over-rate", 429, "the workspace is over its rate",
     "wait for the time in Retry-After, then send it again"},
    {"not-ready", 503, "this node has no usable configuration", kRetryLater},
    {"overload", 503, "the backend servers are at their limit", kRetryLater},
    {"no-server", 503, "no backend server can take the request", kRetryLater},
    {"behind", 503, "the node had an older configuration", kRetryLater},
    {"wrong-instance", 503, "the backend server's node was replaced",
     kRetryLater},
    {"failure-domain-out", 503, "the failure domain is out of service",
     kRetryLater},
    {"leaving", 503, "the backend server is leaving", kRetryLater},
    {"deadline", 503, "the deadline passed before the request could run",
     "send it again with a longer Wisteria-Deadline"},
    {"duplicate", 409, "the request id was used before", kMayHaveRun},
    {"bad-request", 400, "the request is malformed",
     "correct the request; it did not run"},
    {"backend-broken", 502, "the backend server broke off", kMayHaveRun},
    {"silent", 504, "no answer came within the deadline", kMayHaveRun},
}};

}  // namespace

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToString(Refusal refusal) {
  return kRefusalTexts.at(static_cast<std::size_t>(refusal)).name;
}

Problem ProblemFor(Refusal refusal, Outcome outcome) {
  const RefusalText& text = kRefusalTexts.at(static_cast<std::size_t>(refusal));
  Problem problem{text.status, text.name, text.title, text.remedy};
  const bool claims_not_run = text.status == 503;
  if (outcome == Outcome::kUnknown && claims_not_run) {
    problem.status = 504;
    problem.remedy = kMayHaveRun;
  }
  if (outcome == Outcome::kNotRun && text.status > 503) {
    problem.status = 503;
    problem.remedy = kRetryLater;
  }
  if (outcome == Outcome::kNotRun && text.status == 502) {
    problem.status = 503;
    problem.remedy = kRetryLater;
  }
  return problem;
}

std::string ProblemDocument(const Problem& problem, std::string_view instance) {
  Poco::JSON::Object document(Poco::JSON_PRESERVE_KEY_ORDER);
  document.set("type", "urn:wisteriarill:problem:" + std::string(problem.type));
  document.set("title", std::string(problem.title));
  document.set("status", problem.status);
  document.set("detail", std::string(problem.remedy));
  document.set("instance", std::string(instance));
  std::ostringstream text;
  document.stringify(text);
  return text.str();
}

}  // namespace wisteriarill
