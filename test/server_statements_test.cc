/// \file
/// Real nodes whose servers state a limit of the requests that they take.
#include <algorithm>
#include <csignal>
#include <iostream>
#include <vector>

#include "proxy_fleet.h"

namespace wisteriarill::platform {
namespace {

constexpr std::size_t kNodes = 4;
constexpr std::size_t kCallersPerNode = 8;
constexpr milliseconds kPauseBetweenRequests{80};
/// Time after which a statement binds, and span in which requests are counted.
constexpr seconds kGrace{3};
constexpr seconds kSpan{4};
/// Late answers of an idle fleet would be those of a queue.
constexpr milliseconds kSoonEnough{150};
/// A refusal that takes longer was held.
constexpr milliseconds kAtOnce{100};

/// Greatest number of requests that a server that takes `limit` a second may
/// get in kSpan.
double AllowedRequests(double limit) {
  return 1.5 * limit * static_cast<double>(kSpan.count()) + 5;
}

class ServerStatementsTest : public ProxyFleetTest {
 protected:
  ServerStatementsTest() : ProxyFleetTest(kNodes) {
    Publish(1, {"/old/"}, {kKeptKey});
    for (std::size_t i = 0; i < kNodes; ++i) PutServer(i, false, 1);
    for (Node& node : nodes_) node.echo->work_time = milliseconds(10);
  }

  /// Starts callers that send one request after the other to each node.
  void StartCallers() {
    for (std::size_t i = 0; i < kNodes * kCallersPerNode; ++i) {
      SpawnTask(&loop_, "caller", [this, i]() -> Task<void> {
        co_await SleepFor(kPauseBetweenRequests * i / kCallersPerNode);
        while (!callers_stop_) {
          const std::size_t result = results_.size();
          results_.emplace_back();
          co_await SendOne(i % kNodes, "/old/a", kKeptKey, &results_[result]);
          co_await SleepFor(kPauseBetweenRequests);
        }
      });
    }
  }
  void StopCallers() {
    callers_stop_ = true;
    RunFor(seconds(2));
  }

  /// Returns the number of requests in the fullest span since `since` that
  /// began at a node other than `left_out`.
  std::size_t FullestSpan(std::size_t server, Instant since,
                          int left_out = -1) const {
    std::deque<Instant> span;
    std::size_t fullest = 0;
    for (const EchoServer::Arrival& arrival : nodes_[server].echo->arrivals) {
      if (arrival.at < since || arrival.mark == std::to_string(left_out))
        continue;
      span.push_back(arrival.at);
      while (span.front() + kSpan < arrival.at) span.pop_front();
      fullest = std::max(fullest, span.size());
    }
    return fullest;
  }
  std::size_t CountArrivals(std::size_t server, Instant since) const {
    const auto& arrivals = nodes_[server].echo->arrivals;
    return std::count_if(arrivals.begin(), arrivals.end(),
                         [since](const auto& a) { return a.at >= since; });
  }
  void SetLimit(std::size_t server, const std::string& limit) {
    nodes_[server].echo->stated = {{"Server-Limit", limit}};
  }

