/// \file
/// Chooses the backend server for a call by expected latency, which includes
/// queueing, service time and the network. Only a few random candidates are
/// compared, so that nodes with the same outdated load reports don't all choose
/// the same server.
#ifndef WISTERIARILL_MESH_SERVER_SELECTOR_H_
#define WISTERIARILL_MESH_SERVER_SELECTOR_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "wisteriarill/mesh/backend_admission_queue.h"
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
  /// Returns the index among `sample` with the lowest expected latency.
  /// `download` says that the response is large and thus costly to transfer
  /// from another failure domain.
  static std::size_t Best(const std::vector<ServerCandidate>& servers,
                          const std::vector<std::size_t>& sample,
                          bool download);
  /// Returns whether `server` is the local one, and so far from full that no
  /// other can be expected to respond sooner.
  static bool IsIdleLocal(const ServerCandidate& server,
                          microseconds typical_service_time);

  /// Returns the expected time to the response, including the network.
  static microseconds ExpectedLatency(const ServerCandidate& server,
                                      bool download);

 private:
  std::size_t PickRandom(const std::vector<std::size_t>& indexes);

  std::mt19937_64 random_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_SERVER_SELECTOR_H_
