/// \file
/// Datagrams between nodes. A lost one is made up for by the next.
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

/// What a node tells of itself several times a second. Its address is the
/// datagram's.
struct PeerHeartbeat {
  std::uint64_t registry_revision = 0;
  BackendLoad load;
  bool leaving = false;
  bool watching = false;  ///< It reads the registry from the store.
  /// Workspaces whose share the sender lends to the receiver.
  std::vector<std::string> lent;
};

/// Asks the home of a workspace for tokens.
struct TokenAsk {
  std::string workspace;
  std::uint32_t wanted = 0;
};

/// Answers a TokenAsk; no tokens: try again after `retry_after`.
struct TokenGrant {
  std::string workspace;
  std::uint32_t tokens = 0;
  milliseconds retry_after{0};
};

using PeerDatagram = std::variant<PeerHeartbeat, TokenAsk, TokenGrant>;

std::string EncodeDatagram(const PeerDatagram& datagram);
/// Decodes one datagram; nothing for bytes that are none.
std::optional<PeerDatagram> DecodeDatagram(std::string_view bytes);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PEER_DATAGRAM_H_
