/// \file
/// Finds out whether peers can reach this instance at its published address,
/// and whether this node can reach most of the mesh.
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

/// A probe to send to a peer, which sends an echo to the published address.
struct OutgoingProbe {
  std::string address;
  ProbeRequest probe;
};

/// Intervals between rounds of probes, normally and while a majority is needed.
inline constexpr nanoseconds kProbeInterval = seconds(1);
inline constexpr nanoseconds kFastProbeInterval = milliseconds(100);
/// Maximum age of the samples of a majority.
inline constexpr microseconds kMajorityWindow = seconds(15);

/// What an echo proves.
struct ProbeResult {
  Instant probed_at;
  bool majority = false;  ///< Most of the sampled nodes were reached.
};

/// Selects the probes of one node and evaluates their echoes. Does no I/O,
/// reads no clock, and is used by one thread.
class ReachabilityProber {
 public:
  /// `self` is the name of the backend server beside this node.
  ReachabilityProber(std::string self, std::uint64_t seed);

  /// Returns the probes of one round: some to random nodes of the local failure
  /// domain to prove reachability, and one to a random node of the whole mesh
  /// as a sample. A mesh of one node probes itself.
  std::vector<OutgoingProbe> StartRound(const Snapshot& snapshot, Instant now);

  /// Processes an echo that came in over an accepted link. Returns nothing if
  /// the probe is unknown or the peer has a newer version than `version`. In a
  /// sample, only peers with the same version count as reached.
  std::optional<ProbeResult> OnEcho(const ProbeEcho& echo,
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
