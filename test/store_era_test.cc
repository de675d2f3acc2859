/// \file
/// Real nodes whose store comes back from a copy some seconds old.
#include <algorithm>
#include <iostream>

#include "proxy_fleet.h"

namespace wisteriarill::platform {
namespace {

constexpr std::size_t kNodes = 13;
/// Bound within which an acknowledged version is in force.
constexpr milliseconds kBound{2000};
constexpr const char* kWithdrawnKey = "withdrawn-key";

class StoreEraTest : public ProxyFleetTest {
 protected:
  StoreEraTest() : ProxyFleetTest(kNodes) {
    Publish(1, {"/old/"}, {kKeptKey, kWithdrawnKey});
    for (std::size_t i = 0; i < kNodes; ++i) PutServer(i, false, 1);
  }

  /// Makes the store leave for a second and come back without its last three.
  void LoseLastSeconds() {
    store_.TakeCopy();
    Publish(2, {"/old/"}, {kKeptKey});
    for (int i = 0; i < 60; ++i) {
      PutServer(static_cast<std::size_t>(i) % kNodes, false,
                static_cast<std::uint64_t>(i) / kNodes + 2);
      RunFor(milliseconds(50));
    }
    ASSERT_EQ(CountAnswers("/old/", 401, kWithdrawnKey), kNodes);
    calls_before_ = store_.calls().total();
    store_.SetAway(true);
    RunFor(seconds(1));
    store_.SetAway(false);
    store_.ReturnFromCopy();
  }
  void WriteAgain() {
    Publish(2, {"/old/"}, {kKeptKey});
    for (std::size_t i = 0; i < kNodes; ++i) PutServer(i, false, 7);
  }

  /// Publishes a route and measures when all nodes have it.
  void PublishAndMeasure(std::uint64_t version) {
    Publish(version, {"/old/", "/new/"}, {kKeptKey});
    const Instant published = BootClock::now();
    std::size_t have_it = 0;
    while (BootClock::now() < published + kBound)
      have_it = std::max(have_it, CountAnswers("/new/", 200));
    EXPECT_EQ(CountAnswers("/new/", 200), kNodes);
    const milliseconds measured_for{7000};
    RunFor(measured_for);
    const int calls = store_.calls().total() - calls_before_;
    RecordProperty("calls_to_the_store", calls);
    std::cout << "measured: nodes_at_bound=" << have_it
              << " calls_to_the_store=" << calls << "\n";
    EXPECT_LE(calls, kMaxCallsPerNode * static_cast<int>(kNodes));
    const int calls_when_calm = store_.calls().total();
    RunFor(seconds(3));
    // Three readers with a watch of 2.5 s each, and those behind them.
    EXPECT_LE(store_.calls().total() - calls_when_calm, kMaxCalmCalls);
  }

  static constexpr int kMaxCallsPerNode = 10;
  static constexpr int kMaxCalmCalls = 10;

  int calls_before_ = 0;
};

// No node had a version that was published after the copy, and the nodes made
// thousands of calls a second to the store.
TEST_F(StoreEraTest, ANewVersionIsInForceInTimeAndTheStoreIsReadSeldom) {
  StartAll("/old/");
  LoseLastSeconds();
  RunFor(milliseconds(700));
  EXPECT_EQ(CountAnswers("/old/", 200), kNodes);
  EXPECT_EQ(CountAnswers("/old/", 401, kWithdrawnKey), kNodes);
  WriteAgain();
  RunFor(seconds(2));
  EXPECT_EQ(CountAnswers("/old/", 401, kWithdrawnKey), kNodes);
  PublishAndMeasure(3);
}

// A node that starts while the store shows only the copy must not accept a key
// that its peers know to be withdrawn.
TEST_F(StoreEraTest, NodesThatStartInBetweenTakeBackNothing) {
  constexpr std::size_t kKilled = 7;
  StartAll("/old/");
  LoseLastSeconds();
  for (std::size_t i = 0; i < kKilled; ++i) {
    nodes_[i].process->Kill();
    StartNode(i);
  }
  const Instant end = BootClock::now() + seconds(4);
  while (BootClock::now() < end) {
    EXPECT_EQ(CountAnswers("/old/", 200, kWithdrawnKey), 0U);
    RunFor(milliseconds(50));
  }
  EXPECT_EQ(CountAnswers("/old/", 200), kNodes);
  WriteAgain();
  RunFor(seconds(2));
  PublishAndMeasure(3);
}

}  // namespace
}  // namespace wisteriarill::platform
