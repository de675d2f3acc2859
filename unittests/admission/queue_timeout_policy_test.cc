#include "wisteriarill/admission/queue_timeout_policy.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

#include "wisteriarill/admission/backend_admission_queue.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kObjective{500};
constexpr std::uint32_t kSlots = 9;
constexpr double kMeanRunMillis = 230;
const Instant kStart = kNever + seconds(100);

struct SimulationResult {
  int run = 0;
  int in_time = 0;
};

// Simulates 60 s of calls at `load` times the capacity of a server with kSlots
// slots. Service times are uniform between 0.5 and 1.5 times their mean.
class OverloadedServer {
 public:
  explicit OverloadedServer(double load) : load_(load) {
    queue_.Configure({kSlots, 0});
  }

  SimulationResult Simulate() {
    for (Instant now = kStart; now < kStart + seconds(60);
         now += milliseconds(1)) {
      EndRuns(now);
      for (const BackendAdmissionTicket ticket : queue_.TakeAdmitted(now))
        Begin(ticket, now);
      const double calls = load_ * kSlots / kMeanRunMillis;
      if (std::uniform_real_distribution<double>(0, 1)(random_) < calls) {
        Arrive(now);
      }
    }
    return result_;
  }

 private:
  void Arrive(Instant now) {
    const BackendAdmissionTicket ticket{++last_ticket_};
    arrival_times_[ticket] = now;
    const Instant start_deadline =
        now + policy_.QueueTimeout("route", kObjective);
    if (queue_.TryAdmit(ticket, {0, start_deadline}, now) ==
        BackendAdmissionDecision::kAdmit) {
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
      queue_.OnCallFinished(ran, now);
      policy_.OnServiceTime("route", ran);
      ++result_.run;
      const nanoseconds latency =
          running_.begin()->first - arrival_times_[ticket];
      if (latency <= kObjective) ++result_.in_time;
      running_.erase(running_.begin());
    }
  }

  double load_;
  BackendAdmissionQueue queue_;
  QueueTimeoutPolicy policy_;
  std::mt19937_64 random_{11};
  std::uint64_t last_ticket_ = 0;
  std::map<BackendAdmissionTicket, Instant> arrival_times_;
  std::multimap<Instant, std::pair<BackendAdmissionTicket, microseconds>>
      running_;
  SimulationResult result_;
};

// If calls may wait for six tenths of their objective regardless of their
// service time, half of the responses are late under overload.
TEST(QueueTimeoutPolicyTest, CallsThatRunUnderOverloadAreAnsweredInTime) {
  for (const double load : {1.1, 1.3, 2.0}) {
    const SimulationResult result = OverloadedServer(load).Simulate();
    EXPECT_GT(result.in_time, result.run * 8 / 10) << load;
    const double possible = 60000.0 * kSlots / kMeanRunMillis;
    EXPECT_GT(result.run, possible * 0.9) << load;
  }
}

TEST(QueueTimeoutPolicyTest, StaysWithinFractionsOfTheObjective) {
  QueueTimeoutPolicy policy;
  EXPECT_EQ(policy.QueueTimeout("new", milliseconds(100)), milliseconds(60));
  for (int i = 0; i < 50; ++i) policy.OnServiceTime("long", seconds(2));
  EXPECT_EQ(policy.QueueTimeout("long", milliseconds(100)), milliseconds(15));
  for (int i = 0; i < 50; ++i) policy.OnServiceTime("short", milliseconds(1));
  EXPECT_EQ(policy.QueueTimeout("short", milliseconds(100)), milliseconds(60));
}

}  // namespace
}  // namespace wisteriarill
