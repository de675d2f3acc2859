// When callers are told to come back to servers that are full, or that have got
// the requests that they take.
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <vector>

#include "mesh_fixture.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kSlots = 4;  // Slots of a server in MakeCompleteBatch.
constexpr double kSoon = 2;        // Seconds.

class FullServerRetryTest : public MeshFixture {
 protected:
  FullServerRetryTest() {
    MeshWorkspace workspace;
    workspace.name = "alpha";
    config_.workspaces.push_back(workspace);
    MeshRoute depot = config_.routes.front();
    depot.name = "depot";
    depot.prefix = "/depot/";
    depot.latency_objective = milliseconds(100);
    depot.targets = {{"depot", 1}};
    config_.routes.push_back(depot);
    ingress_ = AddNode("booking", "d1");
    depot_ = AddNode("depot", "d1");
    Publish();
  }

  void StartCall(const std::string& id) {
    clients_.emplace_back(loop_);
    clients_.back().connect(
        ParseEndpoint(depot_->settings.caller_listen).value());
    asio::write(clients_.back(),
                asio::buffer("GET /depot/long HTTP/1.1\r\nHost: mesh\r\n"
                             "Test-Id: " +
                             id + "\r\nTest-Deadline: 9000\r\n\r\n"));
  }
  /// Sends a call that is refused, and returns the time to come back.
  double RefusalSeconds(const std::string& reason) {
    const TestResponse response = SendRequest(ingress_, "GET", "/depot/late");
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.body, reason + "\n");
    const std::string* retry_after = FindField(response.fields, "Retry-After");
    return retry_after == nullptr ? 0 : std::atof(retry_after->c_str());
  }

  TestNode* ingress_ = nullptr;
  TestNode* depot_ = nullptr;
  std::vector<asio::ip::tcp::socket> clients_;
};

// Guards against a wait for a rate that the server never named.
TEST_F(FullServerRetryTest, ServersKnownToBeFullAreTriedAgainSoon) {
  depot_->backend->processing_time = milliseconds(2000);
  for (std::size_t i = 0; i < kSlots; ++i)
    StartCall("long-" + std::to_string(i));
  ASSERT_TRUE(
      RunUntil([&] { return depot_->backend->executed.size() == kSlots; }));
  for (int i = 0; i < 8; ++i) {
    const double retry_after = RefusalSeconds("backend-full");
    EXPECT_GT(retry_after, 0);
    EXPECT_LT(retry_after, kSoon);
  }
}

// Guards against callers that come back before the rate has room for them.
TEST_F(FullServerRetryTest, ALimitedServerIsTriedAgainWhenItsRateHasRoom) {
  depot_->backend->override_response =
      [](ServerExchange* exchange) -> Task<bool> {
    const std::string id = *FindField(exchange->request().fields, "Test-Id");
    HttpFields fields = {
        {"Test-Signature", "s"}, {"Test-Id", id}, {"Test-Limit", "1"}};
    co_await exchange->SendResponse(200, std::move(fields), "limited");
    co_return true;
  };
  EXPECT_EQ(SendRequest(ingress_, "GET", "/depot/a").status, 200);
  for (int i = 0; i < 8; ++i) {
    const double retry_after = RefusalSeconds("backend-rate");
    EXPECT_GT(retry_after, 0.5);
    EXPECT_LT(retry_after, kSoon);
  }
  EXPECT_EQ(depot_->backend->executed.size(), 1U);
  RunFor(milliseconds(1100));
  EXPECT_EQ(SendRequest(ingress_, "GET", "/depot/b").status, 200);
}

}  // namespace
}  // namespace wisteriarill
