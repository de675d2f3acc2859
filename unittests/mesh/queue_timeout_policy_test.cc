#include "wisteriarill/mesh/queue_timeout_policy.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "wisteriarill/mesh/backend_admission_queue.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kObjective{500};
constexpr std::uint32_t kSlots = 9;
constexpr double kMeanRunMillis = 230;
const Instant kStart = kNever + seconds(100);

struct Outcome {
  int run = 0;
  int in_time = 0;
};

// Plays 60 s of calls at `load` times what a server with kSlots can run; runs
// take from half to one and a half times their mean.
class OverloadedServer {
 public:
  explicit OverloadedServer(double load) : load_(load) {
    gate_.Configure({kSlots, 0});
  }

  Outcome Play() {
    for (Instant now = kStart; now < kStart + seconds(60);
         now += milliseconds(1)) {
      EndRuns(now);
      for (const BackendAdmissionTicket ticket : gate_.TakeAdmitted(now))
        Begin(ticket, now);
      const double calls = load_ * kSlots / kMeanRunMillis;
      if (std::uniform_real_distribution<double>(0, 1)(random_) < calls) {
        Arrive(now);
      }
    }
    return outcome_;
  }

 private:
  void Arrive(Instant now) {
    const BackendAdmissionTicket ticket{++last_};
    arrived_[ticket] = now;
    const Instant patience = now + patience_.QueueTimeout("route", kObjective);
    if (gate_.TryAdmit(ticket, {0, patience}, now) == BackendAdmissionDecision::kAdmit) {
      Begin(ticket, now);
    }
  }

  void Begin(BackendAdmissionTicket ticket, Instant now) {
    std::uniform_real_distribution<double> run(0.5 * kMeanRunMillis,
                                               1.5 * kMeanRunMillis);
    const microseconds ran(static_cast<std::int64_t>(1000 * run(random_)));
    running_.emplace(now + ran, std::make_pair(ticket, ran));
  }

  void EndRuns(Instant now) {
    while (!running_.empty() && running_.begin()->first <= now) {
      const auto [ticket, ran] = running_.begin()->second;
      gate_.OnCallFinished(ran, now);
      patience_.OnServiceTime("route", ran);
      ++outcome_.run;
      const nanoseconds latency = running_.begin()->first - arrived_[ticket];
      if (latency <= kObjective) ++outcome_.in_time;
      running_.erase(running_.begin());
    }
  }

  double load_;
  BackendAdmissionQueue gate_;
  QueueTimeoutPolicy patience_;
  std::mt19937_64 random_{11};
  std::uint64_t last_ = 0;
  std::map<BackendAdmissionTicket, Instant> arrived_;
  std::multimap<Instant, std::pair<BackendAdmissionTicket, microseconds>> running_;
  Outcome outcome_;
};

// Calls waited for six tenths of their objective whatever their runs took, and
// half of the answers came late (tregor-caisses-grown, scale-1).
TEST(RoutePatienceTest, WhatRunsUnderOverloadIsAnsweredInTime) {
  for (const double load : {1.1, 1.3, 2.0}) {
    const Outcome outcome = OverloadedServer(load).Play();
    EXPECT_GT(outcome.in_time, outcome.run * 8 / 10) << load;
    const double possible = 60000.0 * kSlots / kMeanRunMillis;
    EXPECT_GT(outcome.run, possible * 0.9) << load;
  }
}

TEST(RoutePatienceTest, KeepsWithinPartsOfTheObjective) {
  QueueTimeoutPolicy patience;
  EXPECT_EQ(patience.QueueTimeout("new", milliseconds(100)), milliseconds(60));
  for (int i = 0; i < 50; ++i) patience.OnServiceTime("long", seconds(2));
  EXPECT_EQ(patience.QueueTimeout("long", milliseconds(100)), milliseconds(15));
  for (int i = 0; i < 50; ++i) patience.OnServiceTime("short", milliseconds(1));
  EXPECT_EQ(patience.QueueTimeout("short", milliseconds(100)), milliseconds(60));
}

}  // namespace
}  // namespace wisteriarill
