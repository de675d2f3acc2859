#include "wisteriarill/process/concurrency_limiter.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

constexpr std::uint32_t kSlots = 12;
const Instant kStart{seconds(1000)};

ConcurrencyLimiterOptions Options() {
  ConcurrencyLimiterOptions options;
  options.slots = kSlots;
  options.cold_slots = 2;
  options.warmup = seconds(2);
  return options;
}

// A concurrency limiter with a backend server that takes a fixed time for each
// call.
class SimulatedBackend {
 public:
  explicit SimulatedBackend(microseconds service_time)
      : limiter_(Options(), kStart), service_time_(service_time) {}

  void Submit(const std::string& workspace, CallClass call_class,
              std::uint8_t depth, microseconds timeout) {
    LimiterCall call;
    call.id = RequestId{InstanceId{1}, ++last_sequence_};
    call.workspace = workspace;
    call.call_class = call_class;
    call.depth = depth;
    call.deadline = now_ + timeout;
    workspaces_[call.id] = workspace;
    ++submitted_[workspace];
    limiter_.Submit(call, now_);
    ApplyDecisions();
  }

  void Advance(microseconds step) {
    now_ += step;
    while (!running_.empty() && running_.begin()->first <= now_) {
      const RequestId id = running_.begin()->second;
      running_.erase(running_.begin());
      limiter_.OnFinished(id, BackendResult::kAnswered, service_time_,
                          instance_, now_);
      ++answered_[workspaces_[id]];
      ApplyDecisions();
    }
    limiter_.OnTick(now_);
    ApplyDecisions();
  }

  void ApplyDecisions() {
    for (const LimiterDecision& decision : limiter_.TakeDecisions()) {
      if (!decision.admitted) continue;
      admitted_.push_back(workspaces_[decision.id]);
      running_.emplace(now_ + service_time_, decision.id);
    }
    max_in_flight_ = std::max(max_in_flight_, limiter_.in_flight());
  }

  ConcurrencyLimiter limiter_;
  const microseconds service_time_;
  Instant now_ = kStart;
  std::uint64_t last_sequence_ = 0;
  std::string instance_ = "a";
  std::multimap<Instant, RequestId> running_;
  std::map<RequestId, std::string> workspaces_;
  std::map<std::string, int> submitted_;
  std::map<std::string, int> answered_;
  std::vector<std::string> admitted_;
  std::uint32_t max_in_flight_ = 0;
};

TEST(ConcurrencyLimiterTest, LimitGrowsAfterAColdStart) {
  SimulatedBackend backend(milliseconds(10));
  for (int i = 0; i < 20; ++i) {
    backend.Submit("w", CallClass::kInteractive, 0, seconds(5));
  }
  EXPECT_EQ(backend.limiter_.in_flight(), 2U);
  for (int i = 0; i < 5000; ++i) {
    backend.Submit("w", CallClass::kInteractive, 0, milliseconds(50));
    backend.Advance(milliseconds(1));
  }
  EXPECT_EQ(backend.limiter_.limit(backend.now_), kSlots);
  EXPECT_EQ(backend.max_in_flight_, kSlots);
}

TEST(ConcurrencyLimiterTest, ANewInstanceResetsTheLimitToTheColdSlots) {
  SimulatedBackend backend(milliseconds(10));
  for (int i = 0; i < 5000; ++i) {
    backend.Submit("w", CallClass::kInteractive, 0, milliseconds(50));
    backend.Advance(milliseconds(1));
  }
  backend.instance_ = "b";
  backend.Advance(milliseconds(12));
  EXPECT_LE(backend.limiter_.limit(backend.now_), 3U);
  EXPECT_EQ(backend.limiter_.cold_starts(), 1U);
}

