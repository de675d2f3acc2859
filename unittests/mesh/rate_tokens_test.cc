#include "wisteriarill/mesh/rate_tokens.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <string>
#include <vector>

#include "wisteriarill/mesh/reach_estimator.h"

namespace wisteriarill {
namespace {

constexpr Instant kStart{seconds(1000)};
constexpr double kRate = 100;
constexpr double kBurst = 100;
constexpr RateTolerance kTolerance{0.25, 20, seconds(5)};

MeshWorkspace Workspace() {
  MeshWorkspace workspace;
  workspace.name = "w";
  workspace.rate = kRate;
  workspace.burst = kBurst;
  return workspace;
}

TEST(RateTokenOwnerTest, GrantsTheRateAndTheBurst) {
  RateTokenOwner owner({0});
  owner.Configure({Workspace()});
  owner.SetOwned("w", true, kStart);
  std::uint32_t granted = 0;
  for (int step = 500; step < 1500; ++step) {
    granted += owner.Grant("w", 100, kStart + milliseconds(10) * step);
  }
  // A single grant leaves a part of the tokens to others.
  for (int i = 0; i < 20; ++i) {
    granted += owner.Grant("w", 100, kStart + milliseconds(14990));
  }
  EXPECT_NEAR(granted, kRate * 10 + kBurst, 5);
}

// A workspace with a low rate may use a part of the slack, so that its bursts
// aren't refused; in no window may it exceed the tolerance.
TEST(RateTokenOwnerTest, ALowRateUsesAPartOfTheSlack) {
  MeshWorkspace low = Workspace();
  low.rate = 5;
  low.burst = 5;
  RateTokenOwner owner(kTolerance);
  owner.Configure({low});
  owner.SetOwned("w", true, kStart);
  const Instant rested = kStart + seconds(60);
  std::uint32_t granted = 0;
  for (int step = 0; step < 250; ++step) {
    for (int i = 0; i < 4; ++i) {
      granted += owner.Grant("w", 4, rested + milliseconds(20) * step);
    }
  }
  EXPECT_GT(granted, 5 * low.rate + low.burst + 5);
  EXPECT_LE(granted, (5 * low.rate + low.burst) * 1.25 + 20);
}

// The sides of a partition together must stay near the rate.
TEST(RateTokenOwnerTest, GrantsThePartOfTheNodesThatItReaches) {
  RateTokenOwner owner({0});
  owner.Configure({Workspace()});
  owner.SetOwned("w", true, kStart);
  owner.SetReach(0.5);
  std::uint32_t granted = 0;
  for (int step = 0; step < 1000; ++step) {
    granted += owner.Grant("w", 100, kStart + milliseconds(10) * step);
  }
  EXPECT_NEAR(granted, 0.5 * kRate * 10, 5);
}

// A node that becomes the owner begins without the tokens that the owner before
// it may have granted. Otherwise each replacement would add a burst.
TEST(RateTokenOwnerTest, TokensAccumulateOnlyAtTheOwner) {
  RateTokenOwner owner({0});
  owner.Configure({Workspace()});
  owner.SetOwned("w", false, kStart);
  owner.SetOwned("w", true, kStart + seconds(60));
  EXPECT_LE(owner.Grant("w", 100, kStart + seconds(60)), 2U);
  RateTokenOwner standing_in({0});
  standing_in.Configure({Workspace()});
  standing_in.ActAsOwner("w", kStart);
  standing_in.Grant("w", 100, kStart);
  standing_in.ActAsOwner("w", kStart + seconds(60));
  EXPECT_LE(standing_in.Grant("w", 100, kStart + seconds(60)), 2U);
}

// An owner that has just taken over expects to have no token for some time. A
// node that it refused must soon ask again; it would otherwise refuse all
// requests although another node may own the workspace by then.
TEST(RateTokenClientTest, RequestsAgainSoonAfterARefusal) {
  MeshWorkspace slow = Workspace();
  slow.rate = 0.1;
  RateTokenOwner owner({0});
  owner.Configure({slow});
  owner.SetOwned("w", true, kStart);
  RateTokenClient client;
  client.RecordDemand(kStart);
  EXPECT_EQ(owner.Grant("w", 2, kStart) + owner.Grant("w", 2, kStart), 2U);
  EXPECT_EQ(owner.Grant("w", 1, kStart), 0U);
  client.OnGrant(0, owner.TimeUntilToken("w", kStart), kStart);
  EXPECT_TRUE(client.IsRefused(kStart));
  EXPECT_GT(client.TokensToRequest(kStart + milliseconds(100)), 0U);
}

TEST(RankOwnersTest, ANodeThatLeavesMovesOnlyItsWorkspaces) {
  std::vector<std::string> nodes;
  for (int i = 0; i < 100; ++i) nodes.push_back("10.0.0." + std::to_string(i));
  const std::vector<std::string> without_last(nodes.begin(), nodes.end() - 1);
  int owned_by_last = 0;
  for (int w = 0; w < 1000; ++w) {
    const std::string workspace = "w" + std::to_string(w);
    const auto before = RankOwners(workspace, nodes, 4);
    const auto after = RankOwners(workspace, without_last, 4);
    ASSERT_EQ(before.size(), 4U);
    if (before.front() == nodes.back()) {
      ++owned_by_last;
      EXPECT_EQ(after.front(), before[1]);
    } else {
      EXPECT_EQ(after.front(), before.front());
    }
  }
  EXPECT_GT(owned_by_last, 0);
  EXPECT_LT(owned_by_last, 40) << "the workspaces are spread over the nodes";
}

TEST(ReachEstimatorTest, CountsAnsweredProbes) {
  ReachEstimator reach;
  EXPECT_EQ(reach.Reach(kStart), 1);
  for (int i = 0; i < 10; ++i) {
    const std::string ip = std::to_string(i);
    reach.OnProbeSent(ip, kStart + milliseconds(200) * i);
    if (i % 2 == 0) reach.OnHeard(ip);
  }
  EXPECT_NEAR(reach.Reach(kStart + seconds(3)), 0.5, 0.01);
}

// Nodes in groups that reach only each other. They notice changes of the groups
// late, each after a time of its own, and each estimates its reach from probes.
class SimulatedFleet {
 public:
  static constexpr std::size_t kNodes = 13;
  static constexpr milliseconds kStep{20};
  /// Longest time until a node notices that the owner is silent.
  static constexpr milliseconds kMaxNoticeTime{400};

