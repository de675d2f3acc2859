/// \file
/// A call that passes through the mesh, and the result of one attempt at it.
#ifndef WISTERIARILL_MESH_CALL_H_
#define WISTERIARILL_MESH_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wisteriarill/admission/backend_statements.h"
#include "wisteriarill/mesh/http_message.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// A request that the ingress has checked. The ingress and the node beside the
/// server have the same view of it.
struct MeshCall {
  std::string id;  ///< Request id from the caller; servers echo it.
  HttpRequest request;
  std::string workspace;  ///< Empty on routes that need no key.
  std::string caller;     ///< Service of the VM that the request came from.
  std::string service;
  /// Route by which the serving node keeps service times apart; empty: with all
  /// others.
  std::string route;
  std::string instance;  ///< Instance of the backend server chosen to run it.
  bool idempotent = false;
  bool download = false;
  bool upload = false;    ///< The request body is large.
  bool is_retry = false;  ///< Another server ran it before, or may have.
  /// Discard a 5xx response of the server, because another server can be tried.
  bool retry_on_failure = false;
  /// The peer that forwarded the call reads any number of interim responses.
  /// Earlier versions don't.
  bool wants_interim_responses = false;
  /// Limit that the server named in a response that the ingress node relayed.
  std::optional<ToldRateLimit> told_rate_limit;
  /// No server without a limit is known that could run the call instead.
  bool waits_for_rate = false;
  std::int32_t urgency = 0;  ///< Lower values are admitted first.
  Instant deadline;
  Instant start_deadline;  ///< The call is rejected if it can't start by then.
};

/// Outcome of one attempt.
enum class AttemptOutcome {
  kDelivered,  ///< The client has the complete response.
  kNotRun,     ///< The call provably did not run and never will.
  kFailed,     ///< The server's failure response was discarded.
  kUnknown,    ///< It may have run; nothing was sent to the client.
  kTruncated,  ///< The response broke after a part was sent to the client.
  kClientDisconnected,  ///< The client closed the connection.
  kDeadlinePassed,      ///< The deadline passed before a response came.
};

/// Result of one attempt.
struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  std::string reason;  ///< For logs: one or more words joined by hyphens.
  bool reached_server = false;  ///< The backend server received the request.
  /// For kNotRun: expected time until a slot is free.
  milliseconds retry_after{0};
  int status = 0;  ///< HTTP status, or 0 if there was no response.
  std::uint64_t response_bytes = 0;  ///< Bytes of the body that were received.
  /// Time at the server until its response; 0: unknown.
  microseconds service_time{0};
  milliseconds relay_time{0};  ///< Time from the response's head to its end.
};

/// Returns the result of an attempt that provably did not run.
AttemptResult MakeNotRunResult(std::string reason, bool reached_server);
/// Returns the result of an attempt whose request reached its server, unless it
/// provably did not run.
AttemptResult MakeResult(AttemptOutcome outcome, std::string reason);

/// Reason of an attempt that admission control rejected because all slots are
/// taken and the queue is too long.
inline constexpr const char* kBackendFullReason = "backend-full";
/// The same because the server has got as many requests as it said it takes.
inline constexpr const char* kBackendRateReason = "backend-rate";

/// Reason of an attempt at a server that said that it is leaving.
inline constexpr const char* kServerLeavingReason = "server-leaving";

/// Returns whether admission control rejected the attempt.
inline bool IsFullReason(std::string_view reason) {
  return reason == kBackendFullReason || reason == kBackendRateReason;
}

/// Returns the name of an outcome in logs and in fields between nodes.
std::string_view ToString(AttemptOutcome outcome);

/// The platform's names for the fields of requests and responses.
struct PlatformFieldNames {
  std::string request_id;
  std::string deadline;  ///< Remaining time, integer milliseconds.
  std::string signature;
  std::string workspace;
  std::string expected_instance;
  std::string instance;
  /// Value: "running,waiting,slots"; a fourth figure is the time that work
  /// takes, in percent of usual.
  std::string load;
  /// Its presence says that the server did not run the request.
  std::string not_run;
  std::string caller;
  std::string cold_remaining;  ///< Remaining cold time, integer milliseconds.
  /// Requests per second that the server takes from all nodes together, a
  /// decimal number.
  std::string rate_limit;
  std::string leaving;  ///< Value "1": the server is about to end.
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_CALL_H_
