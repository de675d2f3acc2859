/// \file
/// Chooses the backend server for a call. Answers uneven load: the expected
/// finish at a server is weighed against the way there, over a few random
/// candidates, so that nodes with the same old figures don't all choose the
/// same server.
#ifndef WISTERIARILL_MESH_SERVER_SELECTOR_H_
#define WISTERIARILL_MESH_SERVER_SELECTOR_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "wisteriarill/mesh/backend_admission_queue.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// What a node knows of a backend server that may take a call.
struct ServerCandidate {
  std::string instance;
  BackendLoad load;
  std::uint32_t calls_since_heartbeat = 0;  ///< Calls sent there after `load` was told.
  bool local = false;            ///< Beside this node.
  bool same_failure_domain = false;             ///< In this failure domain.
  double failure_rate = 0;      ///< Of recent calls, smoothed.
};

/// No I/O, no clock, one thread.
class ServerSelector {
 public:
  /// Candidates that are compared beyond the local and the near one.
  static constexpr std::size_t kFarCandidates = 2;

  explicit ServerSelector(std::uint64_t seed) : random_(seed) {}

  /// Returns the index of the chosen view; `views` is not empty. `download`
  /// marks answers that are costly to carry far.
  std::size_t Choose(const std::vector<ServerCandidate>& views, bool download);

  /// Returns the expected time to an answer, the way included.
  static microseconds ExpectedTime(const ServerCandidate& view, bool download);

 private:
  std::size_t PickFrom(const std::vector<std::size_t>& indexes);

  std::mt19937_64 random_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_SERVER_SELECTOR_H_