TEST(ConcurrencyLimiterTest, GoodputStaysAtTwiceTheCapacity) {
  SimulatedBackend backend(milliseconds(10));
  for (int i = 0; i < 5000; ++i) {
    backend.Submit("w", CallClass::kInteractive, 0, seconds(1));
    backend.Advance(milliseconds(1));
  }
  const int before = backend.answered_["w"];
  // Twelve slots of 10 ms have a capacity of 1,200 calls per second; 2,400 are
  // submitted.
  for (int i = 0; i < 10'000; ++i) {
    backend.Submit("w", CallClass::kInteractive, 0, milliseconds(60));
    if (i % 5 < 2) backend.Submit("w", CallClass::kInteractive, 0, seconds(1));
    backend.Submit("w", CallClass::kInteractive, 0, milliseconds(200));
    backend.Advance(milliseconds(1));
  }
  EXPECT_GE(backend.answered_["w"] - before, 12'000 * 9 / 10);
}

TEST(ConcurrencyLimiterTest, ANoisyWorkspaceDoesNotCrowdOutOthers) {
  SimulatedBackend backend(milliseconds(10));
  std::mt19937_64 random(3);
  for (int i = 0; i < 20'000; ++i) {
    for (int j = 0; j < 3; ++j) {
      backend.Submit("noisy", CallClass::kInteractive, 0, seconds(1));
    }
    if (random() % 5 == 0) {
      backend.Submit("calm", CallClass::kInteractive, 0, seconds(1));
    }
    backend.Advance(milliseconds(1));
  }
  EXPECT_GE(backend.answered_["calm"],
            backend.submitted_["calm"] * 99 / 100 - 5);
}

TEST(ConcurrencyLimiterTest, NestedAndInternalCallsAreAdmittedFirst) {
  SimulatedBackend backend(milliseconds(10));
  for (int i = 0; i < 6; ++i) {
    backend.Submit("outer", CallClass::kInteractive, 0, seconds(5));
  }
  backend.Submit("internal", CallClass::kInternal, 0, seconds(5));
  backend.Submit("deeper", CallClass::kInteractive, 2, seconds(5));
  backend.admitted_.clear();
  backend.Advance(milliseconds(10));
  ASSERT_GE(backend.admitted_.size(), 2U);
  EXPECT_EQ(backend.admitted_[0], "deeper");
  EXPECT_EQ(backend.admitted_[1], "internal");
}

TEST(ConcurrencyLimiterTest, ACallThatWouldMissItsDeadlineIsRefusedAtOnce) {
  SimulatedBackend backend(milliseconds(10));
  for (int i = 0; i < 4; ++i) {
    backend.Submit("w", CallClass::kInteractive, 0, seconds(5));
  }
  backend.Submit("w", CallClass::kInteractive, 0, microseconds(0));
  EXPECT_EQ(backend.limiter_.queued(), 2U);
}

TEST(ConcurrencyLimiterTest, CloseRefusesQueuedCalls) {
  SimulatedBackend backend(milliseconds(10));
  for (int i = 0; i < 6; ++i) {
    backend.Submit("w", CallClass::kInteractive, 0, seconds(5));
  }
  backend.limiter_.Close(Refusal::kFailureDomainOut);
  const auto decisions = backend.limiter_.TakeDecisions();
  ASSERT_EQ(decisions.size(), 4U);
  EXPECT_EQ(decisions.front().refusal, Refusal::kFailureDomainOut);
}

// For any order of calls, there are never more in flight than there are slots.
TEST(ConcurrencyLimiterTest, RandomRunsStayWithinTheSlots) {
  ResetInvariantViolations();
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    SimulatedBackend backend(milliseconds(7));
    for (int i = 0; i < 5000; ++i) {
      const std::string workspace = "w" + std::to_string(random() % 5);
      backend.Submit(workspace, static_cast<CallClass>(random() % 3),
                     static_cast<std::uint8_t>(random() % 3),
                     milliseconds(random() % 300));
      if (random() % 500 == 0) backend.instance_ += "x";
      backend.Advance(microseconds(random() % 2000));
      ASSERT_LE(backend.limiter_.in_flight(), kSlots);
    }
  }
  EXPECT_EQ(InvariantViolations(), 0U);
}

}  // namespace
}  // namespace wisteriarill
