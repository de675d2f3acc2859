/// \file
/// Datagrams between nodes and their encoding. Lost ones are tolerated:
/// heartbeats are periodic, and requests for tokens are repeated.
#ifndef WISTERIARILL_MESH_PEER_DATAGRAM_H_
#define WISTERIARILL_MESH_PEER_DATAGRAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wisteriarill/mesh/backend_admission_queue.h"

namespace wisteriarill {

/// State of a node that it sends to its peers several times a second. The
/// datagram's source address identifies the node.
struct PeerHeartbeat {
  std::uint64_t registry_revision = 0;
  BackendLoad load;
  bool leaving = false;
  bool watching = false;  ///< The sender reads the registry from the store.
  /// Workspaces whose rate share the sender leases to the receiver.
  std::vector<std::string> leased_workspaces;
};

/// Asks the owner of a workspace for tokens.
struct TokenGrantRequest {
  std::string workspace;
  std::uint32_t wanted = 0;
};

/// Reply to a TokenGrantRequest. If `tokens` is zero, the request was refused
/// and may be repeated after `retry_after`.
struct TokenGrant {
  std::string workspace;
  std::uint32_t tokens = 0;
  milliseconds retry_after{0};
};

using PeerDatagram = std::variant<PeerHeartbeat, TokenGrantRequest, TokenGrant>;

std::string EncodeDatagram(const PeerDatagram& datagram);
/// Decodes one datagram; returns nothing if `bytes` is malformed.
std::optional<PeerDatagram> DecodeDatagram(std::string_view bytes);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PEER_DATAGRAM_H_
