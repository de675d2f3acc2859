/// \file
/// Heads whose status is none that a response may have.
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

#include "mesh_fixture.h"
#include "never_destroyed.h"
#include "raw_server.h"
#include "wisteriarill/mesh/http_client.h"

namespace wisteriarill {
namespace {

/// An attempt that takes longer waited for its deadline.
constexpr milliseconds kAtOnce{500};

const std::vector<std::string>& OddStatuses() {
  static const auto* const statuses = new std::vector<std::string>{
      "000", "000 Odd", "001 Odd", "099 Odd", "101 Switching Protocols",
      "600", "600 Odd", "999 Odd"};
  return *statuses;
}

class OddStatusTest : public MeshFixture {
 protected:
  OddStatusTest()
      : server_(MakeNeverDestroyed<RawServer>(&loop_, "127.0.7.1")) {
    beside_ = AddNode("booking", "d1", server_->address());
    remote_ = AddNode("depot", "d1");
    server_->respond = [this](asio::ip::tcp::socket* socket,
                              std::string head) -> Task<void> {
      const std::string id = RawServer::FieldOf(head, "Test-Id");
      const bool is_health = head.starts_with("GET /health");
      const std::string status = is_health && !odd_health_ ? "200 OK" : status_;
      std::string response = "HTTP/1.1 " + status +
                             "\r\nTest-Signature: s\r\nTest-Id: " + id +
                             "\r\nTest-Instance: i-1\r\n";
      if (has_body_ || is_health) {
        response += has_body_ ? "Content-Length: 4\r\n\r\nbody"
                              : "Content-Length: 0\r\n\r\n";
      } else {
        response += "\r\n";
      }
      co_await RawServer::Write(socket, response);
    };
    Publish();
  }

  void ExpectEndsAtOnce(TestNode* node) {
    const Instant began = BootClock::now();
    const TestResponse response = SendRequest(node, "GET", "/once/a");
    EXPECT_EQ(response.status, 502) << status_ << " with body: " << has_body_;
    EXPECT_LT(BootClock::now() - began, kAtOnce)
        << status_ << " with body: " << has_body_;
    EXPECT_EQ(FindField(response.fields, "Test-Signature"), nullptr);
  }

  RawServer* server_;
  TestNode* beside_ = nullptr;
  TestNode* remote_ = nullptr;
  std::string status_ = "200 OK";
  bool has_body_ = true;
  bool odd_health_ = false;
};

// Guards against an odd status that a caller gets as an answer, and against a
// call that waits for its deadline because the head counts as interim.
TEST_F(OddStatusTest, FromAServerItEndsTheAttemptAtOnce) {
  ASSERT_EQ(SendRequest(beside_, "GET", "/once/a").status, 200);
  for (const std::string& status : OddStatuses()) {
    for (const bool has_body : {true, false}) {
      status_ = status;
      has_body_ = has_body;
      ExpectEndsAtOnce(beside_);
      ExpectEndsAtOnce(remote_);
    }
  }
}

// Guards against a health check that takes an odd head for the server's word.
TEST_F(OddStatusTest, InAHealthCheckItSaysNothing) {
  status_ = "000 Odd";
  odd_health_ = true;
  has_body_ = false;
  ExpectEndsAtOnce(beside_);
  RunFor(milliseconds(400));
  status_ = "200 OK";
  has_body_ = true;
  EXPECT_EQ(SendRequest(beside_, "GET", "/once/a").status, 200);
}

/// Reads the head of what a server answers to `GET /`.
class OddHeadTest : public MeshFixture {
 protected:
  Result<HttpResponseHead> Read(const std::string& bytes) {
    auto* server = MakeNeverDestroyed<RawServer>(&loop_, "127.0.7.1");
    server->respond = [bytes](asio::ip::tcp::socket* socket,
                              const std::string&) -> Task<void> {
      co_await RawServer::Write(socket, bytes);
      co_await SleepFor(seconds(1));
    };
    auto connection = std::make_shared<ClientConnection>(
        &loop_, ParseEndpoint(server->address()).value());
    std::optional<Result<HttpResponseHead>> head;
    SpawnTask(&loop_, "read", [&, connection]() -> Task<void> {
      const std::string no_body;
      co_await connection->Connect(seconds(1));
      co_await connection->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n", &no_body,
                                seconds(1));
      head = co_await connection->ReadHead(milliseconds(800));
    });
    RunUntil([&] { return head.has_value(); });
    return *head;
  }
};

// Guards against peers' and the store's heads, which are read by the same code.
TEST_F(OddHeadTest, OnlyFinalStatusesAreResponses) {
  for (const std::string& status : OddStatuses()) {
    const Instant began = BootClock::now();
    EXPECT_FALSE(Read("HTTP/1.1 " + status + "\r\n\r\n")) << status;
    EXPECT_LT(BootClock::now() - began, kAtOnce) << status;
    EXPECT_FALSE(
        Read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + "\r\n\r\n"))
        << status;
  }
  const auto after_interim = Read(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
      "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 599 Odd\r\n"
      "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE(after_interim);
  EXPECT_EQ(after_interim.value().status, 599);
}

}  // namespace
}  // namespace wisteriarill
