/// \file
/// How soon nodes read the store themselves when those that read it for them
/// are lost, and how many of them do.
#include "wisteriarill/registry/store_takeover.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "mesh_fixture.h"

namespace wisteriarill {
namespace {

std::string IpOf(std::size_t node) {
  return "10." + std::to_string(node / 62500) + "." +
         std::to_string(node / 250 % 250) + "." +
         std::to_string(node % 250 + 1);
}

/// Nodes whose control group has just been lost. Each knows of a read at a time
/// of its own before the loss, and passes on what it hears as Proxy does.
class FleetWithoutReaders {
 public:
  static constexpr milliseconds kStep{20};
  static constexpr int kStepsPerExchange = 10;
  static constexpr std::size_t kFanout = 5;
  /// Ages of the last known read differ by up to this when the group is lost.
  static constexpr int kMaxAgeMillis = 500;

  FleetWithoutReaders(std::size_t nodes, double alive_share, milliseconds bound,
                      std::uint64_t seed)
      : random_(seed) {
    std::uniform_real_distribution<double> share(0, 1);
    for (std::size_t i = 0; i < nodes; ++i) {
      nodes_.push_back({StoreTakeover(bound, IpOf(i))});
      nodes_.back().alive = share(random_) < alive_share;
      nodes_.back().age = milliseconds(random_() % kMaxAgeMillis);
    }
    nodes_[random_() % nodes].alive = true;
  }

  /// Advances time by a step. Returns whether all nodes that are alive know of
  /// a read after the loss.
  bool Step() {
    ++steps_;
    for (Node& node : nodes_) node.age += kStep;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].alive) Run(i);
    }
    return std::all_of(nodes_.begin(), nodes_.end(), [](const Node& node) {
      return !node.alive || node.informed;
    });
  }

  milliseconds elapsed() const { return kStep * steps_; }
  std::size_t reads() const { return reads_; }

 private:
  struct Node {
    StoreTakeover takeover;
    bool alive = true;
    milliseconds age{0};
    milliseconds reading{0};  ///< Time since it began to read; 0: not reading.
    bool informed = false;    ///< Knows of a read after the loss.
  };

  void Run(std::size_t i) {
    Node& node = nodes_[i];
    if (node.reading.count() > 0) {
      node.reading += kStep;
      if (node.reading > StoreTakeover::kReadTime) {
        node.reading = milliseconds(0);
        Inform(i, milliseconds(0));
      }
    } else if (node.age > node.takeover.TakeoverAge(nodes_.size())) {
      node.reading = kStep;
      ++reads_;
    }
    if ((steps_ + i) % kStepsPerExchange == 0) Exchange(i);
  }

  void Inform(std::size_t i, milliseconds age) {
    Node& node = nodes_[i];
    if (!node.alive || age >= node.age) return;
    const milliseconds before = std::exchange(node.age, age);
    // An age within the time since the loss is that of a read after it.
    node.informed = age < elapsed();
    if (!node.takeover.ShouldAnnounce(before, age)) return;
    for (std::size_t k = 0; k < kFanout; ++k)
      Inform(random_() % nodes_.size(), age);
  }

  void Exchange(std::size_t i) {
    const std::size_t other = random_() % nodes_.size();
    if (!nodes_[other].alive) return;
    Inform(i, nodes_[other].age);
    Inform(other, nodes_[i].age);
  }

  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::size_t steps_ = 0;
  std::size_t reads_ = 0;
};

// A node that outlived all readers of the store acted on the old configuration
// for longer than the bound.
TEST(StoreTakeoverTest, AllNodesKnowOfANewReadWithinTheBound) {
  for (const milliseconds bound : {milliseconds(2000), milliseconds(3000)}) {
    for (const std::size_t nodes : {13U, 60U, 295U, 7100U}) {
      for (const double alive : {0.0, 0.08, 0.5, 1.0}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
          FleetWithoutReaders fleet(nodes, alive, bound, seed);
          while (!fleet.Step() && fleet.elapsed() <= bound) {
          }
          EXPECT_LE(fleet.elapsed(), bound)
              << nodes << " nodes, " << alive << " alive, seed " << seed;
        }
      }
    }
  }
}

