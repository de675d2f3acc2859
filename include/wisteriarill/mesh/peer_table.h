/// \file
/// The other nodes, as this one knows them.
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

/// How long a node may be silent before others stop sending it calls.
inline constexpr milliseconds kPeerSilence{700};

/// One other node. It is the node on the VM of a registered server.
struct Peer {
  std::string ip;
  std::string failure_domain;  ///< Empty: it was never listed.
  std::unique_ptr<ClientConnectionPool> pool;
  PeerHeartbeat heartbeat;
  Instant last_heard = kNever;
  Instant listed = kNever;       ///< When it was first seen in the registry.
  std::uint32_t calls_since_heartbeat = 0;  ///< Calls sent after `beat`.
  /// Calls of `full_urgency` or less urgent ones are refused there until then.
  Instant full_until = kNever;
  std::int32_t full_urgency = 0;
  bool registered = false;
  /// Calls under way, and whether each may be sent elsewhere once more.
  std::map<ClientConnection*, bool> calls;

  /// Returns whether calls can be sent there.
  bool IsReachable(Instant now) const;
  /// Notes that a call of `urgency` was refused for want of room, which is
  /// expected after `wait`.
  void OnBackendFull(std::int32_t urgency, milliseconds wait, Instant now);
  bool IsFullFor(std::int32_t urgency, Instant now) const {
    return now < full_until && urgency >= full_urgency;
  }
  /// Returns whether it is registered or was heard of lately.
  bool IsKnown(Instant now) const;
};

class PeerTable {
 public:
  PeerTable(asio::io_context* loop, std::string own_ip, std::uint16_t port)
      : loop_(loop), own_ip_(std::move(own_ip)), port_(port) {}

  /// Takes the registered servers; peers that are gone are dropped once they
  /// are silent, too.
  void OnMembership(const Membership& membership, Instant now);
  void OnBeat(const std::string& ip, const PeerHeartbeat& beat, Instant now);
  /// Ends calls at peers that went silent, if they may be sent elsewhere. Bytes
  /// of an answer are a sign of life like a beat: beats are lost on a full
  /// link.
  void OnTick(Instant now);

  Peer* Find(const std::string& ip);
  /// Returns the nodes that were heard of lately, this one included.
  std::vector<std::string> LiveNodes(Instant now) const;
  /// Returns the addresses of all peers that are registered or were heard of
  /// lately: a node may outlive the server beside it.
  std::vector<std::string> Addresses(Instant now) const;
  /// Returns how many nodes there are, this one included, without those that
  /// said that they are leaving.
  std::size_t NodeCount(Instant now) const;

 private:
  Peer* Add(const std::string& ip);
  void EndCalls(Peer* peer, Instant now);

  asio::io_context* loop_;
  std::string own_ip_;
  std::uint16_t port_;
  std::map<std::string, std::unique_ptr<Peer>> peers_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PEER_TABLE_H_