  explicit SimulatedFleet(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      names_.push_back("n" + std::to_string(i));
      nodes_.emplace_back();
    }
    owners_ = RankOwners("w", names_, kNodes);
    for (std::size_t i = 0; i < kNodes; ++i) Restart(i, kStart);
  }

  // Partitions the nodes at random, joins them, or restarts some of them.
  void PartitionOrRestart(Instant now) {
    const std::size_t kind = Pick(3);
    const std::size_t groups = kind == 0 ? 1 : 1 + Pick(4);
    for (Node& node : nodes_) {
      node.group_before = node.group;
      node.group = Pick(groups);
      const auto notice =
          static_cast<std::int64_t>(Pick(kMaxNoticeTime.count()));
      node.notices_at = now + milliseconds(notice);
    }
    if (kind != 2) return;
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (Pick(3) == 0) Restart(i, now);
    }
  }

  // Simulates one step in which every node wants more tokens than it can get;
  // returns the number of admitted requests.
  std::uint32_t Step(int step, Instant now) {
    if (step % 10 == 0) ProbeRandomPeers(now);
    std::uint32_t admitted = 0;
    for (std::size_t i = 0; i < kNodes; ++i) {
      for (int request = 0; request < 4; ++request) {
        admitted += Request(i, now) ? 1 : 0;
      }
    }
    return admitted;
  }