// Nodes that lose all readers at once must not all read at once.
TEST(StoreTakeoverTest, FewNodesOfALargeFleetRead) {
  for (const std::size_t nodes : {295U, 7100U}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      FleetWithoutReaders fleet(nodes, 1, milliseconds(3000), seed);
      while (!fleet.Step() && fleet.elapsed() < seconds(10)) {
      }
      RecordProperty("reads_" + std::to_string(nodes),
                     static_cast<int>(fleet.reads()));
      EXPECT_LE(fleet.reads(), nodes / 4) << "seed " << seed;
    }
  }
}

TEST(StoreTakeoverTest, TheWholeWaitIsBoundedWhicheverNodesAreAlive) {
  const milliseconds bound(2000);
  std::size_t first = 0;
  for (std::size_t i = 0; i < 7100; ++i) {
    const StoreTakeover takeover(bound, IpOf(i));
    const milliseconds age = takeover.TakeoverAge(7100);
    EXPECT_GT(age, takeover.ask_age());
    EXPECT_LE(age, takeover.max_age());
    if (age <= takeover.max_age() * 3 / 4) ++first;
  }
  EXPECT_LE(first, 50U);
  EXPECT_LE(StoreTakeover(bound, "n").max_age() + StoreTakeover::kReadTime +
                StoreTakeover::kSpreadTime,
            bound);
}

class StoreTakeoverMeshTest : public MeshFixture {
 protected:
  /// Registers servers whose nodes are dead, so that the control group holds
  /// `member` and not `outsider`.
  void AddDeadServers(const TestNode& member, const TestNode& outsider) {
    std::vector<WatchCandidate> nodes = {
        {member.settings.ip, member.settings.failure_domain, false},
        {outsider.settings.ip, outsider.settings.failure_domain, false}};
    const auto in_group = [&nodes](const TestNode& node) {
      const std::vector<std::string> group = SelectControlGroup(nodes);
      return std::count(group.begin(), group.end(), node.settings.ip) > 0;
    };
    for (int i = 1; in_group(outsider) && i < 250; ++i) {
      BackendEntry entry;
      entry.ip = "127.0.8." + std::to_string(i);
      entry.instance = "i-dead-" + std::to_string(i);
      entry.service = "booking";
      entry.address = entry.ip + ":1";
      entry.failure_domain = outsider.settings.failure_domain;
      nodes.push_back({entry.ip, entry.failure_domain, false});
      if (!in_group(member)) {
        nodes.pop_back();
        continue;
      }
      other_servers_.push_back(std::move(entry));
    }
    ASSERT_TRUE(in_group(member) && !in_group(outsider));
  }
};

// The last reader of the store falls silent beside a node that never read it.
TEST_F(StoreTakeoverMeshTest, ANodeOutsideTheControlGroupTakesOverInTime) {
  TestNode* member = AddNode("booking", "d1");
  TestNode* outsider = AddNode("booking", "d2");
  AddDeadServers(*member, *outsider);
  Publish();
  member->proxy->registry()->SetWatching(true);
  member->proxy->registry()->SetAwaitingChange(true);
  RegistrySynchronizer* registry = outsider->proxy->registry();
  ASSERT_TRUE(RunUntil([registry] { return !registry->watch_wanted(); }));
  RunFor(milliseconds(500));
  ASSERT_FALSE(registry->watch_wanted()) << "a member reads the store";
  member->proxy->registry()->SetAwaitingChange(false);
  member->proxy->registry()->SetWatching(false);
  const Instant lost = BootClock::now();
  ASSERT_TRUE(RunUntil([registry] { return registry->watch_wanted(); }));
  EXPECT_LE(BootClock::now() - lost,
            outsider->settings.propagation_bound - StoreTakeover::kReadTime);
}

}  // namespace
}  // namespace wisteriarill
