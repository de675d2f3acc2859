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
  std::uint32_t calls_since_heartbeat = 0;
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

  /// Returns the index of the chosen server; `servers` must not be empty.
  /// `download` says that the response is large and thus costly to transfer
  /// from another failure domain.
  std::size_t Choose(const std::vector<ServerCandidate>& servers,
                     bool download);

  /// Returns the expected time to the response, including the network.
  static microseconds ExpectedLatency(const ServerCandidate& server,
                                      bool download);

 private:
  std::size_t PickRandom(const std::vector<std::size_t>& indexes);

  std::mt19937_64 random_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_SERVER_SELECTOR_H_
