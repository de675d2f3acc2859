/// \file
/// The peers of this node, their state, and the calls in progress there.
#ifndef WISTERIARILL_MESH_PEER_TABLE_H_
#define WISTERIARILL_MESH_PEER_TABLE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wisteriarill/mesh/http_client.h"
#include "wisteriarill/mesh/membership.h"
#include "wisteriarill/mesh/peer_datagram.h"

namespace wisteriarill {

/// A peer that left a probe unanswered for this long is considered silent:
/// calls that have waited there for as long are sent elsewhere, if they may run
/// again.
inline constexpr milliseconds kPeerTimeout{700};
/// A peer that left a probe unanswered for this long gets no new calls while
/// there are others.
inline constexpr milliseconds kSuspectTimeout{120};

/// A call in progress at a peer.
struct PeerCall {
  enum class Phase { kConnecting, kSending, kWaiting };

  Phase phase = Phase::kConnecting;
  Instant phase_began = kNever;
  /// Takes a retry for the call, so that ending it here lets it run elsewhere.
  /// Returns false if the call can't be retried now.
  std::function<bool()> take_retry;
};

/// One peer: the node on the VM of a registered server. Nodes have no periodic
/// contact with most of their peers: a peer is asked for its status when it is
/// needed, and only an unanswered probe makes it suspect.
struct Peer {
  std::string ip;
  std::string failure_domain;  ///< Empty: never listed in the registry.
  std::unique_ptr<ClientConnectionPool> pool;
  PeerStatus status;
  Instant status_at = kNever;  ///< When `status` was received.
  Instant last_heard = kNever;
  Instant unanswered_since = kNever;  ///< First probe since last_heard.
  Instant last_probe = kNever;
  std::uint32_t unanswered_probes = 0;  ///< Probes since last_heard.
  /// Calls sent since `status` was received.
  std::uint32_t calls_since_status = 0;
  /// Until then, the peer is expected to reject calls that are as urgent as
  /// `full_urgency` or less.
  Instant full_until = kNever;
  std::int32_t full_urgency = 0;
  /// When the rate that its server takes is expected to have room again.
  Instant rate_free_at = kNever;
  bool registered = false;
  /// Calls in progress, by their connections.
  std::map<ClientConnection*, PeerCall> calls;

  /// Records that a datagram is sent to which the peer replies.
  void OnProbeSent(Instant now);
  /// Records that anything was received from it.
  void OnHeard(Instant now);
  /// Records that this node didn't run for `stall`: during that time, replies
  /// waited unread.
  void OnStall(nanoseconds stall, Instant now);
  /// Records that a connection to it failed.
  void OnUnreachable(Instant now);
  /// Returns whether a probe has been unanswered for `timeout`.
  bool IsSilent(Instant now, nanoseconds timeout) const;
  /// Returns whether new calls should be sent elsewhere. A suspect peer is
  /// tried again after a second; the probe of the next choice clears it.
  bool IsSuspect(Instant now) const;
  /// Returns whether its status is at most `max_age` old.
  bool HasStatusWithin(nanoseconds max_age, Instant now) const {
    return status_at != kNever && now < status_at + max_age;
  }
  /// Returns whether anything was received from it in the last `max_age`.
  bool HeardWithin(nanoseconds max_age, Instant now) const {
    return last_heard != kNever && now < last_heard + max_age;
  }
  /// Returns whether it said lately that it is leaving.
  bool IsLeaving(Instant now) const;
  /// Returns whether calls should be sent to it. One that said that it is
  /// leaving isn't reachable until it says otherwise, as after a restart.
  bool IsReachable(Instant now) const;
  /// Returns whether it said that it is leaving, and has not been asked lately
  /// whether it is back.
  bool ShouldAskWhetherBack(Instant now) const;
  /// Records that a call of `urgency` was rejected because the server is full;
  /// `wait` is the expected time until a slot is free.
  void OnBackendFull(std::int32_t urgency, milliseconds wait, Instant now);
  bool IsFullFor(std::int32_t urgency, Instant now) const {
    return now < full_until && urgency >= full_urgency;
  }
};

/// The peers by address. Calls at a silent peer are ended if that lets them run
/// elsewhere. A call that can't is left to the peer, which may still answer.
class PeerTable {
 public:
  PeerTable(asio::io_context* loop, std::string own_ip, std::uint16_t port)
      : loop_(loop), own_ip_(std::move(own_ip)), port_(port) {}

  /// Updates the peers from the registered servers. Drops peers that are no
  /// longer registered, once they have been silent for a while.
  void OnMembership(const Membership& membership, Instant now);
  /// Records that anything was received from `ip`.
  void OnHeard(const std::string& ip, Instant now);
  void OnStatus(const std::string& ip, const PeerStatus& status, Instant now);
  /// Records that this node didn't run for `stall`, so that no peer is taken
  /// for silent because of it.
  void OnStall(nanoseconds stall, Instant now);
  /// Ends calls at silent peers if they can be retried. Bytes received over a
  /// connection count like a status, because datagrams are lost on a saturated
  /// link.
  void OnTick(Instant now);

  Peer* Find(const std::string& ip);
  /// Returns the registered peers, in the order of their addresses.
  const std::vector<Peer*>& registered() const { return registered_; }
  /// Returns the peers at which calls are in progress.
  std::vector<Peer*> PeersWithCalls() const;
  /// Returns the number of registered nodes, including this one.
  std::size_t NodeCount() const { return registered_.size() + 1; }
  /// Returns a number that changes with the set of registered peers.
  std::uint64_t membership_epoch() const { return membership_epoch_; }

 private:
  Peer* Add(const std::string& ip);
  void EndRetryableCalls(Peer* peer, Instant now);
  /// Returns whether the call on `connection` has waited so long for a silent
  /// peer that it should be sent elsewhere.
  static bool HasTimedOut(const Peer& peer, const ClientConnection& connection,
                          const PeerCall& call, Instant now);

  asio::io_context* loop_;
  std::string own_ip_;
  std::uint16_t port_;
  std::map<std::string, std::unique_ptr<Peer>> peers_;
  std::vector<Peer*> registered_;
  std::uint64_t membership_epoch_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PEER_TABLE_H_