 private:
  struct Node {
    RateTokenOwner owner{kTolerance};
    RateTokenClient client;
    ReachEstimator reach;
    std::size_t group = 0;
    std::size_t group_before = 0;
    Instant notices_at = kNever;
  };

  std::size_t Pick(std::size_t n) { return random_() % n; }

  void Restart(std::size_t i, Instant now) {
    nodes_[i].owner = RateTokenOwner(kTolerance);
    nodes_[i].owner.Configure({Workspace()});
    nodes_[i].owner.SetOwned("w", owners_.front() == names_[i], now);
    nodes_[i].reach = ReachEstimator();
  }

  void ProbeRandomPeers(Instant now) {
    for (Node& node : nodes_) {
      const std::size_t peer = Pick(kNodes);
      node.reach.OnProbeSent(names_[peer], now);
      if (nodes_[peer].group == node.group) node.reach.OnHeard(names_[peer]);
      node.owner.SetReach(std::max(1.0 / kNodes, node.reach.Reach(now)));
    }
  }

  // Returns whether node `i` takes node `j` for silent.
  bool TakesForSilent(std::size_t i, std::size_t j, Instant now) const {
    const Node& node = nodes_[i];
    const bool noticed = now >= node.notices_at;
    const std::size_t group = noticed ? node.group : node.group_before;
    const Node& other = nodes_[j];
    return group != (noticed ? other.group : other.group_before);
  }

  bool Request(std::size_t i, Instant now) {
    RateTokenClient& client = nodes_[i].client;
    client.RecordDemand(now);
    const std::uint32_t wanted = client.TokensToRequest(now);
    if (wanted > 0) Ask(i, wanted, now);
    return client.TryTakeToken(now);
  }

  // Asks the first owner that node `i` doesn't take for silent.
  void Ask(std::size_t i, std::uint32_t wanted, Instant now) {
    for (const std::string& name : owners_) {
      const std::size_t j = std::stoul(name.substr(1));
      if (TakesForSilent(i, j, now)) continue;
      if (nodes_[i].group != nodes_[j].group) return;  // The request is lost.
      if (!MayGrant(j, now)) return;
      Node& owner = nodes_[j];
      owner.owner.ActAsOwner("w", now);
      const std::uint32_t granted = owner.owner.Grant("w", wanted, now);
      nodes_[i].client.OnGrant(granted, owner.owner.TimeUntilToken("w", now),
                               now);
      return;
    }
  }

  // Returns whether node `j` takes all that rank before it for silent.
  bool MayGrant(std::size_t j, Instant now) const {
    for (const std::string& name : owners_) {
      const std::size_t k = std::stoul(name.substr(1));
      if (k == j) return true;
      if (!TakesForSilent(j, k, now)) return false;
    }
    return true;
  }

  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::vector<std::string> owners_;
  std::vector<Node> nodes_;
};

TEST(RateTokenFleetTest, StaysWithinToleranceDuringPartitionsAndRestarts) {
  constexpr int kStepsInWindow = 5000 / 20;
  constexpr double kMaxAdmitted =
      (kRate * 5 + kBurst) * (1 + kTolerance.excess) + kTolerance.slack;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SimulatedFleet fleet(seed);
    std::deque<std::uint32_t> window;
    std::uint32_t sum = 0;
    for (int step = 0; step < 2000; ++step) {
      const Instant now = kStart + SimulatedFleet::kStep * step;
      if (step % 150 == 149) fleet.PartitionOrRestart(now);
      window.push_back(fleet.Step(step, now));
      sum += window.back();
      if (window.size() > kStepsInWindow) {
        sum -= window.front();
        window.pop_front();
      }
      ASSERT_LE(sum, kMaxAdmitted) << "seed " << seed << " step " << step;
    }
  }
}

}  // namespace
}  // namespace wisteriarill
