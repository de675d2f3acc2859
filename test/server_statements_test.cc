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

}  // namespace
}  // namespace wisteriarill::platform
