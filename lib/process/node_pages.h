/// \file
/// What a node shows on its operators' address.
#ifndef WISTERIARILL_LIB_PROCESS_NODE_PAGES_H_
#define WISTERIARILL_LIB_PROCESS_NODE_PAGES_H_

#include <string>

#include "wisteriarill/connection/peer_transport.h"
#include "wisteriarill/process/backend_executor.h"
#include "wisteriarill/process/node_settings.h"
#include "wisteriarill/version/config_manager.h"

namespace wisteriarill {

/// The parts of a node's state that /status shows.
struct NodeState {
  const NodeSettings* settings = nullptr;
  InstanceId instance;
  bool leaving = false;
  std::uint64_t active_requests = 0;
  std::size_t rate_parts = 0;
  ConfigView config;
  BackendStatus gate;
  PeerTransportStats peers;
};

/// Returns the /status document.
std::string RenderStatus(const NodeState& state, Instant now);

}  // namespace wisteriarill

#endif  // WISTERIARILL_LIB_PROCESS_NODE_PAGES_H_
