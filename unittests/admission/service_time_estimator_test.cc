#include "wisteriarill/admission/service_time_estimator.h"

#include <gtest/gtest.h>

#include <random>

namespace wisteriarill {
namespace {

const Instant kStart = kNever + seconds(100);

// Runs `calls` calls, three quarters of them short, at a server of `speed`.
// Their order is random.
class MixedServer {
 public:
  MixedServer(double speed, std::uint64_t seed)
      : speed_(speed), random_(seed) {}

  void Run(int calls) {
    std::bernoulli_distribution is_short(0.75);
    std::uniform_real_distribution<double> spread(0.7, 1.3);
    for (int i = 0; i < calls; ++i) {
      now_ += milliseconds(10);
      const bool brief = is_short(random_);
      const double millis = (brief ? 20 : 150) * spread(random_) / speed_;
      estimator_.OnServiceTime(
          brief ? "short" : "long",
          microseconds(static_cast<std::int64_t>(1000 * millis)), now_);
    }
  }
  void set_speed(double speed) { speed_ = speed; }
  double ExpectedMillis() const {
    return static_cast<double>(estimator_.Expected(now_).count()) / 1000;
  }

 private:
  double speed_;
  std::mt19937_64 random_;
  Instant now_ = kStart;
  ServiceTimeEstimator estimator_;
};

TEST(ServiceTimeEstimatorTest, FindsOutTheSpeedOfAServer) {
  // The mean of a call is 0.75 x 20 ms + 0.25 x 150 ms = 52.5 ms.
  for (const double speed : {0.5, 1.0, 1.5}) {
    MixedServer server(speed, 7);
    server.Run(2000);
    EXPECT_NEAR(server.ExpectedMillis(), 52.5 / speed, 11 / speed);
  }
}

// Guards against a fast server that is taken for a slow one, because it just
// ran some long calls.
TEST(ServiceTimeEstimatorTest, RanksServersOfDifferentSpeedWhateverTheyRan) {
  int misranked = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    MixedServer fast(1.0, seed);
    MixedServer slow(0.6, seed + 1000);
    fast.Run(300);
    slow.Run(300);
    if (fast.ExpectedMillis() >= slow.ExpectedMillis()) ++misranked;
  }
  EXPECT_LE(misranked, 4);
}

TEST(ServiceTimeEstimatorTest, FollowsAServerThatTurnsSlowAndRecovers) {
  MixedServer server(1.0, 3);
  server.Run(1000);
  const double usual = server.ExpectedMillis();
  server.set_speed(0.25);
  server.Run(100);
  EXPECT_GT(server.ExpectedMillis(), 2.5 * usual);
  server.set_speed(1.0);
  server.Run(200);
  EXPECT_LT(server.ExpectedMillis(), 1.4 * usual);
}

// Guards against choosing a server by a slow-down that ended long ago, and
// against counting a slow-down twice: as reported and as measured.
TEST(ServiceTimeEstimatorTest, FollowsReportsAtOnceWhileTheyAreNew) {
  ServiceTimeEstimator estimator;
  Instant now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(10);
    estimator.OnServiceTime("a", milliseconds(40), now);
  }
  EXPECT_EQ(estimator.Expected(now), milliseconds(40));
  estimator.OnWorkFactor(2.5, now);
  EXPECT_EQ(estimator.Expected(now), milliseconds(100));
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(10);
    estimator.OnWorkFactor(2.5, now);
    estimator.OnServiceTime("a", milliseconds(100), now);
  }
  EXPECT_EQ(estimator.Expected(now), milliseconds(100));
  EXPECT_EQ(estimator.Expected(now + seconds(1)), milliseconds(40));
}

TEST(ServiceTimeEstimatorTest, IdleServerTeachesNothing) {
  ServiceTimeEstimator estimator;
  estimator.OnServiceTime("a", milliseconds(30), kStart);
  EXPECT_EQ(estimator.Expected(kStart + seconds(60)), milliseconds(30));
}

}  // namespace
}  // namespace wisteriarill
