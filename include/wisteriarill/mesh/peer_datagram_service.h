/// \file
/// Exchanges datagrams with peers: probes of their status, changes of the
/// registry, and rate-limit tokens of workspaces.
#ifndef WISTERIARILL_MESH_PEER_DATAGRAM_SERVICE_H_
#define WISTERIARILL_MESH_PEER_DATAGRAM_SERVICE_H_

#include <functional>
#include <list>
#include <set>
#include <string>
#include <vector>

#include "wisteriarill/mesh/async.h"
#include "wisteriarill/mesh/gossip_targets.h"
#include "wisteriarill/mesh/peer_table.h"
#include "wisteriarill/mesh/probe_order.h"
#include "wisteriarill/mesh/proxy_settings.h"
#include "wisteriarill/mesh/rate_admission.h"
#include "wisteriarill/mesh/reach_estimator.h"
#include "wisteriarill/process/metrics.h"

namespace wisteriarill {

/// Sends and receives datagrams. Probes, at a fixed interval, all peers in
/// turn, the peers at which calls are in progress, and the control peers.
class PeerDatagramService : public DatagramSender {
 public:
  struct Callbacks {
    /// Returns this node's status.
    std::function<PeerStatus()> make_status;
    /// Called for every status of a peer, after the peer table has it.
    std::function<void(const std::string& ip, const PeerStatus&)> on_status;
    /// Called for changes of the registry that a peer sent.
    std::function<void(const std::string& ip, const RegistryDelta&)> on_delta;
  };

  PeerDatagramService(asio::io_context* loop, const ProxySettings& settings,
                      PeerTable* peers, Callbacks callbacks, Metrics* metrics);

  Status Start();
  RateAdmission* rates() { return &rates_; }
  /// Sets the peers that are probed at every interval.
  void SetControlPeers(std::vector<std::string> ips) {
    control_peers_ = std::move(ips);
  }
  /// Sends this node's status to a few peers, with an encoded batch of the
  /// changes after position `after` if it fits a datagram.
  void PushChange(StorePosition after, const std::string& batch,
                  bool from_store);
  /// Sends this node's status to all peers that may send it calls.
  void AnnounceStatus();
  /// Probes those of the peers `ips` whose status is older than `max_age`, and
  /// waits up to `timeout` for their replies.
  Task<void> RefreshStatus(std::vector<std::string> ips, nanoseconds max_age,
                           nanoseconds timeout);

  void Send(const std::string& ip, const PeerDatagram& datagram) override;
  void SendProbe(Peer* peer) override;
  /// Returns the fraction of the registered nodes that answer probes, as of the
  /// last tick.
  double reach() const { return last_reach_; }
  Instant MeasureReach() override;

 private:
  /// A coroutine that waits for the status of peers.
  struct StatusWaiter {
    std::set<std::string> missing;
    asio::steady_timer* timer = nullptr;
  };

  Task<void> ReceiveLoop();
  Task<void> TickLoop();
  void SendProbes(Instant now);
  /// Takes over a change of the registered peers.
  void UpdateProbeOrder();
  /// Adds to `probed` the peers whose turn it is, and a silent one.
  void AddPeersInTurn(std::set<Peer*>* probed, Instant now);
  /// Logs that a tick came late by `stall`.
  void LogStall(nanoseconds stall) const;
  void OnDatagram(const PeerDatagram& datagram, const std::string& from);
  void OnStatus(const PeerStatus& status, const std::string& from);

  asio::io_context* loop_;
  const ProxySettings& settings_;
  PeerTable* peers_;
  Callbacks callbacks_;
  Metrics* metrics_;
  asio::ip::udp::socket socket_;
  GossipTargets targets_;
  ProbeOrder probe_order_;
  std::uint64_t probe_order_epoch_ = 0;  ///< Of the peer table.
  ReachEstimator reach_;
  double last_reach_ = 1;
  RateAdmission rates_;
  std::vector<std::string> control_peers_;
  std::list<StatusWaiter> status_waiters_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PEER_DATAGRAM_SERVICE_H_
