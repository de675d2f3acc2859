/// \file
/// Estimates which fraction of the nodes a node reaches, from probes of all
/// peers in turn. The load it answers is a partition: the sides together must
/// not grant more than the rate, so each has to know its part soon and well.
#ifndef WISTERIARILL_MESH_REACH_ESTIMATOR_H_
#define WISTERIARILL_MESH_REACH_ESTIMATOR_H_

#include <cstddef>
#include <deque>
#include <set>
#include <string>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Counts the answered ones of the last probes, each of another peer. Does no
/// I/O, reads no clock, and is used from one thread.
class ReachEstimator {
 public:
  /// Number of probes that are counted, and number below which the estimate is
  /// one. Up to this many peers, the reach is counted and not sampled.
  static constexpr std::size_t kMaxProbes = 64;
  static constexpr std::size_t kMinProbes = 4;
  /// A probe counts as unanswered after this time.
  static constexpr milliseconds kAnswerTimeout{150};
  /// Time after which a silent peer is probed again, one at a time.
  static constexpr milliseconds kRetestInterval{400};
  /// Probes at a time while the reach is changing.
  static constexpr std::size_t kSweepProbes = 4;
  /// Change of the number of silent peers that shows a change of the reach. A
  /// single one may be a lost datagram.
  static constexpr std::size_t kMinChange = 2;

  /// Records that a peer was probed in turn.
  void OnProbeSent(const std::string& ip, Instant now);
  /// Returns a silent peer that should be probed again, or an empty string: a
  /// lost datagram must not lower the reach for a whole turn.
  std::string PeerToRetest(Instant now) const;
  /// Records that a silent peer was probed again.
  void OnRetestSent(const std::string& ip, Instant now);
  /// Records that anything was received from `ip`.
  void OnHeard(const std::string& ip);
  /// Forgets the probes of all peers but `ips`.
  void OnPeersChanged(const std::set<std::string>& ips);
  /// Forgets all probes and begins to estimate anew, with all of `peer_count`
  /// peers, or as many as are counted. A sweep that has just begun goes on
  /// instead. Returns since when the probes of the next estimate are sent.
  Instant BeginSweep(std::size_t peer_count, Instant now);
  /// Returns how many of `peer_count` peers should be probed now. Begins a
  /// sweep if the reach has changed.
  std::size_t ProbesWanted(std::size_t peer_count, Instant now);
  /// Updates the estimate of the fraction of the `peer_count` peers and this
  /// node that this node reaches, and returns it. It is one before the first
  /// probes, and stays as it was until a new sweep has counted some.
  double Update(std::size_t peer_count, Instant now);
  /// Returns since when the probes were sent that the estimate rests on, or
  /// kNever if it is the initial one.
  Instant measured_since() const { return measured_since_; }

 private:
  /// Time in which a sweep that has no estimate yet isn't begun anew.
  static constexpr milliseconds kMaxSweepStart{1000};

  struct Probe {
    std::string ip;
    Instant sent;
    bool answered = false;
  };

  static bool IsSilent(const Probe& probe, Instant now) {
    return !probe.answered && now >= probe.sent + kAnswerTimeout;
  }
  std::size_t CountSilent(Instant now) const;

  std::deque<Probe> probes_;
  std::size_t sweep_left_ = 0;      ///< Probes until the sweep is complete.
  std::size_t settled_silent_ = 0;  ///< Silent peers when no sweep was due.
  Instant sweep_began_ = kNever;
  Instant measured_since_ = kNever;
  double reach_ = 1;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_REACH_ESTIMATOR_H_
