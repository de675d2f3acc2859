/// \file
/// The rate of a workspace over all sides of a partition: who owns it on each
/// side, which part of the rate each owner takes, and what both add up to.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "wisteriarill/mesh/probe_order.h"
#include "wisteriarill/mesh/rate_owner_selector.h"
#include "wisteriarill/mesh/rate_tokens.h"
#include "wisteriarill/mesh/reach_estimator.h"

namespace wisteriarill {
namespace {

constexpr Instant kStart{seconds(1000)};
constexpr RateTolerance kTolerance{0.25, 20, seconds(5)};
constexpr std::size_t kDomains = 4;

std::string IpOf(std::size_t node) {
  return "10.0." + std::to_string(node / 250) + "." +
         std::to_string(node % 250 + 1);
}

std::string DomainOf(std::size_t node) {
  return "d" + std::to_string(node % kDomains);
}

std::vector<std::string> MakeNodes(std::size_t count) {
  std::vector<std::string> ips;
  for (std::size_t i = 0; i < count; ++i) ips.push_back(IpOf(i));
  return ips;
}

/// Knows exactly which nodes are on the own side.
class SideView : public OwnerCandidateView {
 public:
  explicit SideView(std::set<std::string> side) : side_(std::move(side)) {}
  OwnerCandidateState StateOf(const std::string& ip) const override {
    return side_.contains(ip) ? OwnerCandidateState::kHeard
                              : OwnerCandidateState::kSilent;
  }

 private:
  std::set<std::string> side_;
};

// Each node of a side that none of the first four candidates was on granted
// tokens by itself.
TEST(RateOwnerSelectorTest, EachSideOfAPartitionHasOneOwner) {
  std::mt19937_64 random(1);
  for (const std::size_t count : {13U, 60U, 87U, 295U}) {
    const std::vector<std::string> nodes = MakeNodes(count);
    for (int round = 0; round < 20; ++round) {
      std::set<std::string> side;
      const std::size_t size = 1 + random() % (count / 2);
      while (side.size() < size) side.insert(nodes[random() % count]);
      const std::string workspace = "w" + std::to_string(round);
      std::set<std::string> owners;
      for (const std::string& ip : side) {
        RateOwnerSelector selector(ip);
        selector.SetNodes(nodes);
        owners.insert(
            selector.Choose(workspace, selector.Rank(workspace), SideView(side))
                .ip);
      }
      EXPECT_EQ(owners.size(), 1U) << count << " nodes, side of " << size;
    }
  }
}

/// Learns what it probes, as a node does within the time of a probe.
class LearningView : public OwnerCandidateView {
 public:
  OwnerCandidateState StateOf(const std::string& ip) const override {
    return known_silent.contains(ip) ? OwnerCandidateState::kSilent
                                     : OwnerCandidateState::kUnheard;
  }
  std::set<std::string> known_silent;
};

TEST(RateOwnerSelectorTest, FindsAnOwnerFarDownTheOrderInFewSteps) {
  constexpr std::size_t kCount = 7100;
  constexpr std::size_t kMaxSteps = 14;
  RateOwnerSelector selector(IpOf(0));
  selector.SetNodes(MakeNodes(kCount));
  LearningView view;
  std::size_t steps = 0;
  OwnerChoice choice;
  while (choice.ip != IpOf(0) && steps <= kMaxSteps) {
    ++steps;
    choice = selector.Choose("w", selector.Rank("w"), view);
    view.known_silent.insert(choice.to_probe.begin(), choice.to_probe.end());
  }
  EXPECT_LE(steps, kMaxSteps) << "all other nodes are silent";
}

double MeasureReach(ReachEstimator* reach, std::size_t peers,
                    std::size_t reached, Instant now) {
  reach->BeginSweep(peers, now);
  for (std::size_t i = 0; i < peers; ++i) {
    reach->OnProbeSent(IpOf(i), now);
    if (i < reached) reach->OnHeard(IpOf(i));
  }
  return reach->Update(peers, now + seconds(1));
}

// Eight tenths of the nodes counted as all of them, so that the parts of the
// sides added up to more than the rate.
TEST(ReachEstimatorTest, ThePartsOfTheSidesAddUpToOne) {
  for (const std::size_t nodes : {2U, 13U, 60U}) {
    for (std::size_t side = 1; side < nodes; ++side) {
      ReachEstimator one;
      ReachEstimator other;
      EXPECT_NEAR(MeasureReach(&one, nodes - 1, side - 1, kStart) +
                      MeasureReach(&other, nodes - 1, nodes - side - 1, kStart),
                  1, 1e-9);
    }
  }
}

TEST(ReachEstimatorTest, CountsAnsweredProbes) {
  ReachEstimator reach;
  EXPECT_EQ(reach.Update(10, kStart), 1);
  EXPECT_EQ(reach.measured_since(), kNever);
  for (int i = 0; i < 10; ++i) {
    const std::string ip = std::to_string(i);
    reach.OnProbeSent(ip, kStart + milliseconds(200) * i);
    if (i % 2 == 0) reach.OnHeard(ip);
  }
  EXPECT_NEAR(reach.Update(10, kStart + seconds(3)), 6.0 / 11, 0.01);
  reach.OnPeersChanged({"0", "1", "2", "4"});
  EXPECT_NEAR(reach.Update(4, kStart + seconds(3)), 4.0 / 5, 0.01);
}

TEST(ReachEstimatorTest, ANodeWithoutPeersKnowsItsReachAtOnce) {
  ReachEstimator reach;
  const Instant since = reach.BeginSweep(0, kStart);
  EXPECT_EQ(reach.Update(0, kStart), 1);
  EXPECT_GE(reach.measured_since(), since);
}

TEST(ReachEstimatorTest, ProbesAllPeersWhenTheReachChanges) {
  ReachEstimator reach;
  Instant now = kStart;
  std::size_t next = 0;
  const auto tick = [&](bool answered) {
    now += milliseconds(200);
    const std::size_t wanted = reach.ProbesWanted(12, now);
    for (std::size_t i = 0; i < wanted; ++i) {
      const std::string ip = IpOf(next++ % 12);
      reach.OnProbeSent(ip, now);
      if (answered) reach.OnHeard(ip);
    }
    reach.Update(12, now);
    return wanted;
  };
  for (int i = 0; i < 20; ++i) EXPECT_EQ(tick(true), 1U);
  int ticks = 0;
  while (reach.Update(12, now) > 0.1 && ticks < 20) {
    tick(false);
    ++ticks;
  }
  EXPECT_LE(ticks, 6) << "a cut is measured in little more than a second";
  EXPECT_FALSE(reach.PeerToRetest(now + seconds(1)).empty());
}

/// Nodes in groups that reach only each other, all of which want more tokens of
/// a workspace than they can get. They notice changes of the groups late, each
/// after a time of its own, and measure their reach with probes.
class PartitionedFleet {
 public:
  static constexpr milliseconds kStep{20};
  static constexpr int kStepsPerTick = 10;
  /// Longest time until a node notices that another is silent.
  static constexpr milliseconds kMaxNoticeTime{400};

