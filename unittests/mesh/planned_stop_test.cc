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

/// A node whose server takes long, with routes for nested calls.
class LateNestedCallTest : public PlannedStopTest {
 protected:
  LateNestedCallTest() {
    config_.workspaces.resize(1);  // Open routes are for nested calls.
    config_.workspaces.front().name = "w1";
    Publish();
    node_->backend->processing_time = milliseconds(2500);
    clients_ = Connect(2);
  }

  void Send(std::size_t client, const std::string& target) {
    asio::write(
        clients_[client],
        asio::buffer("POST " + target + " HTTP/1.1\r\nHost: mesh\r\nTest-Id: " +
                     std::to_string(client) + "\r\nContent-Length: 0\r\n\r\n"));
  }

  /// Sends a call that ends before the stop does and one that may not, and
  /// expects that the second is refused. `before_second` runs before it is
  /// sent.
  void ExpectLateCallRefused(const std::string& target,
                             const std::function<void()>& before_second) {
    node_->proxy->Stop();
    RunFor(milliseconds(2200));
    Send(0, target);
    RunFor(milliseconds(900));
    before_second();
    Send(1, target);
    ASSERT_TRUE(RunUntil([this] { return loop_.stopped(); }));
    EXPECT_EQ(CountAnswered(&clients_), clients_.size());
    EXPECT_EQ(node_->backend->executed.size(), 1U);
  }

  Clients clients_;
};

// A nested call that was accepted late was cut off when the node ended.
TEST_F(LateNestedCallTest, OneThatMayOutlastTheStopIsRefused) {
  ExpectLateCallRefused("/once/a", [this] { RunFor(milliseconds(300)); });
}

// The same for one that may be repeated: it was accepted whatever its time
// limit.
TEST_F(LateNestedCallTest, AnIdempotentOneThatMayOutlastTheStopIsRefused) {
  ExpectLateCallRefused("/open/a", [this] { RunFor(milliseconds(300)); });
}

// The time that a route allows may change during the stop.
TEST_F(LateNestedCallTest, OneThatMayOutlastTheStopByANewTimeoutIsRefused) {
  for (MeshRoute& route : config_.routes) route.timeout = milliseconds(1800);
  Publish();
  node_->backend->processing_time = milliseconds(1500);
  ExpectLateCallRefused("/open/a", [this] {
    for (MeshRoute& route : config_.routes) route.timeout = milliseconds(4000);
    Publish();
  });
}

TEST(StopScheduleTest, AcceptsOnlyCallsThatCanEndInTime) {
  const Instant began{seconds(1000)};
  for (const milliseconds grace : {seconds(6), seconds(10)}) {
    StopSchedule stop(began, grace);
    const Instant end = stop.deadline();
    const Instant beyond = end + milliseconds(1);
    EXPECT_LT(end, began + grace);
    const Instant noticed = began + StopSchedule::kNoticeTime;
    const Instant unnoticed = noticed - milliseconds(1);
    EXPECT_TRUE(stop.AcceptsRequest(unnoticed, beyond));
    EXPECT_TRUE(stop.AcceptsNestedCall(unnoticed, beyond));
    EXPECT_FALSE(stop.AcceptsPeerCall(began, beyond))
        << "a peer knows other nodes";
    for (Instant at = noticed; at < end; at += milliseconds(100)) {
      EXPECT_FALSE(stop.AcceptsRequest(at, beyond));
      EXPECT_FALSE(stop.AcceptsNestedCall(at, beyond));
      EXPECT_FALSE(stop.AcceptsPeerCall(at, beyond));
      EXPECT_TRUE(stop.AcceptsRequest(at, end));
      EXPECT_TRUE(stop.AcceptsNestedCall(at, end));
      EXPECT_EQ(stop.AcceptsPeerCall(at, end), at < began + grace / 2);
    }
    stop.Close();
    EXPECT_FALSE(stop.AcceptsRequest(noticed, end));
    EXPECT_FALSE(stop.AcceptsPeerCall(began, end));
    EXPECT_FALSE(stop.AcceptsNestedCall(noticed, beyond));
    EXPECT_TRUE(stop.AcceptsNestedCall(noticed, end));
  }
}

}  // namespace
}  // namespace wisteriarill
