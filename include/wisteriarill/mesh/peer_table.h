/// \file
/// The peers of this node, their state, and the calls in progress there.
#ifndef WISTERIARILL_MESH_PEER_TABLE_H_
#define WISTERIARILL_MESH_PEER_TABLE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "wisteriarill/mesh/http_client.h"
#include "wisteriarill/mesh/membership.h"
#include "wisteriarill/mesh/peer_datagram.h"

namespace wisteriarill {

/// A peer from which nothing was received for this long is considered
/// unresponsive and gets no more calls.
inline constexpr milliseconds kPeerTimeout{700};

/// One peer: the node on the VM of a registered server.
struct Peer {
  std::string ip;
  std::string failure_domain;  ///< Empty: never listed in the registry.
  std::unique_ptr<ClientConnectionPool> pool;
  PeerHeartbeat heartbeat;
  Instant last_heard = kNever;
  Instant first_listed = kNever;  ///< When it was first listed in the registry.
  /// Calls sent since `heartbeat` was received.
  std::uint32_t calls_since_heartbeat = 0;
  /// Until then, the peer is expected to reject calls that are as urgent as
  /// `full_urgency` or less.
  Instant full_until = kNever;
  std::int32_t full_urgency = 0;
  bool registered = false;
  /// Connections of calls in progress; true: the call can be retried at another
  /// node.
  std::map<ClientConnection*, bool> calls;

  /// Returns whether calls can be sent to it.
  bool IsReachable(Instant now) const;
  /// Records that a call of `urgency` was rejected because the server is full;
  /// `wait` is the expected time until a slot is free.
  void OnBackendFull(std::int32_t urgency, milliseconds wait, Instant now);
  bool IsFullFor(std::int32_t urgency, Instant now) const {
    return now < full_until && urgency >= full_urgency;
  }
  /// Returns whether it is registered or was heard from within kPeerTimeout.
  bool IsKnown(Instant now) const;
};

/// The peers by address. Calls at an unresponsive peer are ended, so that they
/// can be retried elsewhere.
class PeerTable {
 public:
  PeerTable(asio::io_context* loop, std::string own_ip, std::uint16_t port)
      : loop_(loop), own_ip_(std::move(own_ip)), port_(port) {}

  /// Updates the peers from the registered servers. A peer whose server is no
  /// longer registered stays known while it sends heartbeats.
  void OnMembership(const Membership& membership, Instant now);
  void OnHeartbeat(const std::string& ip, const PeerHeartbeat& heartbeat,
                   Instant now);
  /// Ends calls at unresponsive peers if they can be retried. Received bytes of
  /// a response count like a heartbeat, because heartbeats are lost on a
  /// saturated link.
  void OnTick(Instant now);

  Peer* Find(const std::string& ip);
  /// Returns the nodes that were heard from within kPeerTimeout and aren't
  /// leaving, and this one.
  std::vector<std::string> LiveNodes(Instant now) const;
  /// Returns the addresses of all peers that are registered or were heard from
  /// within kPeerTimeout: a node may outlive the server beside it.
  std::vector<std::string> Addresses(Instant now) const;
  /// Returns the number of known nodes, including this one, without those that
  /// announced that they are leaving.
  std::size_t NodeCount(Instant now) const;

 private:
  Peer* Add(const std::string& ip);
  void EndRetryableCalls(Peer* peer, Instant now);

  asio::io_context* loop_;
  std::string own_ip_;
  std::uint16_t port_;
  std::map<std::string, std::unique_ptr<Peer>> peers_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PEER_TABLE_H_
