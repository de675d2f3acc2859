/// \file
/// A record of recent changes that move rate shards to other owners. A
/// restarted owner asks its peers for it to learn which of its shards it has
/// owned all along.
#ifndef WISTERIARILL_PROCESS_OWNERSHIP_CHANGE_LOG_H_
#define WISTERIARILL_PROCESS_OWNERSHIP_CHANGE_LOG_H_

#include <map>
#include <string>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/process/rate_shard_planner.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// Records the arrivals and departures of servers and the changes of the number
/// of shards for a limited time.
class OwnershipChangeLog {
 public:
  /// Remembers changes for `retention`.
  OwnershipChangeLog(RateShardOptions options, microseconds retention)
      : options_(options), retention_(retention) {}

  /// Records the change from `previous` (null for the first version) to
  /// `current`.
  void OnSnapshot(const Snapshot* previous, const Snapshot& current,
                  Instant now);

  /// Records that no version changed between `at` and the first version seen.
  void ExtendHistory(Instant at);

  /// Returns the history for a peer whose backend server is `node`.
  OwnershipHistory MakeHistory(const Snapshot& current, const std::string& node,
                               Instant now) const;

 private:
  struct Change {
    std::string domain;
    Instant at;
  };

  bool ShardCountChanged(const Snapshot& previous,
                         const Snapshot& current) const;

  const RateShardOptions options_;
  const microseconds retention_;
  Instant known_since_ = kNever;
  Instant resharded_ = kNever;
  std::map<std::string, Change> arrived_;
  std::map<std::string, Change> departed_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_OWNERSHIP_CHANGE_LOG_H_
