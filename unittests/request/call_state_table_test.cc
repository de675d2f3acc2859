#include "wisteriarill/request/call_state_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "wisteriarill/process/invariant.h"
#include "wisteriarill/request/retry_budget.h"

namespace wisteriarill {
namespace {

const RequestId kId{InstanceId{1}, 1};
const Instant kNow{seconds(100)};

TEST(CallStateTableTest, HandsACallOverOnlyOnce) {
  CallStateTable table(seconds(1));
  ASSERT_TRUE(table.Add(kId, kNow, kNow));
  EXPECT_FALSE(table.Add(kId, kNow, kNow));
  EXPECT_TRUE(table.HandOver(kId));
  EXPECT_FALSE(table.HandOver(kId));
}

TEST(CallStateTableTest, DeclaresAnUnknownCallNotRun) {
  CallStateTable table(seconds(1));
  EXPECT_TRUE(table.DeclareNotRun(kId, kNow));
  // The call arrives later, over a link that was stalled.
  EXPECT_FALSE(table.Add(kId, kNow, kNow));
  EXPECT_FALSE(table.HandOver(kId));
}

TEST(CallStateTableTest, DoesNotDeclareAHandedOverCallNotRun) {
  CallStateTable table(seconds(1));
  table.Add(kId, kNow, kNow);
  table.HandOver(kId);
  EXPECT_FALSE(table.DeclareNotRun(kId, kNow));
  table.Finish(kId);
  EXPECT_FALSE(table.DeclareNotRun(kId, kNow));
}

TEST(CallStateTableTest, KeepsIdsForTheRetentionAfterTheDeadline) {
  CallStateTable table(seconds(5));
  table.Add(kId, kNow + seconds(1), kNow);
  table.OnTick(kNow + seconds(5));
  EXPECT_EQ(table.size(), 1U);
  table.OnTick(kNow + seconds(7));
  EXPECT_EQ(table.size(), 0U);
}

// Messages of a call may arrive in any order. In each order, a call is handed
// over at most once, and never both handed over and declared not run.
RC_GTEST_PROP(
    CallStateTableProperty, RunsAtMostOnceAndReportsTheTruth,
    (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& operations)) {
  CallStateTable table(std::chrono::hours(1));
  std::map<std::uint8_t, int> handed_over;
  std::map<std::uint8_t, bool> declared_not_run;
  for (const auto& [operation, call_selector] : operations) {
    const auto call = static_cast<std::uint8_t>(call_selector % 4);
    const RequestId id{InstanceId{1}, call};
    if (operation % 4 == 0) table.Add(id, kNow, kNow);
    if (operation % 4 == 1 && table.HandOver(id)) {
      ++handed_over[call];
      RC_ASSERT(!declared_not_run[call]);
    }
    if (operation % 4 == 2 && table.DeclareNotRun(id, kNow)) {
      declared_not_run[call] = true;
      RC_ASSERT(handed_over[call] == 0);
    }
    if (operation % 4 == 3 && table.Find(id) == CallState::kHandedOver) {
      table.Finish(id);
    }
    RC_ASSERT(handed_over[call] <= 1);
  }
  RC_ASSERT(InvariantViolations() == 0U);
}

TEST(RetryBudgetTest, RetriesStayBelowATenthOfCalls) {
  RetryBudget budget;
  int retries = 0;
  constexpr int kCalls = 10'000;
  for (int i = 0; i < kCalls; ++i) {
    budget.OnFirstAttempt();
    if (budget.TryTakeRetry()) ++retries;
  }
  EXPECT_LT(retries, kCalls / 10);
}

}  // namespace
}  // namespace wisteriarill
