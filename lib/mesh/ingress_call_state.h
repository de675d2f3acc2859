/// \file
/// State of one request at its ingress node.
#ifndef WISTERIARILL_LIB_MESH_INGRESS_CALL_STATE_H_
#define WISTERIARILL_LIB_MESH_INGRESS_CALL_STATE_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "wisteriarill/mesh/ingress.h"

namespace wisteriarill {

/// State of one request from its arrival to the end of its response.
struct Ingress::CallState {
  ServerExchange* exchange = nullptr;
  /// Configuration in force when the request arrived.
  std::shared_ptr<const MeshConfig> config;
  const MeshRoute* route = nullptr;
  const MeshWorkspace* workspace = nullptr;
  MeshCall call;
  Instant caller_deadline;
  std::set<std::string> tried_instances;  ///< Instances of backend servers.
  std::uint32_t servers_used = 0;  ///< Backend servers that the call reached.
  int attempts = 0;
  BackendEntry target;  ///< Server of the current attempt.
  Instant attempt_began;
  /// Nested call: made by a backend server while it runs another call.
  bool nested = false;
  /// The retry that follows the current attempt is already taken from the
  /// budget.
  bool retry_taken = false;
  bool may_have_run = false;  ///< An attempt may have run at a server.
  int full_refusals = 0;  ///< Attempts that a full admission queue rejected.
  /// For logs: "instance:reason" of each attempt, separated by commas.
  std::string failed_attempts;
  /// There is no server whose node isn't stopping.
  bool use_leaving_peers = false;
  /// Urgency of the call of the local server that makes this one.
  std::optional<std::int32_t> parent_urgency;
  /// Wait at the best server, if it is too long for the call.
  std::optional<milliseconds> known_wait;
  /// A server was not tried because it is known to be full.
  bool skipped_full_server = false;
  /// A server was not tried because it is leaving.
  bool skipped_leaving_server = false;
  /// Shortest wait for the rates of those servers.
  std::optional<milliseconds> skipped_rate_wait;

  void NoteRateWait(nanoseconds wait) {
    const auto millis = std::chrono::ceil<milliseconds>(wait);
    skipped_rate_wait = std::min(millis, skipped_rate_wait.value_or(millis));
  }
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_LIB_MESH_INGRESS_CALL_STATE_H_
