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

TEST(CallLedgerTest, ACallIsHandedOverOnce) {
  CallStateTable ledger(seconds(1));
  ASSERT_TRUE(ledger.Add(kId, kNow, kNow));
  EXPECT_FALSE(ledger.Add(kId, kNow, kNow));
  EXPECT_TRUE(ledger.HandOver(kId));
  EXPECT_FALSE(ledger.HandOver(kId));
}

TEST(CallLedgerTest, ACallThatNeverCameCanBeDeclaredNotRun) {
  CallStateTable ledger(seconds(1));
  EXPECT_TRUE(ledger.DeclareNotRun(kId, kNow));
  // The call arrives late, over a link that was silent.
  EXPECT_FALSE(ledger.Add(kId, kNow, kNow));
  EXPECT_FALSE(ledger.HandOver(kId));
}

TEST(CallLedgerTest, ACallThatRanIsNotDeclaredNotRun) {
  CallStateTable ledger(seconds(1));
  ledger.Add(kId, kNow, kNow);
  ledger.HandOver(kId);
  EXPECT_FALSE(ledger.DeclareNotRun(kId, kNow));
  ledger.Finish(kId);
  EXPECT_FALSE(ledger.DeclareNotRun(kId, kNow));
}

TEST(CallLedgerTest, RemembersPastTheDeadline) {
  CallStateTable ledger(seconds(5));
  ledger.Add(kId, kNow + seconds(1), kNow);
  ledger.OnTick(kNow + seconds(5));
  EXPECT_EQ(ledger.size(), 1U);
  ledger.OnTick(kNow + seconds(7));
  EXPECT_EQ(ledger.size(), 0U);
}

// Whatever order messages come in: handed over at most once, and never both
// handed over and told as not run.
RC_GTEST_PROP(
    CallLedgerProperty, OnceAndTrue,
    (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& operations)) {
  CallStateTable ledger(std::chrono::hours(1));
  std::map<std::uint8_t, int> handed_over;
  std::map<std::uint8_t, bool> told_not_run;
  for (const auto& [what, which] : operations) {
    const auto call = static_cast<std::uint8_t>(which % 4);
    const RequestId id{InstanceId{1}, call};
    if (what % 4 == 0) ledger.Add(id, kNow, kNow);
    if (what % 4 == 1 && ledger.HandOver(id)) {
      ++handed_over[call];
      RC_ASSERT(!told_not_run[call]);
    }
    if (what % 4 == 2 && ledger.DeclareNotRun(id, kNow)) {
      told_not_run[call] = true;
      RC_ASSERT(handed_over[call] == 0);
    }
    if (what % 4 == 3 && ledger.Find(id) == CallState::kHandedOver) {
      ledger.Finish(id);
    }
    RC_ASSERT(handed_over[call] <= 1);
  }
  RC_ASSERT(InvariantViolations() == 0U);
}

TEST(RetryBudgetTest, AmplificationStaysUnderOneTenth) {
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
