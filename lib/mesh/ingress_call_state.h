/// \file
/// One request at its ingress.
#ifndef WISTERIARILL_LIB_MESH_INGRESS_CALL_STATE_H_
#define WISTERIARILL_LIB_MESH_INGRESS_CALL_STATE_H_

#include <memory>
#include <set>
#include <string>

#include "wisteriarill/mesh/ingress.h"

namespace wisteriarill {

struct Ingress::Serving {
  ServerExchange* exchange = nullptr;
  /// The version that the request began with.
  std::shared_ptr<const MeshConfig> config;
  const MeshRoute* route = nullptr;
  const MeshWorkspace* workspace = nullptr;
  MeshCall call;
  Instant caller_deadline;
  std::set<std::string> tried;     ///< Instances.
  std::uint32_t servers_used = 0;  ///< Backend servers that saw the call.
  int attempts = 0;
  BackendEntry target;
  Instant attempt_began;
  bool nested = false;  ///< A server makes it while it runs another call.
  bool may_have_run = false;
  int full_answers = 0;   ///< Attempts that ended for want of room.
  std::string trail;      ///< For the log: "server:reason" of each attempt.
  bool all_full = false;  ///< Some server was passed over for want of room.
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_LIB_MESH_INGRESS_CALL_STATE_H_