  PartitionedFleet(std::size_t count, std::uint64_t seed)
      : random_(seed), names_(MakeNodes(count)), nodes_(count) {
    workspace_.name = "w";
    workspace_.rate = static_cast<double>(20 + Pick(300));
    workspace_.burst = workspace_.rate;
    ranked_ = RankOwners("w", names_, RateOwnerSelector::kRanked);
    for (std::size_t i = 0; i < count; ++i) {
      nodes_[i].selector = std::make_unique<RateOwnerSelector>(names_[i]);
      nodes_[i].selector->SetNodes(names_);
      SetCandidates(i, seed);
      Restart(i, kStart);
    }
  }

  double max_admitted() const {
    return (workspace_.rate * 5 + workspace_.burst) * (1 + kTolerance.excess) +
           kTolerance.slack;
  }

  /// Joins the nodes, cuts them into groups by failure domain or at random, or
  /// cuts some off one by one; sometimes restarts a few.
  void Change(Instant now) {
    const std::size_t kind = Pick(5);
    const std::size_t groups = 2 + Pick(3);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& node = nodes_[i];
      node.group_before = node.group;
      node.group = 0;
      if (kind == 1) node.group = (i % kDomains) % groups;
      if (kind == 2) node.group = Pick(groups);
      if (kind == 3 && Pick(3) == 0) node.group = 1 + i;
      node.notices_at = now + milliseconds(Pick(kMaxNoticeTime.count()));
      if (kind == 4 && Pick(3) == 0) Restart(i, now);
    }
  }

  /// Simulates one step; returns the number of admitted requests.
  std::uint32_t Step(int step, Instant now) {
    if (step % kStepsPerTick == 0) Tick(now);
    std::uint32_t admitted = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      for (int request = 0; request < 4; ++request) {
        if (Request(i, now)) ++admitted;
      }
    }
    return admitted;
  }

 private:
  struct Node {
    RateTokenOwner owner{kTolerance};
    RateTokenClient client;
    ReachEstimator reach;
    ProbeOrder order{0};
    std::unique_ptr<RateOwnerSelector> selector;
    std::size_t group = 0;
    std::size_t group_before = 0;
    Instant notices_at = kNever;
  };

  /// What node `i` thinks of the others.
  class View : public OwnerCandidateView {
   public:
    View(const PartitionedFleet* fleet, std::size_t i, Instant now)
        : fleet_(fleet), i_(i), now_(now) {}
    OwnerCandidateState StateOf(const std::string& ip) const override {
      return fleet_->TakesForSilent(i_, fleet_->IndexOf(ip), now_)
                 ? OwnerCandidateState::kSilent
                 : OwnerCandidateState::kHeard;
    }

