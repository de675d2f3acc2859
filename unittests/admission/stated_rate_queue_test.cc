// Calls in the queue of a server that names a limit.
#include <gtest/gtest.h>

#include "wisteriarill/admission/backend_admission_queue.h"

namespace wisteriarill {
namespace {

const Instant kStart{seconds(100)};
constexpr milliseconds kPatience{550};

class StatedRateQueueTest : public testing::Test {
 protected:
  StatedRateQueueTest() { queue_.Configure({8, 0, true}); }

  BackendAdmissionDecision Add(std::uint64_t ticket, std::int32_t urgency,
                               bool waits_for_rate = true) {
    return queue_.TryAdmit(BackendAdmissionTicket{ticket},
                           {urgency, kStart + kPatience, waits_for_rate},
                           kStart);
  }

  BackendAdmissionQueue queue_;
};

// Guards against queued calls that wait in vain after a limit has come.
TEST_F(StatedRateQueueTest, QueuedCallsAreJudgedAgainWhenALimitComes) {
  for (std::uint64_t i = 0; i < 8; ++i)
    EXPECT_EQ(Add(i, 1), BackendAdmissionDecision::kAdmit);
  for (std::uint64_t i = 8; i < 16; ++i)
    EXPECT_EQ(Add(i, 2), BackendAdmissionDecision::kQueue);
  EXPECT_EQ(Add(16, 0), BackendAdmissionDecision::kQueue);
  EXPECT_TRUE(queue_.TakeHopeless(kStart).empty());
  queue_.SetRateLimit(10, kStart);
  // Within 550 ms, five start: the most urgent, and the first four of others.
  const auto hopeless = queue_.TakeHopeless(kStart);
  ASSERT_EQ(hopeless.size(), 4U);
  EXPECT_EQ(hopeless.front(), BackendAdmissionTicket{12});
  EXPECT_EQ(queue_.waiting(), 5U);
}

// Guards against calls that wait for a limited server while others have room.
TEST_F(StatedRateQueueTest, ACallThatCanRunElsewhereDoesNotWaitForTheRate) {
  queue_.SetRateLimit(10, kStart);
  EXPECT_EQ(Add(1, 1, false), BackendAdmissionDecision::kReject);
  EXPECT_EQ(Add(2, 1, true), BackendAdmissionDecision::kQueue);
  queue_.SetRateLimit(400, kStart);
  EXPECT_EQ(Add(3, 1, false), BackendAdmissionDecision::kQueue)
      << "a short wait costs less than another try";
}

TEST_F(StatedRateQueueTest, MoreUrgentCallsStartFirstAtTheRate) {
  queue_.SetRateLimit(10, kStart);
  EXPECT_EQ(Add(1, 5), BackendAdmissionDecision::kQueue);
  EXPECT_EQ(Add(2, 0), BackendAdmissionDecision::kQueue);
  EXPECT_TRUE(queue_.TakeAdmitted(kStart + milliseconds(90)).empty());
  const auto admitted = queue_.TakeAdmitted(kStart + milliseconds(100));
  ASSERT_EQ(admitted.size(), 1U);
  EXPECT_EQ(admitted.front(), BackendAdmissionTicket{2});
}

// Guards against a limited server that gets more health checks than calls.
TEST_F(StatedRateQueueTest, TheColdTimeMattersOnlyBelowTheLimit) {
  EXPECT_FALSE(queue_.HasColdRate());
  queue_.Configure({8, 40, true});
  EXPECT_TRUE(queue_.HasColdRate());
  queue_.SetRateLimit(1, kStart);
  EXPECT_FALSE(queue_.HasColdRate());
  queue_.SetRateLimit(100, kStart);
  EXPECT_TRUE(queue_.HasColdRate());
}

// Guards against nodes that choose a server that can't take their calls.
TEST_F(StatedRateQueueTest, ReportsTheWaitForTheRate) {
  EXPECT_EQ(queue_.load(kStart).rate_interval, microseconds(0));
  queue_.SetRateLimit(10, kStart);
  Add(1, 1);
  const BackendLoad load = queue_.load(kStart);
  EXPECT_EQ(load.rate_interval, milliseconds(100));
  EXPECT_EQ(load.rate_wait, milliseconds(200));
}

}  // namespace
}  // namespace wisteriarill