  std::deque<CallerResult> results_;
  bool callers_stop_ = false;
};

// Guards against a limit that a server names and that nothing obeys.
TEST_F(ServerStatementsTest, AServerGetsNoMoreThanTheLimitThatItNames) {
  StartAll("/old/");
  StartCallers();
  RunFor(seconds(1));
  SetLimit(0, "7.9");
  SetLimit(1, "1");
  const Instant named = BootClock::now();
  RunFor(std::chrono::duration_cast<milliseconds>(kGrace + kSpan) +
         milliseconds(3000));
  const std::size_t at_first = FullestSpan(0, named + milliseconds(500));
  const std::size_t at_second = FullestSpan(1, named + milliseconds(500));
  StopCallers();
  std::size_t answered = 0;
  std::size_t late = 0;
  for (const CallerResult& result : results_) {
    answered += result.status == 200 ? 1 : 0;
    late += result.latency > kSoonEnough ? 1 : 0;
  }
  std::cout << "measured: fullest_span=" << at_first << "," << at_second
            << " requests=" << results_.size() << " answered=" << answered
            << " late=" << late << "\n";
  EXPECT_LE(static_cast<double>(at_first), AllowedRequests(7.9));
  EXPECT_LE(static_cast<double>(at_second), AllowedRequests(1));
  EXPECT_EQ(answered, results_.size()) << "others have room for all of them";
  EXPECT_LE(late, results_.size() / 100);
}

// Guards against a limit that is forgotten with the node beside the server,
// while the nodes that relayed it go on.
TEST_F(ServerStatementsTest, TheLimitOutlivesTheNodeBesideTheServer) {
  constexpr std::size_t kKills = 6;
  StartAll("/old/");
  // The only server of its service.
  for (std::size_t i = 1; i < kNodes; ++i)
    store_.Remove("servers/i-" + std::to_string(i));
  SetLimit(0, "2");
  // A restarted node hears of the limit by itself only this late.
  nodes_[0].echo->work_time = milliseconds(600);
  StartCallers();
  RunFor(seconds(3));
  const Instant began = BootClock::now();
  for (std::size_t i = 0; i < kKills; ++i) {
    nodes_[0].process->Kill();
    StartNode(0);
    RunFor(milliseconds(1200));
  }
  const std::size_t fullest = FullestSpan(0, began, 0);
  const std::size_t all = CountArrivals(0, began);
  StopCallers();
  std::cout << "measured: fullest_span=" << fullest << " all=" << all << "\n";
  EXPECT_LE(static_cast<double>(fullest), AllowedRequests(2));
}

// Guards against calls that pile up while the node beside the server stands
// still or stops, and reach the server together.
TEST_F(ServerStatementsTest, TheLimitHoldsThroughFreezesAndStops) {
  StartAll("/old/");
  for (std::size_t i = 1; i < kNodes; ++i)
    store_.Remove("servers/i-" + std::to_string(i));
  SetLimit(0, "2");
  StartCallers();
  RunFor(seconds(3));
  const Instant began = BootClock::now();
  for (int i = 0; i < 3; ++i) {
    nodes_[0].process->Signal(SIGSTOP);
    RunFor(milliseconds(700));
    nodes_[0].process->Signal(SIGCONT);
    RunFor(milliseconds(500));
  }
  nodes_[0].process->Signal(SIGTERM);
  RunFor(milliseconds(3500));
  nodes_[0].process->Kill();
  StartNode(0);
  RunFor(seconds(2));
  const std::size_t fullest = FullestSpan(0, began);
  StopCallers();
  std::cout << "measured: fullest_span=" << fullest << "\n";
  EXPECT_LE(static_cast<double>(fullest), AllowedRequests(2));
}

// Guards against calls that are held in vain, and against a limit that is used
// in part only, where no other server has room.
TEST_F(ServerStatementsTest, LimitsOfAllServersAreUsedInFullAndTheRestRefused) {
  constexpr double kLimit = 20;
  StartAll("/old/");
  for (std::size_t i = 0; i < kNodes; ++i) SetLimit(i, "20");
  StartCallers();
  RunFor(seconds(4));
  const Instant began = BootClock::now();
  const std::size_t first = results_.size();
  RunFor(seconds(6));
  std::size_t refused = 0;
  std::size_t held = 0;
  for (std::size_t i = first; i < results_.size(); ++i) {
    const CallerResult& result = results_[i];
    if (result.status == 0 || result.status == 200) continue;
    EXPECT_EQ(result.status, 503);
    EXPECT_GT(result.retry_after_seconds.value_or(0), 0);
    ++refused;
    held += result.latency > kAtOnce ? 1 : 0;
  }
  for (std::size_t i = 0; i < kNodes; ++i) {
    const double rate = static_cast<double>(CountArrivals(i, began)) / 6;
    std::cout << "measured: rate=" << rate << "\n";
    EXPECT_GE(rate, 0.9 * kLimit);
    EXPECT_LE(static_cast<double>(FullestSpan(i, began)),
              AllowedRequests(kLimit));
  }
  StopCallers();
  std::cout << "measured: requests=" << results_.size() - first
            << " refused=" << refused << " held=" << held << "\n";
  EXPECT_GT(refused, 0U);
  EXPECT_EQ(held, 0U);
}

class LeavingServerTest : public ServerStatementsTest {
 protected:
  /// Returns the number of requests at server 0 that arrived later than
  /// `after`, but for those that began at `left_out`.
  std::size_t CountLater(Instant after, int left_out = -1) const {
    const auto& arrivals = nodes_[0].echo->arrivals;
    return std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& a) {
      return a.at > after && a.mark != std::to_string(left_out);
    });
  }
  std::size_t CountFailed() const {
    return std::count_if(results_.begin(), results_.end(),
                         [](const auto& r) { return r.status != 200; });
  }
  void SayLeaving() {
    nodes_[0].echo->stated = {{"Server-Leaving", "1"}};
    said_ = BootClock::now();
  }

