/// \file
/// Callers' connections that wait, time out, or still send when the node
/// refuses their request.
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <vector>

#include "mesh_fixture.h"
#include "never_destroyed.h"

namespace wisteriarill {
namespace {

constexpr std::string_view kRequest =
    "GET /open/a HTTP/1.1\r\nHost: mesh\r\n\r\n";

class OkHandler : public RequestHandler {
 public:
  Task<void> Handle(ServerExchange* exchange) override {
    co_await exchange->SendResponse(200, HttpFields(), "ok");
  }
};

class CallerConnectionTest : public ::testing::Test {
 protected:
  CallerConnectionTest() { EXPECT_TRUE(server_->Listen("127.0.7.1:0")); }
  ~CallerConnectionTest() override { loop_->stop(); }

  asio::ip::tcp::socket Connect() {
    asio::ip::tcp::socket client(*loop_);
    client.connect(
        ParseEndpoint("127.0.7.1:" + std::to_string(server_->port())).value());
    return client;
  }

  static void Send(asio::ip::tcp::socket* client, std::string_view bytes) {
    asio::write(*client, asio::buffer(bytes));
  }

  void RunFor(milliseconds time) {
    const Instant until = BootClock::now() + time;
    while (BootClock::now() < until) loop_->run_one_for(milliseconds(1));
  }

  /// Returns what the client receives until the handler's whole response, the
  /// end of the connection, or `timeout`. Sets the error of the last read.
  std::string Receive(asio::ip::tcp::socket* client, milliseconds timeout,
                      error_code* error) {
    std::string received;
    char piece[1024];
    client->non_blocking(true);
    const Instant until = BootClock::now() + timeout;
    while (BootClock::now() < until) {
      loop_->run_one_for(milliseconds(1));
      const std::size_t size = client->read_some(asio::buffer(piece), *error);
      received.append(piece, size);
      if (received.ends_with("\r\n\r\nok")) break;
      if (*error && *error != asio::error::would_block) break;
    }
    return received;
  }

  std::string Receive(asio::ip::tcp::socket* client, milliseconds timeout) {
    error_code error;
    return Receive(client, timeout, &error);
  }

  // Never destroyed, because pending handlers of the event loop refer to them.
  CallerLimits* const limits_ = MakeNeverDestroyed<CallerLimits>();
  asio::io_context* const loop_ = MakeNeverDestroyed<asio::io_context>(1);
  OkHandler* const handler_ = MakeNeverDestroyed<OkHandler>();
  HttpServer* const server_ = MakeNeverDestroyed<HttpServer>(
      loop_, handler_, [limits = limits_] { return *limits; });
};

TEST_F(CallerConnectionTest, ALongerIdleTimeoutAppliesToWaitingConnections) {
  limits_->idle_timeout = milliseconds(500);
  asio::ip::tcp::socket client = Connect();
  RunFor(milliseconds(50));
  limits_->idle_timeout = milliseconds(20'000);
  RunFor(milliseconds(700));
  Send(&client, kRequest);
  EXPECT_TRUE(Receive(&client, milliseconds(2000)).starts_with("HTTP/1.1 200"));
}

TEST_F(CallerConnectionTest, NewLimitsApplyToTheNextRequest) {
  limits_->max_body_bytes = 10;
  asio::ip::tcp::socket client = Connect();
  RunFor(milliseconds(50));
  limits_->max_body_bytes = 1000;
  Send(&client,
       "POST /once/a HTTP/1.1\r\nHost: mesh\r\nContent-Length: 100\r\n\r\n" +
           std::string(100, 'x'));
  EXPECT_TRUE(Receive(&client, milliseconds(2000)).starts_with("HTTP/1.1 200"));
}

TEST_F(CallerConnectionTest, ARequestThatArrivesAsTheIdleTimerFiresIsServed) {
  constexpr int kClients = 40;
  limits_->idle_timeout = milliseconds(500);
  std::vector<asio::ip::tcp::socket> clients;
  for (int i = 0; i < kClients; ++i) clients.push_back(Connect());
  RunFor(milliseconds(100));
  // The event loop is late: it finds the timer expired and the bytes there.
  for (asio::ip::tcp::socket& client : clients) Send(&client, kRequest);
  std::this_thread::sleep_for(milliseconds(700));
  int served = 0;
  for (asio::ip::tcp::socket& client : clients) {
    const std::string received = Receive(&client, milliseconds(2000));
    served += received.starts_with("HTTP/1.1 200") ? 1 : 0;
  }
  EXPECT_EQ(served, kClients);
}

TEST_F(CallerConnectionTest, IdleConnectionsAreClosed) {
  limits_->idle_timeout = milliseconds(200);
  asio::ip::tcp::socket client = Connect();
  error_code error;
  EXPECT_EQ(Receive(&client, milliseconds(1000), &error), "");
  EXPECT_EQ(error, asio::error::eof);
}

TEST_F(CallerConnectionTest, ASlowHeadIsAnsweredBeforeTheClose) {
  limits_->header_timeout = milliseconds(200);
  asio::ip::tcp::socket client = Connect();
  Send(&client, kRequest.substr(0, 20));
  error_code error;
  const std::string received = Receive(&client, milliseconds(5000), &error);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 408")) << received;
  EXPECT_EQ(error, asio::error::eof);
}

TEST_F(CallerConnectionTest, ARefusalIsNotOvertakenByAReset) {
  limits_->max_body_bytes = 1000;
  asio::ip::tcp::socket client = Connect();
  Send(
      &client,
      "POST /once/a HTTP/1.1\r\nHost: mesh\r\nContent-Length: 3000000\r\n\r\n");
  RunFor(milliseconds(50));
  // The client reads the response only after it has sent its body.
  const std::string piece(1U << 15, 'x');
  for (std::size_t sent = 0; sent < 3'000'000;) {
    error_code error;
    client.non_blocking(true);
    const std::size_t size = client.write_some(asio::buffer(piece), error);
    sent += size;
    ASSERT_TRUE(!error || error == asio::error::would_block)
        << error.message() << " after " << sent;
    loop_->run_one_for(milliseconds(1));
  }
  error_code error;
  const std::string received = Receive(&client, milliseconds(5000), &error);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 413")) << received;
  EXPECT_EQ(error, asio::error::eof) << error.message();
}

}  // namespace
}  // namespace wisteriarill
