/// \file
/// A call on its way through the mesh, and how an attempt at it ends.
#ifndef WISTERIARILL_MESH_CALL_H_
#define WISTERIARILL_MESH_CALL_H_

#include <cstdint>
#include <string>

#include "wisteriarill/mesh/http_message.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// A checked request, as ingress and serving node both know it.
struct MeshCall {
  std::string id;  ///< Of the caller's attempt; echoed by servers.
  HttpRequest request;
  std::string workspace;  ///< Empty on open routes.
  std::string caller;     ///< Service of the VM where the request began.
  std::string service;
  std::string instance;  ///< The backend server that is to run it.
  bool idempotent = false;
  bool download = false;
  /// A server's failure answer is dropped, because another server is tried.
  bool retry_on_failure = false;
  std::int32_t urgency = 0;  ///< Lower goes first.
  Instant deadline;
  Instant start_deadline;  ///< It has to start by then, or is refused.
};

/// How one attempt ended.
enum class AttemptOutcome {
  kDelivered,  ///< The reader has the whole answer.
  kNotRun,     ///< Proved: it did not run and never will.
  kFailed,     ///< The server answered a failure, which was dropped.
  kUnknown,    ///< It may have run; nothing went to the reader.
  kTruncated,        ///< The answer broke after a part of it went to the reader.
  kClientDisconnected,       ///< The reader left.
  kDeadlinePassed,       ///< The deadline passed.
};

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  std::string reason;              ///< For logs: a word or two with hyphens.
  bool reached_server = false;            ///< The backend server saw the request.
  milliseconds retry_after{0};     ///< For kNotRun: when room is expected.
  int status = 0;                  ///< Of the answer, if there was one.
  std::uint64_t response_bytes = 0;  ///< Of its body, as far as it came.
  microseconds service_time{0};      ///< At the server, until its answer; 0: not known.
  milliseconds relay_time{0};  ///< Time from its head to its end.
};

/// Reason of an attempt that the gate refused for want of room.
inline constexpr const char* kBackendFullReason = "backend-full";

/// Returns the name of `end` in logs.
std::string_view ToString(AttemptOutcome end);

/// The platform's names for fields of requests and answers.
struct PlatformFieldNames {
  std::string request_id;
  std::string deadline;  ///< Whole milliseconds that are left.
  std::string signature;
  std::string workspace;
  std::string expected_instance;
  std::string instance;
  std::string load;     ///< "running,waiting,slots".
  std::string not_run;  ///< Present: the server did not run the request.
  std::string caller;
  std::string cold_remaining;  ///< Whole milliseconds.
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_CALL_H_
