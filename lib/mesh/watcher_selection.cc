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
std::vector<RankedNode> RankNodes(const WatchCandidate& own,
                                  const std::vector<WatchCandidate>& peers) {
  const std::uint64_t key = Hash64("registry-watch");
  std::vector<RankedNode> ranked = {
      {&own, RendezvousScore(key, Hash64(own.ip))}};
  for (const WatchCandidate& peer : peers) {
    ranked.push_back({&peer, RendezvousScore(key, Hash64(peer.ip))});
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

bool ShouldWatch(const WatchCandidate& own,
                 const std::vector<WatchCandidate>& peers) {
  std::size_t watching = 0;
  for (const RankedNode& ranked : RankNodes(own, peers)) {
    if (ranked.candidate == &own) return true;
    if (ranked.candidate->watching) ++watching;
    if (watching >= kMaxWatchers) return false;
  }
  return true;
}

}  // namespace wisteriarill
