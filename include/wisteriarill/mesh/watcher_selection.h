/// \file
/// Decides which nodes watch the platform's registry. Answers the load of a
/// fleet on the registry's store: every change wakes every watch, so a few
/// nodes watch and tell the others.
#ifndef WISTERIARILL_MESH_WATCHER_SELECTION_H_
#define WISTERIARILL_MESH_WATCHER_SELECTION_H_

#include <cstddef>
#include <string>
#include <vector>

namespace wisteriarill {

/// Nodes that watch at the same time. One may be lost with its failure
/// domain and another be cut from the store unnoticed.
inline constexpr std::size_t kWatchers = 3;

/// A node as this one knows it.
struct WatchCandidate {
  std::string ip;
  std::string failure_domain;  ///< Empty: not known.
  bool watching = false;       ///< Its last read of the store succeeded.
};

/// Returns whether the node `own` watches beside the live nodes `peers`. All
/// nodes rank each other alike, the first of each failure domain before the
/// others; a node watches unless kWatchers that rank before it do so. No I/O,
/// no state.
bool ShouldWatch(const WatchCandidate& own,
                 const std::vector<WatchCandidate>& peers);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_WATCHER_SELECTION_H_
