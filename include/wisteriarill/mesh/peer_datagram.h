/// \file
/// Datagrams between nodes and their encoding. Lost ones are tolerated: probes
/// and requests for tokens are repeated, and a lost change is found by a later
/// probe.
#ifndef WISTERIARILL_MESH_PEER_DATAGRAM_H_
#define WISTERIARILL_MESH_PEER_DATAGRAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "wisteriarill/admission/backend_admission_queue.h"
#include "wisteriarill/process/time.h"
#include "wisteriarill/registry/registry_freshness.h"

namespace wisteriarill {

/// State of a node. The datagram's source address identifies the node.
struct PeerStatus {
  StorePosition registry_position;
  /// Digest of what the sender carries from an earlier era of the store.
  std::uint32_t carried_digest = 0;
  BackendLoad load;
  bool leaving = false;
  /// DigestOf the server beside the sender if that said that it is leaving; 0:
  /// it didn't.
  std::uint32_t leaving_server = 0;
  bool watching = false;  ///< The sender reads the registry from the store.
  /// The sender's registry was confirmed by the store or by a confirmed peer
  /// since it started.
  bool confirmed = false;
  /// The read of the store that showed what the sender holds to be the newest.
  ToldEvent store_read;
  /// Time since some node is known to have failed to read the store.
  milliseconds store_failure_age = kUnknownAge;
  bool reply_wanted = false;  ///< The datagram is a probe.
  /// When a node of the sender's failure domain last began to read the store in
  /// the place of others.
  ToldEvent read_begun;
};

/// Changes of the registry, sent to a few peers as soon as they are known.
struct RegistryDelta {
  PeerStatus status;
  /// The changes complete the registry of a node that has this position.
  StorePosition after;
  std::string batch;  ///< An encoded RegistryBatch.
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
  /// The sender knows a node that owns the workspace before it.
  bool not_owner = false;
};

using PeerDatagram =
    std::variant<PeerStatus, RegistryDelta, TokenGrantRequest, TokenGrant>;

std::string EncodeDatagram(const PeerDatagram& datagram);
/// Decodes one datagram; returns nothing if `bytes` is malformed.
std::optional<PeerDatagram> DecodeDatagram(std::string_view bytes);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PEER_DATAGRAM_H_
