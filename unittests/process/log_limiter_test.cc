#include "wisteriarill/process/log_limiter.h"

#include <gtest/gtest.h>

namespace wisteriarill {
namespace {

TEST(LogLimiterTest, BoundsTheLinesOfAnEventAndCountsTheRest) {
  LogLimiter limiter(3);
  const Instant start = kNever + seconds(100);
  int written = 0;
  for (int i = 0; i < 10; ++i) {
    if (limiter.Allow("refused", start + milliseconds(i))) ++written;
  }
  EXPECT_EQ(written, 3);
  EXPECT_TRUE(limiter.Allow("started", start + milliseconds(10)));
  const auto left_out = limiter.TakeLeftOut();
  ASSERT_EQ(left_out.size(), 1U);
  EXPECT_EQ(left_out.at("refused"), 7U);
  EXPECT_TRUE(limiter.TakeLeftOut().empty());
  EXPECT_TRUE(limiter.Allow("refused", start + seconds(1)));
}

}  // namespace
}  // namespace wisteriarill
