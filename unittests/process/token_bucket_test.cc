#include "wisteriarill/process/token_bucket.h"

#include <gtest/gtest.h>

#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

constexpr std::int64_t kToken = 1'000'000;

TEST(TokenBucketTest, StartsEmptyAndFillsToItsBurst) {
  const Instant start{};
  TokenBucket bucket({10 * kToken, 5 * kToken}, start);
  EXPECT_EQ(bucket.Take(1), 0U);
  bucket.Advance(start + seconds(10));
  EXPECT_EQ(bucket.Take(10), 5U);
}

TEST(TokenBucketTest, GrantedTokensCountAgainstTheBurstUntilSettled) {
  const Instant start{};
  TokenBucket bucket({10 * kToken, 5 * kToken}, start);
  bucket.Advance(start + seconds(1));
  ASSERT_EQ(bucket.Take(3), 3U);
  bucket.Advance(start + seconds(10));
  EXPECT_EQ(bucket.Take(10), 2U) << "three granted tokens may still be spent";
  bucket.Settle(3, 0);
  bucket.Advance(start + seconds(20));
  EXPECT_EQ(bucket.Take(10), 3U);
}

TEST(TokenBucketTest, KeepsFractionsOverManySmallSteps) {
  const Instant start{};
  TokenBucket bucket({kToken / 3, 10 * kToken}, start);
  for (int i = 1; i <= 30'000; ++i) bucket.Advance(start + milliseconds(i));
  EXPECT_EQ(bucket.level(), (kToken / 3) * 30);
}

TEST(TokenBucketTest, SettlingMoreThanGrantedIsAnInvariantViolation) {
  ResetInvariantViolations();
  TokenBucket bucket({kToken, kToken}, Instant{});
  bucket.Settle(1, 0);
  EXPECT_EQ(InvariantViolations(), 1U);
  ResetInvariantViolations();
}

TEST(TokenBucketTest, ReportsTheTimeUntilTheNextWholeToken) {
  const Instant start{};
  TokenBucket bucket({2 * kToken, 5 * kToken}, start);
  const nanoseconds wait = bucket.TimeUntilWholeToken();
  bucket.Advance(start + wait - microseconds(1));
  EXPECT_EQ(bucket.Take(1), 0U);
  bucket.Advance(start + wait);
  EXPECT_EQ(bucket.Take(1), 1U);
}

}  // namespace
}  // namespace wisteriarill
