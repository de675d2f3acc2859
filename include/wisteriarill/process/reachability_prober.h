/// \file
/// Finds out whether peers reach this instance at its published address, and
/// whether most of the mesh is within reach.
#ifndef WISTERIARILL_PROCESS_REACHABILITY_PROBER_H_
#define WISTERIARILL_PROCESS_REACHABILITY_PROBER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// A probe to send to a peer, which echoes it to the published address.
struct OutgoingProbe {
  std::string address;
  ProbeRequest probe;
};

/// How often a node probes, usually and while it needs a majority.
inline constexpr nanoseconds kProbeInterval = seconds(1);
inline constexpr nanoseconds kFastProbeInterval = milliseconds(100);
/// Samples of a majority are at most so old.
inline constexpr microseconds kMajorityWindow = seconds(15);

/// What an echo proves.
struct ProbeProof {
  Instant probed_at;
  bool majority = false;  ///< Most of the sampled nodes were reached.
};

/// The probe decision of one node. No I/O, no clock, one thread.
class ReachabilityProber {
 public:
  /// `self` is the name of the backend server this node stands beside.
  ReachabilityProber(std::string self, std::uint64_t seed);

  /// Returns the probes of one round: near peers for reach, and one drawn
  /// from the whole mesh as a sample. A mesh of one node probes itself.
  std::vector<OutgoingProbe> StartRound(const Snapshot& snapshot, Instant now);

  /// Takes an echo that came in over an accepted link. Nothing if the probe
  /// is not known, or if the peer has a newer version than `version`. Only
  /// peers with the same version count as reached in a sample.
  std::optional<ProbeProof> OnEcho(const ProbeEcho& echo,
                                   const Version& version, Instant now);

 private:
  struct Probe {
    Instant at;
    bool sample = false;
  };

  struct Sample {
    Instant at;
    bool reached = false;
  };

  void AddSample(bool reached, Instant now);
  bool HasMajority(Instant now) const;

  const std::string self_;
  std::mt19937_64 random_;
  std::uint64_t last_nonce_;
  std::map<std::uint64_t, Probe> probes_;
  std::deque<Sample> samples_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_REACHABILITY_PROBER_H_
