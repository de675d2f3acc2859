/// \file
/// What a caller is told of its request: whether it ran, and why not.
#ifndef WISTERIARILL_REQUEST_OUTCOME_H_
#define WISTERIARILL_REQUEST_OUTCOME_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Whether a request ran.
enum class Outcome : std::uint8_t {
  kDone,     ///< The backend server answered.
  kNotRun,   ///< Proved: never handed to a backend server.
  kUnknown,  ///< It may have run.
};

/// Returns the value of the Wisteria-Outcome header.
std::string_view ToString(Outcome outcome);

/// Why a request has no answer from a backend server.
enum class Refusal : std::uint8_t {
  kNone,
  kUnknownKey,
  kWrongWorkspace,
  kNoRoute,
  kOverRate,
  kNotReady,
  kOverload,
  kNoServer,
  kStaleConfiguration,
  kWrongInstance,
  kFailureDomainOut,
  kLeaving,
  kDeadline,
  kDuplicate,
  kBadRequest,
  kBackendBroken,
  kNoAnswer,
};

/// What callers see of a Refusal: an RFC 9457 problem.
struct Problem {
  int status;
  std::string_view type;  ///< Last part of the problem's type URI.
  std::string_view title;
  std::string_view remedy;  ///< What the caller can do.
};

/// Returns the problem that callers see for `refusal` with `outcome`.
Problem ProblemFor(Refusal refusal, Outcome outcome);

/// Returns an application/problem+json document.
std::string ProblemDocument(const Problem& problem, std::string_view instance);

/// Returns the name that logs, metrics and problem types use.
std::string_view ToString(Refusal refusal);

}  // namespace wisteriarill

#endif  // WISTERIARILL_REQUEST_OUTCOME_H_
