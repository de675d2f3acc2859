/// \file
/// Exchanges datagrams with peers: heartbeats that carry load, and rate-limit
/// tokens of workspaces.
#ifndef WISTERIARILL_MESH_PEER_DATAGRAM_SERVICE_H_
#define WISTERIARILL_MESH_PEER_DATAGRAM_SERVICE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "wisteriarill/mesh/async.h"
#include "wisteriarill/mesh/peer_table.h"
#include "wisteriarill/mesh/proxy_settings.h"
#include "wisteriarill/mesh/rate_shares.h"
#include "wisteriarill/process/metrics.h"

namespace wisteriarill {

/// Whether a request is within the rate of its workspace.
struct RateLimitDecision {
  bool admitted = false;
  milliseconds retry_after{0};
  std::string reason;
};

/// Sends heartbeats, leases rate shares to their owners, and decides whether
/// requests are within the rate of their workspace.
class PeerDatagramService {
 public:
  struct Callbacks {
    /// Returns this node's state.
    std::function<PeerHeartbeat()> make_heartbeat;
    /// Called for every heartbeat of a peer.
    std::function<void(const PeerHeartbeat&)> on_heartbeat;
  };

  PeerDatagramService(asio::io_context* loop, const ProxySettings& settings,
                      PeerTable* peers, Callbacks callbacks, Metrics* metrics);

  Status Start();
  /// Sets the workspaces of the current configuration.
  void Configure(const std::vector<MeshWorkspace>& workspaces);
  /// Sends heartbeats to all peers now, without waiting for the next interval.
  void SendHeartbeats();
  /// Takes a token for one request of `workspace`, if necessary by requesting
  /// tokens from the workspace's owner. The request waits up to `max_wait` for
  /// the grant.
  Task<RateLimitDecision> Admit(std::string workspace, nanoseconds max_wait);

 private:
  struct WorkspaceTokens {
    RateShareClient client;
    std::vector<asio::steady_timer*> waiters;
  };

  Task<void> ReceiveLoop();
  Task<void> HeartbeatLoop();
  void OnDatagram(const PeerDatagram& datagram, const std::string& from);
  void OnGrantRequest(const TokenGrantRequest& request,
                      const std::string& from);
  void OnGrant(const TokenGrant& grant);
  void LogOwnerReports();
  void LeaseShares(Instant now);
  void RequestTokensIfNeeded(const std::string& workspace,
                             WorkspaceTokens* workspace_tokens, Instant now);
  Task<void> AwaitGrant(WorkspaceTokens* workspace_tokens,
                        nanoseconds max_wait);
  void Send(const std::string& ip, const PeerDatagram& datagram);

  asio::io_context* loop_;
  const ProxySettings& settings_;
  PeerTable* peers_;
  Callbacks callbacks_;
  Metrics* metrics_;
  asio::ip::udp::socket socket_;
  RateShareOwner owner_;
  std::map<std::string, WorkspaceTokens> workspaces_;
  std::vector<std::string> live_nodes_;
  /// Workspaces whose share is leased to an owner, by the owner's address.
  std::map<std::string, std::vector<std::string>> leased_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PEER_DATAGRAM_SERVICE_H_
