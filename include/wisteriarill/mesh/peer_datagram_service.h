/// \file
/// Datagrams between nodes: heartbeats with load, and tokens of workspaces.
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

/// Whether a request of a workspace is within its rate.
struct RateLimitDecision {
  bool admitted = false;
  milliseconds retry_after{0};
  std::string reason;
};

class PeerDatagramService {
 public:
  struct Callbacks {
    std::function<PeerHeartbeat()> make_beat;  ///< What this node tells of itself.
    std::function<void(const PeerHeartbeat&)> on_beat;  ///< A peer told.
  };

  PeerDatagramService(asio::io_context* loop, const ProxySettings& settings,
              PeerTable* peers, Callbacks callbacks, Metrics* metrics);

  Status Start();
  /// Takes the workspaces in force.
  void Configure(const std::vector<MeshWorkspace>& workspaces);
  /// Tells all peers the present state at once.
  void SendHeartbeats();
  /// Takes a token for one request of `workspace`, from its home if need be,
  /// for whose answer the request waits `most_wait` at the longest.
  Task<RateLimitDecision> Admit(std::string workspace, nanoseconds most_wait);

 private:
  struct Desk {
    ShareSpender spender;
    std::vector<asio::steady_timer*> waiting;
  };

  Task<void> ReceiveLoop();
  Task<void> BeatLoop();
  void OnDatagram(const PeerDatagram& datagram, const std::string& from);
  void OnAsk(const TokenAsk& ask, const std::string& from);
  void OnGrant(const TokenGrant& grant);
  void LogHomes();
  void LendShares(Instant now);
  void AskIfNeeded(const std::string& workspace, Desk* desk, Instant now);
  Task<void> AwaitGrant(Desk* desk, nanoseconds most);
  void Send(const std::string& ip, const PeerDatagram& datagram);

  asio::io_context* loop_;
  const ProxySettings& settings_;
  PeerTable* peers_;
  Callbacks callbacks_;
  Metrics* metrics_;
  asio::ip::udp::socket socket_;
  ShareHome home_;
  std::map<std::string, Desk> desks_;
  std::vector<std::string> live_;
  std::map<std::string, std::vector<std::string>> lent_;  ///< By home.
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PEER_DATAGRAM_SERVICE_H_
