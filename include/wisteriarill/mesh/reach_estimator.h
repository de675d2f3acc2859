/// \file
/// Estimates which fraction of the nodes a node reaches, from probes of random
/// peers.
#ifndef WISTERIARILL_MESH_REACH_ESTIMATOR_H_
#define WISTERIARILL_MESH_REACH_ESTIMATOR_H_

#include <cstddef>
#include <deque>
#include <string>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Counts the answered ones of the last probes. Does no I/O, reads no clock,
/// and is used from one thread.
class ReachEstimator {
 public:
  /// Number of probes that are counted, and number below which the estimate is
  /// one.
  static constexpr std::size_t kMaxProbes = 10;
  static constexpr std::size_t kMinProbes = 4;
  /// A probe counts as unanswered after this time.
  static constexpr milliseconds kAnswerTimeout{150};

  /// Records that a random peer was probed.
  void OnProbeSent(const std::string& ip, Instant now) {
    probes_.push_back({ip, now, false});
    if (probes_.size() > kMaxProbes) probes_.pop_front();
  }
  /// Records that anything was received from `ip`.
  void OnHeard(const std::string& ip) {
    for (Probe& probe : probes_) probe.answered |= probe.ip == ip;
  }
  /// Returns the estimated fraction of the nodes that this node reaches.
  double Reach(Instant now) const {
    std::size_t counted = 0;
    std::size_t answered = 0;
    for (const Probe& probe : probes_) {
      if (!probe.answered && now < probe.sent + kAnswerTimeout) continue;
      ++counted;
      if (probe.answered) ++answered;
    }
    if (counted < kMinProbes) return 1;
    return static_cast<double>(answered) / static_cast<double>(counted);
  }

 private:
  struct Probe {
    std::string ip;
    Instant sent;
    bool answered = false;
  };

  std::deque<Probe> probes_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_REACH_ESTIMATOR_H_
