#include "wisteriarill/mesh/rate_shares.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <string>
#include <vector>

namespace wisteriarill {
namespace {

constexpr Instant kStart{seconds(1000)};
constexpr double kRate = 100;
constexpr double kBurst = 100;

MeshWorkspace Workspace() {
  MeshWorkspace workspace;
  workspace.name = "w";
  workspace.rate = kRate;
  workspace.burst = kBurst;
  return workspace;
}

TEST(RateShareOwnerTest, GrantsTheRateOfTheSharesLeasedToIt) {
  RateShareOwner owner({0});
  owner.Configure({Workspace()});
  owner.SetNodeCount(4);
  std::uint32_t granted = 0;
  for (int step = 0; step < 1000; ++step) {
    const Instant now = kStart + milliseconds(10) * step;
    owner.AddLease("w", "a", now);
    owner.AddLease("w", "b", now);
    granted += owner.Grant("w", 100, now);
  }
  // Two of four shares for ten seconds, and the part of the burst that is added
  // when the two nodes lease their shares.
  EXPECT_NEAR(granted, 0.5 * kRate * 10 + 0.3 * 0.5 * kBurst, 5);
}

// An owner without shares, as after a restart of all nodes, expects to have no
// token for a long time. A node that it refused must soon ask again, because
// shares may be leased to the owner at once; it would otherwise refuse all
// requests for ten seconds.
TEST(RateShareClientTest, RequestsAgainSoonAfterARefusal) {
  RateShareOwner owner({0});
  owner.Configure({Workspace()});
  owner.SetNodeCount(13);
  RateShareClient client;
  client.RecordDemand(kStart);
  EXPECT_EQ(owner.Grant("w", 1, kStart), 0U);
  client.OnGrant(0, owner.TimeUntilToken("w", kStart), kStart);
  EXPECT_TRUE(client.IsRefused(kStart));
  EXPECT_GT(client.TokensToRequest(kStart + milliseconds(100)), 0U);
}

TEST(RateShareClientTest, LeasesToOneOwnerAtATime) {
  RateShareClient client;
  ASSERT_TRUE(client.CanLeaseTo("a", kStart));
  client.OnLeased("a", kStart);
  EXPECT_TRUE(client.CanLeaseTo("a", kStart));
  EXPECT_FALSE(client.CanLeaseTo("b", kStart + kShareLeaseDuration));
  EXPECT_TRUE(
      client.CanLeaseTo("b", kStart + kShareLeaseDuration + milliseconds(60)));
}

// Nodes whose links fail at random; each has its own view of the live nodes.
class SimulatedFleet {
 public:
  static constexpr std::size_t kNodes = 13;
  static constexpr milliseconds kStep{20};

  explicit SimulatedFleet(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      names_.push_back("n" + std::to_string(i));
      group_.push_back(0);
      owners_.emplace_back(RateTolerance{0.25});
      owners_.back().Configure({Workspace()});
      owners_.back().SetNodeCount(kNodes);
    }
    clients_.resize(kNodes);
  }

  // Partitions the nodes at random, joins them, or restarts some of them.
  void PartitionOrRestart() {
    const auto pick = [this](std::size_t n) { return random_() % n; };
    const std::size_t kind = pick(3);
    const std::size_t groups = kind == 0 ? 1 : 1 + pick(4);
    for (std::size_t& group : group_) group = pick(groups);
    if (kind != 2) return;
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (pick(3) != 0) continue;
      owners_[i] = RateShareOwner({0.25});
      owners_[i].Configure({Workspace()});
      owners_[i].SetNodeCount(kNodes);
    }
  }

  // Simulates one step in which every node wants more tokens than it can get;
  // returns the number of admitted requests.
  std::uint32_t Step(Instant now) {
    std::uint32_t admitted = 0;
    for (std::size_t i = 0; i < kNodes; ++i) {
      std::vector<std::string> live;
      for (std::size_t j = 0; j < kNodes; ++j) {
        if (group_[j] == group_[i]) live.push_back(names_[j]);
      }
      const std::size_t owner = std::stoul(OwnerOf("w", live).substr(1));
      RateShareClient& client = clients_[i];
      if (client.CanLeaseTo(names_[owner], now)) {
        client.OnLeased(names_[owner], now);
        owners_[owner].AddLease("w", names_[i], now);
      }
      for (int request = 0; request < 4; ++request) {
        client.RecordDemand(now);
        const std::uint32_t wanted = client.TokensToRequest(now);
        if (wanted > 0) {
          const std::uint32_t got = owners_[owner].Grant("w", wanted, now);
          client.OnGrant(got, owners_[owner].TimeUntilToken("w", now), now);
        }
        admitted += client.TryTakeToken(now) ? 1 : 0;
      }
    }
    return admitted;
  }

 private:
  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::vector<std::size_t> group_;
  std::vector<RateShareOwner> owners_;
  std::vector<RateShareClient> clients_;
};

TEST(RateShareFleetTest, StaysWithinToleranceDuringPartitionsAndRestarts) {
  constexpr int kStepsInWindow = 5000 / 20;
  constexpr double kMaxAdmitted = (kRate * 5 + kBurst) * 1.25 + 20;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SimulatedFleet fleet(seed);
    std::deque<std::uint32_t> window;
    std::uint32_t sum = 0;
    for (int step = 0; step < 2000; ++step) {
      if (step % 150 == 149) fleet.PartitionOrRestart();
      window.push_back(fleet.Step(kStart + SimulatedFleet::kStep * step));
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
