/// \file
/// Reads the registry from peers that have a newer revision.
#ifndef WISTERIARILL_MESH_REGISTRY_PULLER_H_
#define WISTERIARILL_MESH_REGISTRY_PULLER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "wisteriarill/mesh/async.h"
#include "wisteriarill/mesh/peer_table.h"
#include "wisteriarill/mesh/proxy_settings.h"
#include "wisteriarill/mesh/registry_synchronizer.h"
#include "wisteriarill/process/metrics.h"
#include "wisteriarill/registry/peer_read_selector.h"

namespace wisteriarill {

/// Reads the changes that this node lacks from peers that PeerReadSelector
/// chooses, over connections of its own: those that are kept for calls may be
/// silent.
class RegistryPuller {
 public:
  RegistryPuller(asio::io_context* loop, const ProxySettings& settings,
                 PeerTable* peers, RegistrySynchronizer* registry,
                 Metrics* metrics);

  /// Starts to read when a peer is ahead.
  void Start();
  /// Records what the registry at a peer holds: all changes up to `position`,
  /// and what is carried from an earlier era with the digest `carried`.
  void OnPeerPosition(const std::string& ip, StorePosition position,
                      std::uint32_t carried);

 private:
  Task<void> Run();
  /// Tells the selector what this node holds.
  void UpdateHeld();
  /// Starts a read if one is due.
  void StartRead();
  Task<void> ReadFrom(std::string ip);
  /// Sends the request on `connection` and reads the response into `bytes`.
  Task<Status> ReadChanges(ClientConnection* connection, std::string ip,
                           std::string* bytes);
  /// Decodes and applies what was read from `ip`.
  Status ApplyChanges(const std::string& ip, const std::string& bytes);
  /// Ends reads from peers that have nothing new any more.
  void CloseNeedlessReads();
  void RecordFailure(const std::string& ip, const Error& error, Instant began);

  asio::io_context* loop_;
  const ProxySettings& settings_;
  PeerTable* peers_;
  RegistrySynchronizer* registry_;
  Metrics* metrics_;
  asio::steady_timer timer_;
  PeerReadSelector selector_;
  /// The reads that are under way, by the address of the peer.
  std::map<std::string, std::shared_ptr<ClientConnection>> connections_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_REGISTRY_PULLER_H_
