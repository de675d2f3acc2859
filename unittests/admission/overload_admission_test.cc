// Plays more calls than a server takes on its admission queue, without rates
// that bound them, and checks what callers get.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <vector>

#include "wisteriarill/admission/backend_admission_queue.h"

namespace wisteriarill {
namespace {

constexpr std::uint32_t kSlots = 4;
constexpr double kRunMillis = 80;
constexpr milliseconds kMaxWait{200};
const Instant kStart = kNever + seconds(100);

struct Results {
  int wanted = 0;
  int started = 0;

  double ServedPart() const { return static_cast<double>(started) / wanted; }
};

/// One server and the calls of several urgencies.
class OverloadedServer {
 public:
  OverloadedServer(BackendAdmissionOptions options, std::uint64_t seed)
      : random_(seed) {
    queue_.Configure(options);
  }

  /// Plays `time` with calls of each urgency; `loads` are multiples of what the
  /// slots take.
  void Play(seconds time, const std::map<std::int32_t, double>& loads) {
    const Instant end = now_ + time;
    for (; now_ < end; now_ += milliseconds(1)) {
      EndRuns();
      for (const BackendAdmissionTicket ticket : queue_.TakeAdmitted(now_))
        Begin(ticket);
      for (const auto& [urgency, load] : loads) {
        if (Chance() < load * kSlots / kRunMillis) Arrive(urgency);
      }
    }
  }

  const Results& results(std::int32_t urgency) { return results_[urgency]; }

 private:
  double Chance() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  void Arrive(std::int32_t urgency) {
    const BackendAdmissionTicket ticket{++last_ticket_};
    ++results_[urgency].wanted;
    urgencies_[ticket] = urgency;
    const auto decision =
        queue_.TryAdmit(ticket, {urgency, now_ + kMaxWait}, now_);
    if (decision == BackendAdmissionDecision::kAdmit) Begin(ticket);
  }
  void Begin(BackendAdmissionTicket ticket) {
    Results& results = results_[urgencies_[ticket]];
    ++results.started;
    const double millis = kRunMillis * (0.5 + Chance());
    ends_.insert(now_ + microseconds(static_cast<std::int64_t>(1000 * millis)));
  }
  void EndRuns() {
    while (!ends_.empty() && *ends_.begin() <= now_) {
      ends_.erase(ends_.begin());
      queue_.OnCallFinished(
          microseconds(static_cast<std::int64_t>(1000 * kRunMillis)), now_);
    }
  }

  BackendAdmissionQueue queue_;
  std::mt19937_64 random_;
  Instant now_ = kStart;
  std::uint64_t last_ticket_ = 0;
  std::map<BackendAdmissionTicket, std::int32_t> urgencies_;
  std::map<std::int32_t, Results> results_;
  std::multiset<Instant> ends_;
};

BackendAdmissionOptions MakeOptions(bool reports_waits) {
  BackendAdmissionOptions options;
  options.slots = kSlots;
  options.reports_waits = reports_waits;
  return options;
}

// Guards against urgent calls that are served less often than others, and
// against others that are never served.
TEST(OverloadAdmissionTest, UrgencyDecidesAndNobodyStarves) {
  for (const bool reports_waits : {false, true}) {
    OverloadedServer server(MakeOptions(reports_waits), 5);
    server.Play(seconds(60), {{-1, 0.4}, {0, 0.8}, {4, 0.8}});
    EXPECT_GE(server.results(-1).ServedPart(), server.results(0).ServedPart());
    EXPECT_GE(server.results(0).ServedPart(), server.results(4).ServedPart());
    EXPECT_GT(server.results(4).ServedPart(), 0.1);
  }
}

// Guards against reported waits by which nodes would refuse what a server can
// take, or send what it can't.
TEST(OverloadAdmissionTest, ReportsTheWaitOfEachLevel) {
  BackendAdmissionQueue queue;
  queue.Configure(MakeOptions(true));
  EXPECT_TRUE(queue.load(kStart).waits.empty());
  std::uint64_t ticket = 0;
  const auto arrive = [&](std::int32_t urgency) {
    queue.TryAdmit(BackendAdmissionTicket{++ticket},
                   {urgency, kStart + seconds(10)}, kStart);
  };
  for (std::uint32_t i = 0; i < kSlots; ++i) arrive(2);
  ASSERT_EQ(queue.load(kStart).waits.size(), 1U) << "all slots are taken";
  for (int i = 0; i < 8; ++i) arrive(2);
  const BackendLoad load = queue.load(kStart);
  ASSERT_EQ(load.waits.size(), 2U);
  EXPECT_EQ(load.waits[1].urgency, 2);
  EXPECT_GT(load.waits[1].wait, load.waits[0].wait);
}

}  // namespace
}  // namespace wisteriarill