  Instant said_;
};

// Guards against requests to a server that said that it is leaving, though the
// registry lists it as sound and the store is away.
TEST_F(LeavingServerTest, GetsNoRequestsAndItsNextStartDoes) {
  StartAll("/old/");
  StartCallers();
  RunFor(seconds(1));
  store_.SetAway(true);
  SayLeaving();
  RunFor(seconds(6));
  const std::size_t later = CountLater(said_ + milliseconds(200));
  const std::size_t failed = CountFailed();
  std::cout << "measured: later_than_200_ms=" << later << " failed=" << failed
            << " of " << results_.size() << "\n";
  EXPECT_EQ(later, 0U);
  callers_stop_ = true;
  RunFor(seconds(2));
  EXPECT_EQ(CountFailed(), 0U);
  store_.SetAway(false);
  nodes_[0].echo->stated.clear();
  PutServer(0, false, 1, 2);
  RunFor(seconds(4));
  callers_stop_ = false;
  StartCallers();
  const Instant started = BootClock::now();
  RunFor(seconds(1));
  EXPECT_GE(CountLater(started), 30U) << "a new start isn't leaving";
  StopCallers();
}

// Guards against requests of nodes that passed the word on, once the node
// beside the server has forgotten it.
TEST_F(LeavingServerTest, GetsNoRequestsWhenTheNodeBesideItIsReplaced) {
  StartAll("/old/");
  for (std::size_t i = 1; i < kNodes; ++i)
    store_.Remove("servers/i-" + std::to_string(i));
  StartCallers();
  RunFor(seconds(1));
  SayLeaving();
  RunFor(seconds(2));
  const Instant later = BootClock::now();
  for (int i = 0; i < 3; ++i) {
    nodes_[0].process->Kill();
    StartNode(0);
    RunFor(milliseconds(1500));
  }
  std::cout << "measured: of_other_nodes=" << CountLater(later, 0) << "\n";
  EXPECT_EQ(CountLater(later, 0), 0U);
  const std::size_t first = results_.size();
  RunFor(seconds(1));
  StopCallers();
  for (std::size_t i = first; i < results_.size(); ++i) {
    EXPECT_EQ(results_[i].status, 503) << "it is the last of its service";
    EXPECT_LT(results_[i].latency, kAtOnce);
    EXPECT_GT(results_[i].retry_after_seconds.value_or(0), 0);
  }
}

// Guards against a server that is left alone for good after a limit of 0.
TEST_F(ServerStatementsTest, TheEndOfALimitIsNoticed) {
  StartAll("/old/");
  SetLimit(0, "0");
  StartCallers();
  RunFor(seconds(3));
  const Instant limited = BootClock::now();
  RunFor(kSpan);
  EXPECT_LE(CountArrivals(0, limited), 5U);
  nodes_[0].echo->stated.clear();
  RunFor(seconds(3));
  const Instant ended = BootClock::now();
  RunFor(seconds(1));
  EXPECT_GE(CountArrivals(0, ended), 30U);
  StopCallers();
}

}  // namespace
}  // namespace wisteriarill::platform
