#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "mesh_fixture.h"
#include "wisteriarill/process/hashing.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kSlots = 4;  // Slots of a server in MakeCompleteBatch.

/// A server is kept busy by callers' requests while it or another server makes
/// nested calls. A route without keys, in a configuration with workspaces, is
/// for nested calls.
class NestedCallTest : public MeshFixture {
 protected:
  NestedCallTest() {
    MeshRoute keyed = config_.routes.front();
    keyed.name = "keyed";
    keyed.prefix = "/keyed/";
    keyed.open = false;
    config_.routes.push_back(keyed);
    MeshWorkspace workspace;
    workspace.name = "w1";
    workspace.key_digests = {Sha256("secret-1")};
    config_.workspaces = {workspace};
  }

  /// Sends a request and doesn't wait for its response.
  void StartCall(TestNode* node, const std::string& target) {
    clients_.emplace_back(loop_);
    clients_.back().connect(
        ParseEndpoint(node->settings.caller_listen).value());
    asio::write(clients_.back(),
                asio::buffer("GET " + target +
                             " HTTP/1.1\r\nHost: mesh\r\nTest-Id: " + target +
                             "\r\nAuthorization: Bearer secret-1\r\n\r\n"));
  }

  /// Starts a call in each slot. The calls end one after the other.
  void FillSlots(TestNode* node) {
    for (std::size_t i = 0; i < kSlots; ++i) {
      StartCall(node, "/keyed/running");
      ASSERT_TRUE(
          RunUntil([&] { return node->backend->executed.size() == i + 1; }));
      RunFor(milliseconds(30));
    }
  }

  std::vector<asio::ip::tcp::socket> clients_;
};

// If a nested call waits behind callers' requests, the slot of the server that
// made it is held all the while.
TEST_F(NestedCallTest, StartsBeforeQueuedRequestsOfCallers) {
  for (MeshRoute& route : config_.routes)
    route.latency_objective = milliseconds(3000);
  TestNode* node = AddNode("booking", "d1");
  Publish();
  node->backend->processing_time = milliseconds(1000);
  FillSlots(node);
  for (int i = 0; i < 3; ++i) StartCall(node, "/keyed/queued");
  RunFor(milliseconds(50));
  StartCall(node, "/open/nested");
  ASSERT_TRUE(
      RunUntil([&] { return node->backend->executed.size() > kSlots; }));
  EXPECT_EQ(node->backend->executed[kSlots].target, "/open/nested");
}

// While servers fail a part of their calls, the callers' retries must leave a
// part of the retry budget for nested calls.
TEST_F(NestedCallTest, MayBeRetriedAfterCallersUsedTheirPartOfTheBudget) {
  TestNode* node = AddNode("booking", "d1");
  TestNode* other = AddNode("booking", "d1");
  Publish();
  const auto refuse = [](ServerExchange* exchange) -> Task<bool> {
    HttpFields fields;
    fields.push_back({"Test-Not-Run", "full"});
    fields.push_back(
        {"Test-Id", *FindField(exchange->request().fields, "Test-Id")});
    co_await exchange->SendResponse(503, std::move(fields), "");
    co_return true;
  };
  node->backend->override_response = refuse;
  other->backend->override_response = refuse;
  const auto attempts = [&] {
    return node->backend->executed.size() + other->backend->executed.size();
  };
  const HttpFields key = {{"Authorization", "Bearer secret-1"}};
  std::size_t last = 0;
  for (int i = 0; i < 200 && attempts() != last + 1; ++i) {
    last = attempts();
    SendRequest(node, "GET", "/keyed/a", key);
  }
  ASSERT_EQ(attempts(), last + 1) << "callers' requests are always retried";
  last = attempts();
  SendRequest(node, "GET", "/open/nested");
  EXPECT_EQ(attempts(), last + 2);
}

}  // namespace
}  // namespace wisteriarill
