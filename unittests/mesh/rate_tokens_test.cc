#include "wisteriarill/mesh/rate_tokens.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

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
  owner.SetReach(0.5, kStart, kStart);
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
  standing_in.SetReach(1, kStart + seconds(60), kStart + seconds(60));
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

// Many nodes may be cut off at once, each alone. If each granted before it knew
// its part, they would exceed the rate together.
TEST(RateTokenOwnerTest, AStandInGrantsNothingBeforeItsReachIsMeasured) {
  RateTokenOwner owner({0});
  owner.Configure({Workspace()});
  owner.SetReach(1, kStart - seconds(10), kStart);
  EXPECT_TRUE(owner.ActAsOwner("w", kStart));
  EXPECT_FALSE(owner.ActAsOwner("w", kStart + milliseconds(100)));
  EXPECT_FALSE(owner.KnowsPart("w"));
  EXPECT_EQ(owner.Grant("w", 10, kStart + milliseconds(500)), 0U);
  owner.SetReach(0.5, kStart, kStart);
  EXPECT_TRUE(owner.KnowsPart("w"));
  EXPECT_GT(owner.Grant("w", 10, kStart + milliseconds(900)), 0U);
}

}  // namespace
}  // namespace wisteriarill
