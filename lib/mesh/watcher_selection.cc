#include "wisteriarill/mesh/watcher_selection.h"

#include <algorithm>
#include <cstdint>
#include <set>

#include "wisteriarill/process/hashing.h"

namespace wisteriarill {
namespace {

struct RankedNode {
  const WatchCandidate* candidate;
  std::uint64_t score;
};

// Returns all nodes by rendezvous score, the best of each failure domain first.
std::vector<RankedNode> RankNodes(
    const std::vector<const WatchCandidate*>& nodes) {
  const std::uint64_t key = Hash64("registry-watch");
  std::vector<RankedNode> ranked;
  ranked.reserve(nodes.size());
  for (const WatchCandidate* node : nodes) {
    ranked.push_back({node, RendezvousScore(key, Hash64(node->ip))});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedNode& a, const RankedNode& b) {
              return a.score != b.score ? a.score > b.score
                                        : a.candidate->ip < b.candidate->ip;
            });
  std::set<std::string> domains;
  std::stable_partition(
      ranked.begin(), ranked.end(), [&domains](const RankedNode& ranked_node) {
        return domains.insert(ranked_node.candidate->failure_domain).second;
      });
  return ranked;
}

}  // namespace

std::vector<std::string> SelectControlGroup(
    const std::vector<WatchCandidate>& nodes) {
  std::vector<const WatchCandidate*> candidates;
  candidates.reserve(nodes.size());
  for (const WatchCandidate& node : nodes) candidates.push_back(&node);
  std::vector<std::string> group;
  for (const RankedNode& ranked : RankNodes(candidates)) {
    if (group.size() == kControlGroupSize) break;
    group.push_back(ranked.candidate->ip);
  }
  return group;
}

std::size_t CountWatchersBefore(const WatchCandidate& own,
                                const std::vector<WatchCandidate>& peers) {
  std::vector<const WatchCandidate*> nodes = {&own};
  for (const WatchCandidate& peer : peers) nodes.push_back(&peer);
  std::size_t watching = 0;
  for (const RankedNode& ranked : RankNodes(nodes)) {
    if (ranked.candidate == &own) break;
    if (ranked.candidate->watching) ++watching;
  }
  return watching;
}

bool ShouldWatch(const WatchCandidate& own,
                 const std::vector<WatchCandidate>& peers) {
  return CountWatchersBefore(own, peers) < kMaxWatchers;
}

}  // namespace wisteriarill
