#include "wisteriarill/mesh/watcher_selection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace wisteriarill {
namespace {

// Nodes that all see each other and watch the store when they are selected.
class Fleet {
 public:
  explicit Fleet(int nodes) {
    for (int i = 0; i < nodes; ++i) {
      nodes_.push_back(
          {"10.0.0." + std::to_string(i), "d" + std::to_string(i % 4), false});
    }
  }

  // Lets every node decide for enough rounds to settle; the nodes in
  // `disconnected` can't reach the store.
  void Settle(const std::set<std::string>& disconnected) {
    for (int round = 0; round < 10; ++round) {
      std::vector<WatchCandidate> next = nodes_;
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        std::vector<WatchCandidate> peers = nodes_;
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
        next[i].watching = !disconnected.contains(nodes_[i].ip) &&
                           ShouldWatch(nodes_[i], peers);
      }
      nodes_ = next;
    }
  }

  std::vector<WatchCandidate> Watching() const {
    std::vector<WatchCandidate> watching;
    std::copy_if(nodes_.begin(), nodes_.end(), std::back_inserter(watching),
                 [](const WatchCandidate& node) { return node.watching; });
    return watching;
  }

 private:
  std::vector<WatchCandidate> nodes_;
};

TEST(WatcherSelectionTest, SelectsFewNodesInDifferentFailureDomains) {
  for (const int nodes : {1, 2, 3, 13, 87, 300}) {
    Fleet fleet(nodes);
    fleet.Settle({});
    const auto watching = fleet.Watching();
    EXPECT_EQ(watching.size(), std::min<std::size_t>(nodes, kMaxWatchers));
    std::set<std::string> domains;
    for (const WatchCandidate& node : watching) {
      EXPECT_TRUE(domains.insert(node.failure_domain).second);
    }
  }
}

TEST(WatcherSelectionTest, ReplacesNodesThatCannotReachTheStore) {
  Fleet fleet(13);
  fleet.Settle({});
  std::set<std::string> disconnected;
  for (int i = 0; i < 5; ++i) {
    for (const WatchCandidate& node : fleet.Watching())
      disconnected.insert(node.ip);
    if (disconnected.size() >= 9) break;
    fleet.Settle(disconnected);
    EXPECT_EQ(fleet.Watching().size(), kMaxWatchers);
  }
  fleet.Settle({});
  EXPECT_EQ(fleet.Watching().size(), kMaxWatchers);
}

TEST(WatcherSelectionTest, ANodeWithoutPeersWatches) {
  EXPECT_TRUE(ShouldWatch({"10.0.0.1", "d1", false}, {}));
}

}  // namespace
}  // namespace wisteriarill
