/// \file
/// Renders the /status page of a node.
#ifndef WISTERIARILL_LIB_PROCESS_NODE_PAGES_H_
#define WISTERIARILL_LIB_PROCESS_NODE_PAGES_H_

#include <string>

#include "wisteriarill/connection/peer_transport.h"
#include "wisteriarill/process/backend_executor.h"
#include "wisteriarill/process/node_settings.h"
#include "wisteriarill/version/config_manager.h"

namespace wisteriarill {

/// The state of a node that /status shows.
struct NodeState {
  const NodeSettings* settings = nullptr;
  InstanceId instance;
  bool leaving = false;
  std::uint64_t active_requests = 0;
  std::size_t owned_rate_shards = 0;  ///< Shown as rate_parts.
  ConfigView config;
  BackendStatus backend;  ///< Shown as gate.
  PeerTransportStats peers;
};

/// Returns the /status page, a JSON document.
std::string RenderStatus(const NodeState& state, Instant now);

}  // namespace wisteriarill

#endif  // WISTERIARILL_LIB_PROCESS_NODE_PAGES_H_