   private:
    const PartitionedFleet* fleet_;
    std::size_t i_;
    Instant now_;
  };

  std::size_t Pick(std::size_t n) { return random_() % n; }

  std::size_t IndexOf(const std::string& ip) const {
    const std::size_t dot = ip.rfind('.');
    const std::size_t high = std::stoul(ip.substr(5, dot - 5));
    return high * 250 + std::stoul(ip.substr(dot + 1)) - 1;
  }

  void SetCandidates(std::size_t i, std::uint64_t seed) {
    std::vector<ProbeCandidate> peers;
    for (std::size_t j = 0; j < names_.size(); ++j) {
      if (j != i) peers.push_back({names_[j], DomainOf(j)});
    }
    nodes_[i].order = ProbeOrder(seed * 1000 + i);
    nodes_[i].order.SetCandidates(std::move(peers));
  }

  void Restart(std::size_t i, Instant now) {
    nodes_[i].owner = RateTokenOwner(kTolerance);
    nodes_[i].owner.Configure({workspace_});
    nodes_[i].owner.SetOwned("w", ranked_.front() == names_[i], now);
    nodes_[i].reach = ReachEstimator();
    nodes_[i].notices_at = now;  // It took nobody for silent yet.
  }

  void Tick(Instant now) {
    const std::size_t peers = names_.size() - 1;
    for (Node& node : nodes_) {
      for (std::size_t n = node.reach.ProbesWanted(peers, now); n > 0; --n) {
        const std::string ip = node.order.Next();
        node.reach.OnProbeSent(ip, now);
        if (nodes_[IndexOf(ip)].group == node.group) node.reach.OnHeard(ip);
      }
      const double reach = node.reach.Update(peers, now);
      node.owner.SetReach(reach, node.reach.measured_since(), now);
    }
  }

  bool TakesForSilent(std::size_t i, std::size_t j, Instant now) const {
    const bool noticed = now >= nodes_[i].notices_at;
    return noticed ? nodes_[i].group != nodes_[j].group
                   : nodes_[i].group_before != nodes_[j].group_before;
  }

  bool Request(std::size_t i, Instant now) {
    RateTokenClient& client = nodes_[i].client;
    client.RecordDemand(now);
    const std::uint32_t wanted = client.TokensToRequest(now);
    if (wanted > 0) Ask(i, wanted, now);
    return client.TryTakeToken(now);
  }

  std::size_t ChooseOwner(std::size_t i, Instant now) const {
    return IndexOf(
        nodes_[i].selector->Choose("w", ranked_, View(this, i, now)).ip);
  }

  void Ask(std::size_t i, std::uint32_t wanted, Instant now) {
    const std::size_t j = ChooseOwner(i, now);
    // The request is lost, or is refused by a node that knows an owner.
    if (nodes_[i].group != nodes_[j].group) return;
    if (j != i && ChooseOwner(j, now) != j) return;
    Node& owner = nodes_[j];
    if (owner.owner.ActAsOwner("w", now)) {
      owner.owner.RequireReachSince(
          "w", owner.reach.BeginSweep(names_.size() - 1, now));
    }
    if (!owner.owner.KnowsPart("w")) return;
    const std::uint32_t granted = owner.owner.Grant("w", wanted, now);
    nodes_[i].client.OnGrant(granted, owner.owner.TimeUntilToken("w", now),
                             now);
  }

  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::vector<Node> nodes_;
  std::vector<std::string> ranked_;
  MeshWorkspace workspace_;
};

/// Plays one fleet and checks every window. Returns the greatest part of what
/// is allowed that was admitted.
double PlayPartitions(std::size_t nodes, std::uint64_t seed, int steps) {
  constexpr int kStepsInWindow = 5000 / 20;
  PartitionedFleet fleet(nodes, seed);
  std::deque<std::uint32_t> window;
  std::uint32_t sum = 0;
  std::uint32_t greatest = 0;
  for (int step = 0; step < steps; ++step) {
    const Instant now = kStart + PartitionedFleet::kStep * step;
    if (step % 150 == 149) fleet.Change(now);
    window.push_back(fleet.Step(step, now));
    sum += window.back();
    if (window.size() > kStepsInWindow) {
      sum -= window.front();
      window.pop_front();
    }
    greatest = std::max(greatest, sum);
  }
  return greatest / fleet.max_admitted();
}

TEST(RatePartitionTest, StaysWithinToleranceInSmallFleets) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    EXPECT_LE(PlayPartitions(13, seed, 2000), 1) << "seed " << seed;
  }
}

TEST(RatePartitionTest, StaysWithinToleranceInLargeFleets) {
  for (const std::size_t nodes : {60U, 87U, 295U}) {
    const std::uint64_t seeds = 600 / nodes;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      EXPECT_LE(PlayPartitions(nodes, seed, 1000), 1)
          << nodes << " nodes, seed " << seed;
    }
  }
}

}  // namespace
}  // namespace wisteriarill
