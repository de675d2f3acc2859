#include "wisteriarill/process/log_limiter.h"

#include <gtest/gtest.h>

namespace wisteriarill {
namespace {

TEST(LogLimiterTest, LimitsLinesPerEventAndCountsSuppressedLines) {
  LogLimiter limiter(3);
  const Instant start = kNever + seconds(100);
  int written = 0;
  for (int i = 0; i < 10; ++i) {
    if (limiter.Allow("refused", start + milliseconds(i))) ++written;
  }
  EXPECT_EQ(written, 3);
  EXPECT_TRUE(limiter.Allow("started", start + milliseconds(10)));
  const auto suppressed = limiter.TakeSuppressed();
  ASSERT_EQ(suppressed.size(), 1U);
  EXPECT_EQ(suppressed.at("refused"), 7U);
  EXPECT_TRUE(limiter.TakeSuppressed().empty());
  EXPECT_TRUE(limiter.Allow("refused", start + seconds(1)));
}

}  // namespace
}  // namespace wisteriarill
