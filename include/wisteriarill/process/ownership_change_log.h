/// \file
/// What a node remembers of recent changes that move rate parts, so that a
/// restarted home can learn from it which of its parts are not new to it.
#ifndef WISTERIARILL_PROCESS_OWNERSHIP_CHANGE_LOG_H_
#define WISTERIARILL_PROCESS_OWNERSHIP_CHANGE_LOG_H_

#include <map>
#include <string>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/process/rate_shard_planner.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// Records arrivals and departures of servers for a bounded time.
class HomeLog {
 public:
  /// Remembers changes for `memory`.
  HomeLog(RateShardOptions parts, microseconds memory)
      : parts_(parts), memory_(memory) {}

  /// Records the change from `previous` (null at first) to `current`.
  void OnSnapshot(const Snapshot* previous, const Snapshot& current,
                  Instant now);

  /// Notes that no version changed between `at` and the first one seen.
  void OnKnownSince(Instant at);

  /// Answers a peer whose backend server is `node`.
  OwnershipHistory Answer(const Snapshot& current, const std::string& node,
                     Instant now) const;

 private:
  struct Change {
    std::string domain;
    Instant at;
  };

  bool CutChanged(const Snapshot& previous, const Snapshot& current) const;

  const RateShardOptions parts_;
  const microseconds memory_;
  Instant known_since_ = kNever;
  Instant cut_changed_ = kNever;
  std::map<std::string, Change> arrived_;
  std::map<std::string, Change> departed_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_OWNERSHIP_CHANGE_LOG_H_
