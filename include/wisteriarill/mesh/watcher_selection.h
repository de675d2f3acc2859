/// \file
/// Decides which nodes watch the platform's registry. Every change wakes every
/// watch, so a whole fleet of watchers would overload the registry's store. A
/// few nodes watch it and pass changes on to the others.
#ifndef WISTERIARILL_MESH_WATCHER_SELECTION_H_
#define WISTERIARILL_MESH_WATCHER_SELECTION_H_

#include <cstddef>
#include <string>
#include <vector>

namespace wisteriarill {

/// Maximum number of watchers. With three, one can be lost with its failure
/// domain and another be cut off from the store unnoticed.
inline constexpr std::size_t kMaxWatchers = 3;

/// What a node knows about itself or a peer.
struct WatchCandidate {
  std::string ip;
  std::string failure_domain;  ///< Empty: unknown.
  bool watching = false;       ///< Its last read of the store succeeded.
};

/// Number of nodes that watch the store or stand in for those that do.
inline constexpr std::size_t kControlGroupSize = 6;

/// Returns the addresses of the nodes that are first in the ranking of
/// ShouldWatch. They probe each other, so each knows which of them watch; all
/// other nodes only rely on the age of the last confirmed read of the store.
std::vector<std::string> SelectControlGroup(
    const std::vector<WatchCandidate>& nodes);

/// Returns whether the node `own` watches the store; `peers` are the other live
/// nodes. All nodes compute the same ranking, with the best node of each
/// failure domain before all others. A node watches unless kMaxWatchers nodes
/// that rank before it do so. Does no I/O and has no state.
bool ShouldWatch(const WatchCandidate& own,
                 const std::vector<WatchCandidate>& peers);

/// Returns how many of the live nodes `peers` watch and rank before `own`.
std::size_t CountWatchersBefore(const WatchCandidate& own,
                                const std::vector<WatchCandidate>& peers);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_WATCHER_SELECTION_H_
