/// \file
/// What a caller is told about its request: whether it ran, and if not, why.
#ifndef WISTERIARILL_REQUEST_OUTCOME_H_
#define WISTERIARILL_REQUEST_OUTCOME_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Whether a request ran.
enum class Outcome : std::uint8_t {
  kDone,     ///< The backend server responded.
  kNotRun,   ///< Proved not to have run at any backend server.
  kUnknown,  ///< The request may have run.
};

/// Returns the value of the Wisteria-Outcome header.
std::string_view ToString(Outcome outcome);

/// Why a request has no response from a backend server. Nodes exchange these
/// values as numbers, so their order must not change.
enum class Refusal : std::uint8_t {
  kNone,
  kUnknownKey,          ///< The API key is missing or unknown.
  kWrongWorkspace,      ///< The route does not allow the workspace.
  kNoRoute,             ///< No route matches the request.
  kOverRate,            ///< The workspace exceeded its rate.
  kNotReady,            ///< The node has no usable configuration.
  kOverload,            ///< The backend servers are at their limits.
  kNoServer,            ///< No backend server can take the call.
  kStaleConfiguration,  ///< The serving node's configuration is too old.
  kWrongInstance,       ///< The serving node was restarted or replaced.
  kFailureDomainOut,    ///< The failure domain is out of service.
  kLeaving,             ///< The backend server is leaving.
  kDeadline,            ///< The deadline passed before the call ran.
  kDuplicate,           ///< The request id was used before.
  kBadRequest,          ///< The request is malformed.
  kBackendBroken,       ///< The backend server closed the connection.
  kNoAnswer,            ///< No response arrived before the deadline.
};

/// How callers see a Refusal: an RFC 9457 problem.
struct Problem {
  int status;
  std::string_view type;  ///< Last component of the problem's type URI.
  std::string_view title;
  std::string_view remedy;  ///< What the caller can do; sent as `detail`.
};

/// Returns the problem for `refusal` with `outcome`. If the status of `refusal`
/// contradicts `outcome` about whether the request ran, status and remedy
/// follow `outcome`.
Problem ProblemFor(Refusal refusal, Outcome outcome);

/// Returns `problem` as an application/problem+json document. `instance` is the
/// request id.
std::string ProblemDocument(const Problem& problem, std::string_view instance);

/// Returns the name of `refusal` in logs, metrics and problem types.
std::string_view ToString(Refusal refusal);

}  // namespace wisteriarill

#endif  // WISTERIARILL_REQUEST_OUTCOME_H_
