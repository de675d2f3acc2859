/// \file
/// Reads the registry from peers that have a newer revision.
#ifndef WISTERIARILL_MESH_REGISTRY_PULLER_H_
#define WISTERIARILL_MESH_REGISTRY_PULLER_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "wisteriarill/mesh/async.h"
#include "wisteriarill/mesh/peer_table.h"
#include "wisteriarill/mesh/proxy_settings.h"
#include "wisteriarill/mesh/registry_synchronizer.h"
#include "wisteriarill/process/metrics.h"

namespace wisteriarill {

/// Collects which peers are ahead of this node, and reads the changes from one
/// of them, preferably of the own failure domain.
class RegistryPuller {
 public:
  RegistryPuller(asio::io_context* loop, const ProxySettings& settings,
                 PeerTable* peers, RegistrySynchronizer* registry,
                 Metrics* metrics);

  /// Starts to read when a peer is ahead.
  void Start();
  /// Records the revision of the registry at a peer.
  void OnRevision(const std::string& ip, std::uint64_t revision);

 private:
  Task<void> Run();
  /// Drops the peers that are no longer ahead.
  void DropReached();
  /// Returns the address of a reachable peer that is ahead; empty if there is
  /// none to read from yet.
  std::string ChoosePeer(Instant now);
  milliseconds DrawCrossDomainDelay();
  Task<void> PullFrom(std::string ip);
  /// Sends the request on `connection` and reads the response into `bytes`.
  Task<Status> ReadChanges(ClientConnection* connection, std::string ip,
                           std::string* bytes);
  void LogFailedRead(const std::string& ip, const Error& error, Instant began);

  asio::io_context* loop_;
  const ProxySettings& settings_;
  PeerTable* peers_;
  RegistrySynchronizer* registry_;
  Metrics* metrics_;
  asio::steady_timer timer_;
  std::mt19937_64 random_;
  std::map<std::string, std::uint64_t> ahead_;  ///< Revisions, by address.
  Instant ahead_since_ = kNever;
  milliseconds cross_domain_delay_{0};
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_REGISTRY_PULLER_H_
