#include <boost/asio/write.hpp>
#include <thread>
#include <vector>

#include "mesh_fixture.h"

namespace wisteriarill {
namespace {

using Clients = std::vector<asio::ip::tcp::socket>;

/// A node that is stopped while callers connect and send requests until its
/// last moment. The system accepts connections and bytes for it while it
/// handles other events, or doesn't run at all.
class PlannedStopTest : public MeshFixture {
 protected:
  PlannedStopTest() {
    node_ = AddNode("booking", "d1");
    Publish();
  }

  Clients Connect(std::size_t count) {
    Clients clients;
    for (std::size_t i = 0; i < count; ++i) {
      clients.emplace_back(loop_);
      clients.back().connect(
          ParseEndpoint(node_->settings.caller_listen).value());
    }
    return clients;
  }

  static void SendRequests(Clients* clients) {
    for (asio::ip::tcp::socket& client : *clients) {
      asio::write(client, asio::buffer(std::string(
                              "GET /open/a HTTP/1.1\r\nHost: mesh\r\n"
                              "Test-Id: last\r\n\r\n")));
    }
  }

  /// Stops the node, and returns before it would end.
  void StopUntilLastMoment() {
    node_->proxy->Stop();
    RunFor(milliseconds(2200));
    ASSERT_FALSE(loop_.stopped());
  }

  /// Lets the time of the node's end pass while nothing runs, then runs it
  /// until its end.
  void MissTheEnd() {
    std::this_thread::sleep_for(milliseconds(600));
    ASSERT_TRUE(RunUntil([this] { return loop_.stopped(); }));
  }

  static std::size_t CountAnswered(Clients* clients) {
    std::size_t answered = 0;
    for (asio::ip::tcp::socket& client : *clients) {
      char status_line[12] = {};
      error_code error;
      client.non_blocking(true, error);
      client.read_some(asio::buffer(status_line), error);
      const std::string_view text(status_line, sizeof status_line);
      if (text == "HTTP/1.1 200" || text == "HTTP/1.1 503") ++answered;
    }
    return answered;
  }

  TestNode* node_ = nullptr;
};

TEST_F(PlannedStopTest, ConnectionsThatWaitToBeAcceptedAreServed) {
  StopUntilLastMoment();
  Clients clients = Connect(40);
  SendRequests(&clients);
  MissTheEnd();
  EXPECT_EQ(CountAnswered(&clients), clients.size());
}

TEST_F(PlannedStopTest, RequestsOnKeptConnectionsAreServed) {
  // More than the event loop takes from the system at a time.
  constexpr std::size_t kConnections = 300;
  Clients clients = Connect(kConnections);
  RunFor(milliseconds(100));
  StopUntilLastMoment();
  SendRequests(&clients);
  MissTheEnd();
  EXPECT_EQ(CountAnswered(&clients), clients.size());
}

TEST_F(PlannedStopTest, IdleConnectionsDoNotDelayTheEnd) {
  Clients clients = Connect(20);
  asio::write(clients.front(), asio::buffer(std::string("GET /open/a HTT")));
  const Instant began = BootClock::now();
  node_->proxy->Stop();
  ASSERT_TRUE(RunUntil([this] { return loop_.stopped(); }));
  EXPECT_LT(BootClock::now() - began, milliseconds(3500));
}

// A nested call that was accepted late was cut off when the node ended.
TEST_F(PlannedStopTest, ALateNestedCallThatMayOutlastTheStopIsRefused) {
  config_.workspaces.resize(1);  // Open routes are for nested calls.
  config_.workspaces.front().name = "w1";
  Publish();
  node_->backend->processing_time = milliseconds(2500);
  Clients clients = Connect(2);
  const auto send = [&clients](std::size_t client, const std::string& id) {
    asio::write(
        clients[client],
        asio::buffer("POST /once/a HTTP/1.1\r\nHost: mesh\r\nTest-Id: " + id +
                     "\r\nContent-Length: 0\r\n\r\n"));
  };
  node_->proxy->Stop();
  RunFor(milliseconds(2200));
  send(0, "early");
  RunFor(milliseconds(1200));
  send(1, "late");
  ASSERT_TRUE(RunUntil([this] { return loop_.stopped(); }));
  EXPECT_EQ(CountAnswered(&clients), clients.size());
  EXPECT_EQ(node_->backend->executed.size(), 1U);
}

TEST(StopScheduleTest, AcceptsOnlyCallsThatCanEndInTime) {
  const Instant began{seconds(1000)};
  StopSchedule stop(began, seconds(6));
  const Instant late = began + milliseconds(3100);
  EXPECT_TRUE(stop.AcceptsRequests(began + milliseconds(2900)));
  EXPECT_FALSE(stop.AcceptsRequests(late));
  const Instant end = stop.deadline();
  EXPECT_LT(end, began + seconds(6));
  EXPECT_TRUE(stop.AcceptsNestedCall(late, end, false));
  EXPECT_FALSE(stop.AcceptsNestedCall(late, end + milliseconds(1), false));
  EXPECT_TRUE(stop.AcceptsNestedCall(late, end + seconds(5), true));
  const Instant last = end - StopSchedule::kMinNestedCallTime;
  EXPECT_TRUE(stop.AcceptsNestedCall(last, end + seconds(5), true));
  EXPECT_FALSE(
      stop.AcceptsNestedCall(last + milliseconds(1), end + seconds(5), true));
  stop.Close();
  EXPECT_FALSE(stop.AcceptsRequests(began + milliseconds(2900)));
  EXPECT_TRUE(stop.AcceptsNestedCall(began + milliseconds(2900), end, false));
}

}  // namespace
}  // namespace wisteriarill
