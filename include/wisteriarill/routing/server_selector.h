/// \file
/// Chooses the backend server for a call by expected latency, which includes
/// queueing, service time and the network. Only a few random candidates are
/// compared, so that nodes with the same outdated load reports don't all choose
/// the same server.
#ifndef WISTERIARILL_ROUTING_SERVER_SELECTOR_H_
#define WISTERIARILL_ROUTING_SERVER_SELECTOR_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "wisteriarill/admission/backend_admission_queue.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// What a node knows about a backend server that may take a call.
struct ServerCandidate {
  std::string instance;
  BackendLoad load;
  /// Calls sent since `load` was reported.
  std::uint32_t calls_since_status = 0;
  /// The node beside the server left a probe unanswered so far.
  bool unanswered = false;
  bool local = false;                ///< The backend server beside this node.
  bool same_failure_domain = false;  ///< In this node's failure domain.
  double failure_rate = 0;           ///< Smoothed failure rate of recent calls.
};

/// What the choice of a server needs to know of a call.
struct CallProfile {
  /// The response is large and thus costly to transfer from another failure
  /// domain.
  bool download = false;
  bool upload = false;  ///< The request body is large.
  /// Urgency of the call, if servers report the wait of each level. Otherwise
  /// the wait follows from the number of calls.
  std::optional<std::int32_t> urgency;
  /// A server in another failure domain is chosen only if it is expected to
  /// respond this much sooner than those in the own one. Zero: only the
  /// network's delay counts.
  microseconds min_saving{0};
};

/// Compares candidates by expected latency. Does no I/O, reads no clock, and is
/// used from one thread.
class ServerSelector {
 public:
  /// Number of candidates drawn from all servers. They are compared with the
  /// local one and one of the same failure domain.
  static constexpr std::size_t kRandomCandidates = 2;

  explicit ServerSelector(std::uint64_t seed) : random_(seed) {}

  /// Returns the indexes of the servers to compare; `servers` must not be
  /// empty.
  std::vector<std::size_t> Sample(const std::vector<ServerCandidate>& servers);
  /// Returns the indexes of the servers of the own failure domain to compare
  /// first: the local one and a few random ones.
  std::vector<std::size_t> SampleOwnDomain(
      const std::vector<ServerCandidate>& servers);
  /// Returns the indexes of the servers of other failure domains to compare if
  /// those of the own one don't take the call well.
  std::vector<std::size_t> SampleOtherDomains(
      const std::vector<ServerCandidate>& servers);
  /// Returns the index among `sample` with the lowest expected latency.
  static std::size_t Best(const std::vector<ServerCandidate>& servers,
                          const std::vector<std::size_t>& sample,
                          const CallProfile& profile);
  /// Returns whether no server of another failure domain, at which a call runs
  /// for `typical_service_time`, can be expected to save the call enough time
  /// to leave the own failure domain.
  static bool TakesCallWell(const ServerCandidate& server,
                            microseconds typical_service_time,
                            const CallProfile& profile);
  /// Returns whether `server` is the local one, and so far from full that no
  /// other can be expected to respond sooner.
  static bool IsIdleLocal(const ServerCandidate& server,
                          microseconds typical_service_time);

  /// Returns how long a call is expected to wait before it starts.
  static microseconds ExpectedWait(const ServerCandidate& server,
                                   const CallProfile& profile);
  /// Returns the expected time to the response, including the network.
  static microseconds ExpectedLatency(const ServerCandidate& server,
                                      const CallProfile& profile);

 private:
  std::size_t PickRandom(const std::vector<std::size_t>& indexes);
  /// Adds `count` random picks of `indexes` to `sample`, without duplicates.
  void AddRandom(const std::vector<std::size_t>& indexes, std::size_t count,
                 std::vector<std::size_t>* sample);

  std::mt19937_64 random_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_ROUTING_SERVER_SELECTOR_H_
