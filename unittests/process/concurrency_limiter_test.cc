#include "wisteriarill/process/concurrency_limiter.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

constexpr std::uint32_t kSlots = 12;
const Instant kStart{seconds(1000)};

GateOptions Options() {
  GateOptions options;
  options.slots = kSlots;
  options.cold_slots = 2;
  options.warmup = seconds(2);
  return options;
}

// A gate with a backend server that takes a fixed time for each call.
class GateRun {
 public:
  explicit GateRun(microseconds work) : gate_(Options(), kStart), work_(work) {}

  void Offer(const std::string& workspace, CallClass call_class,
             std::uint8_t depth, microseconds patience) {
    GateCall call;
    call.id = RequestId{InstanceId{1}, ++last_};
    call.workspace = workspace;
    call.call_class = call_class;
    call.depth = depth;
    call.deadline = now_ + patience;
    workspaces_[call.id] = workspace;
    ++offered_[workspace];
    gate_.OnOffer(call, now_);
    Collect();
  }

  void Advance(microseconds step) {
    now_ += step;
    while (!running_.empty() && running_.begin()->first <= now_) {
      const RequestId id = running_.begin()->second;
      running_.erase(running_.begin());
      gate_.OnFinished(id, BackendResult::kAnswered, work_, instance_, now_);
      ++answered_[workspaces_[id]];
      Collect();
    }
    gate_.OnTick(now_);
    Collect();
  }

  void Collect() {
    for (const GateAction& action : gate_.TakeActions()) {
      if (!action.admitted) continue;
      admitted_.push_back(workspaces_[action.id]);
      running_.emplace(now_ + work_, action.id);
    }
    most_ = std::max(most_, gate_.in_flight());
  }

  Gate gate_;
  const microseconds work_;
  Instant now_ = kStart;
  std::uint64_t last_ = 0;
  std::string instance_ = "a";
  std::multimap<Instant, RequestId> running_;
  std::map<RequestId, std::string> workspaces_;
  std::map<std::string, int> offered_;
  std::map<std::string, int> answered_;
  std::vector<std::string> admitted_;
  std::uint32_t most_ = 0;
};

TEST(GateTest, AColdBackendServerGetsLittleAndThenMore) {
  GateRun run(milliseconds(10));
  for (int i = 0; i < 20; ++i) {
    run.Offer("w", CallClass::kInteractive, 0, seconds(5));
  }
  EXPECT_EQ(run.gate_.in_flight(), 2U);
  for (int i = 0; i < 5000; ++i) {
    run.Offer("w", CallClass::kInteractive, 0, milliseconds(50));
    run.Advance(milliseconds(1));
  }
  EXPECT_EQ(run.gate_.limit(run.now_), kSlots);
  EXPECT_EQ(run.most_, kSlots);
}

TEST(GateTest, ANewInstanceFallsBackToTheFloor) {
  GateRun run(milliseconds(10));
  for (int i = 0; i < 5000; ++i) {
    run.Offer("w", CallClass::kInteractive, 0, milliseconds(50));
    run.Advance(milliseconds(1));
  }
  run.instance_ = "b";
  run.Advance(milliseconds(12));
  EXPECT_LE(run.gate_.limit(run.now_), 3U);
  EXPECT_EQ(run.gate_.cold_starts(), 1U);
}

TEST(GateTest, AtTwiceTheCapacityGoodputStays) {
  GateRun run(milliseconds(10));
  for (int i = 0; i < 5000; ++i) {
    run.Offer("w", CallClass::kInteractive, 0, seconds(1));
    run.Advance(milliseconds(1));
  }
  const int before = run.answered_["w"];
  // Twelve slots of 10 ms bear 1,200 calls a second; 2,400 are offered.
  for (int i = 0; i < 10'000; ++i) {
    run.Offer("w", CallClass::kInteractive, 0, milliseconds(60));
    if (i % 5 < 2) run.Offer("w", CallClass::kInteractive, 0, seconds(1));
    run.Offer("w", CallClass::kInteractive, 0, milliseconds(200));
    run.Advance(milliseconds(1));
  }
  EXPECT_GE(run.answered_["w"] - before, 12'000 * 9 / 10);
}

TEST(GateTest, ANoisyWorkspaceDoesNotCrowdOutOthers) {
  GateRun run(milliseconds(10));
  std::mt19937_64 random(3);
  for (int i = 0; i < 20'000; ++i) {
    for (int j = 0; j < 3; ++j) {
      run.Offer("noisy", CallClass::kInteractive, 0, seconds(1));
    }
    if (random() % 5 == 0) {
      run.Offer("calm", CallClass::kInteractive, 0, seconds(1));
    }
    run.Advance(milliseconds(1));
  }
  EXPECT_GE(run.answered_["calm"], run.offered_["calm"] * 99 / 100 - 5);
}

TEST(GateTest, DeeperAndInternalCallsGoFirst) {
  GateRun run(milliseconds(10));
  for (int i = 0; i < 6; ++i) {
    run.Offer("outer", CallClass::kInteractive, 0, seconds(5));
  }
  run.Offer("internal", CallClass::kInternal, 0, seconds(5));
  run.Offer("deeper", CallClass::kInteractive, 2, seconds(5));
  run.admitted_.clear();
  run.Advance(milliseconds(10));
  ASSERT_GE(run.admitted_.size(), 2U);
  EXPECT_EQ(run.admitted_[0], "deeper");
  EXPECT_EQ(run.admitted_[1], "internal");
}

TEST(GateTest, ACallThatWouldMissItsDeadlineIsRefusedAtOnce) {
  GateRun run(milliseconds(10));
  for (int i = 0; i < 4; ++i) {
    run.Offer("w", CallClass::kInteractive, 0, seconds(5));
  }
  run.Offer("w", CallClass::kInteractive, 0, microseconds(0));
  EXPECT_EQ(run.gate_.queued(), 2U);
}

TEST(GateTest, AClosedGateRefusesWhatWaits) {
  GateRun run(milliseconds(10));
  for (int i = 0; i < 6; ++i) {
    run.Offer("w", CallClass::kInteractive, 0, seconds(5));
  }
  run.gate_.Close(Refusal::kFailureDomainOut);
  const auto actions = run.gate_.TakeActions();
  ASSERT_EQ(actions.size(), 4U);
  EXPECT_EQ(actions.front().refusal, Refusal::kFailureDomainOut);
}

// Whatever comes in whatever order, no more is in flight than the slots.
TEST(GateTest, RandomRunsStayWithinTheSlots) {
  ResetInvariantViolations();
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    GateRun run(milliseconds(7));
    for (int i = 0; i < 5000; ++i) {
      const std::string workspace = "w" + std::to_string(random() % 5);
      run.Offer(workspace, static_cast<CallClass>(random() % 3),
                static_cast<std::uint8_t>(random() % 3),
                milliseconds(random() % 300));
      if (random() % 500 == 0) run.instance_ += "x";
      run.Advance(microseconds(random() % 2000));
      ASSERT_LE(run.gate_.in_flight(), kSlots);
    }
  }
  EXPECT_EQ(InvariantViolations(), 0U);
}

}  // namespace
}  // namespace wisteriarill
