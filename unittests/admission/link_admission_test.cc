#include "wisteriarill/admission/link_admission.h"

#include <gtest/gtest.h>

#include <random>

namespace wisteriarill {
namespace {

constexpr double kMegabits = 10;
constexpr std::uint64_t kBodyBytes = 60000;
constexpr milliseconds kMaxWait{300};
const Instant kStart = kNever + seconds(100);

TEST(LinkAdmissionTest, SendsOneBodyAfterTheOther) {
  LinkAdmission link(kMegabits);
  EXPECT_EQ(link.TryReserve(kBodyBytes, kMaxWait, kStart), nanoseconds(0));
  // 60 kB take 48 ms of the link, and 64 ms of the part that is for bodies.
  EXPECT_EQ(link.TryReserve(kBodyBytes, kMaxWait, kStart), milliseconds(64));
  EXPECT_EQ(link.QueueDelay(kStart + milliseconds(100)), milliseconds(28));
  EXPECT_EQ(link.TryReserve(kBodyBytes, kMaxWait, kStart + seconds(1)),
            nanoseconds(0));
}

TEST(LinkAdmissionTest, AdmitsAtOnceIfTheRateIsUnknown) {
  LinkAdmission link(0);
  for (int i = 0; i < 100; ++i)
    EXPECT_EQ(link.TryReserve(kBodyBytes, kMaxWait, kStart), nanoseconds(0));
}

// Guards against a refused body that takes room from the ones that follow.
TEST(LinkAdmissionTest, RefusedBodyReservesNothing) {
  LinkAdmission link(kMegabits);
  link.TryReserve(10 * kBodyBytes, kMaxWait, kStart);
  const microseconds delay = link.QueueDelay(kStart);
  EXPECT_EQ(link.TryReserve(kBodyBytes, kMaxWait, kStart), std::nullopt);
  EXPECT_EQ(link.QueueDelay(kStart), delay);
}

// Twice as many bodies arrive as the link takes. Guards against a queue that
// grows until every body is late: as many as fit are admitted, each in time.
TEST(LinkAdmissionTest, OverloadedLinkStaysInUseAndAdmittedBodiesAreInTime) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LinkAdmission link(kMegabits);
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap_millis(1 / 24.0);
    std::uniform_int_distribution<std::uint64_t> bytes(10000, 110000);
    std::uint64_t admitted_bytes = 0;
    Instant now = kStart;
    while (now < kStart + seconds(30)) {
      now += microseconds(static_cast<std::int64_t>(1000 * gap_millis(random)));
      const std::uint64_t size = bytes(random);
      const auto wait = link.TryReserve(size, kMaxWait, now);
      if (!wait) continue;
      EXPECT_LE(*wait, kMaxWait);
      admitted_bytes += size;
    }
    const double used = static_cast<double>(admitted_bytes) * 8 / 30 / 1e6;
    EXPECT_GT(used, 0.7 * kMegabits) << "seed " << seed;
    EXPECT_LT(used, 0.8 * kMegabits) << "seed " << seed;
  }
}

}  // namespace
}  // namespace wisteriarill
