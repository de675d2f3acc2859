// How the rate that a server names is spent.
#include "wisteriarill/admission/backend_rate_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace wisteriarill {
namespace {

const Instant kStart{seconds(100)};
constexpr seconds kSpan{4};
/// Requests in kSpan that every server bears beside its limit.
constexpr double kSlack = 5;
constexpr double kMaxOver = 1.5;

struct SentRequest {
  Instant at;
  double rate = 0;  ///< In force when it was sent.
};

/// Returns the greatest rate that was in force when one of them was sent.
double GreatestRate(const std::deque<SentRequest>& span) {
  double greatest = 0;
  for (const SentRequest& request : span)
    greatest = std::max(greatest, request.rate);
  return greatest;
}

// Guards against more requests than the bound allows, whatever the rates, the
// callers' clumps, the node's standstills and its restarts.
RC_GTEST_PROP(BackendRateLimiterTest, StaysWithinTheBoundInEverySpan, ()) {
  BackendRateLimiter limiter;
  const auto rate_of = [](int choice) { return choice * choice / 200.0; };
  double rate = rate_of(*rc::gen::inRange(0, 317));
  Instant now = kStart;
  limiter.SetRate(rate, now);
  std::deque<SentRequest> span;
  for (int step = 0; step < 400; ++step) {
    const int event = *rc::gen::inRange(0, 60);
    if (event == 0) {
      rate = rate_of(*rc::gen::inRange(0, 317));
      limiter.SetRate(rate, now);
    }
    if (event == 1) now += milliseconds(*rc::gen::inRange(0, 3000));
    if (event == 2) {
      limiter = BackendRateLimiter();
      limiter.SetRate(rate, now);
    }
    now += milliseconds(*rc::gen::inRange(0, 40));
    for (int clump = *rc::gen::inRange(0, 40); clump > 0; --clump) {
      if (!limiter.MaySend(now)) break;
      limiter.OnSent(now);
      span.push_back({now, rate});
      while (span.front().at + kSpan < now) span.pop_front();
      const double allowed =
          kMaxOver * GreatestRate(span) * static_cast<double>(kSpan.count()) +
          kSlack;
      RC_ASSERT(static_cast<double>(span.size()) <= allowed);
    }
  }
}

// Guards against a rate that is used in part only.
TEST(BackendRateLimiterTest, UsesNearlyAllOfTheRateUnderPressure) {
  for (const double rate : {1.0, 7.9, 20.0, 150.0, 500.0}) {
    BackendRateLimiter limiter;
    limiter.SetRate(rate, kStart);
    int sent = 0;
    for (Instant now = kStart; now < kStart + seconds(10);
         now += milliseconds(40)) {
      while (limiter.MaySend(now)) {
        limiter.OnSent(now);
        ++sent;
      }
    }
    EXPECT_GE(sent, 0.9 * 10 * rate) << rate;
  }
}

TEST(BackendRateLimiterTest, TellsTheWaitOfEachRequestInTheQueue) {
  BackendRateLimiter limiter;
  EXPECT_EQ(limiter.WaitBehind(100, kStart), microseconds(0));
  limiter.SetRate(10, kStart);
  EXPECT_EQ(limiter.WaitBehind(0, kStart), milliseconds(100));
  EXPECT_EQ(limiter.WaitBehind(4, kStart), milliseconds(500));
  EXPECT_TRUE(limiter.MaySend(kStart + milliseconds(100)));
  EXPECT_EQ(limiter.interval(), milliseconds(100));
  limiter.SetRate(std::nullopt, kStart);
  EXPECT_TRUE(limiter.MaySend(kStart));
  EXPECT_FALSE(limiter.limited());
}

// Guards against a server of which nobody hears any more.
TEST(BackendRateLimiterTest, ALimitOfZeroLetsARequestThroughNowAndThen) {
  BackendRateLimiter limiter;
  limiter.SetRate(0, kStart);
  EXPECT_FALSE(limiter.MaySend(kStart + milliseconds(1500)));
  EXPECT_TRUE(limiter.MaySend(kStart + milliseconds(2500)));
}

}  // namespace
}  // namespace wisteriarill
