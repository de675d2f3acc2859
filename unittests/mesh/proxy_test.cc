#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "mesh_fixture.h"
#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/process/hashing.h"

namespace wisteriarill {
namespace {

using ProxyTest = MeshFixture;

TEST_F(ProxyTest, RefusesUntilItHasAConfiguration) {
  TestNode* node = AddNode("booking", "d1");
  const TestAnswer answer = Ask(node, "GET", "/open/a");
  EXPECT_EQ(answer.status, 503);
  EXPECT_NE(FindField(answer.fields, "Retry-After"), nullptr);
}

TEST_F(ProxyTest, ServesAtTheServerBesideAndAtOthers) {
  TestNode* first = AddNode("booking", "d1");
  TestNode* other = AddNode("depot", "d2");
  Publish();
  const TestAnswer beside = Ask(first, "GET", "/open/a");
  EXPECT_EQ(beside.status, 200);
  EXPECT_EQ(beside.body, "from i-1");
  const TestAnswer far = Ask(other, "GET", "/open/a?q=1");
  EXPECT_EQ(far.status, 200);
  EXPECT_EQ(far.body, "from i-1");
  ASSERT_EQ(first->backend->ran.size(), 2U);
  const HttpRequest& ran = first->backend->ran.back();
  EXPECT_EQ(ran.target, "/open/a?q=1");
  EXPECT_EQ(*FindField(ran.fields, "Test-Caller"), "depot");
}

MeshWorkspace Keyed(const std::string& name, const std::string& key) {
  MeshWorkspace workspace;
  workspace.name = name;
  workspace.key_digests = {Sha256(key)};
  return workspace;
}

TEST_F(ProxyTest, PassesTheWorkspaceOnAndNeverTheKey) {
  MeshRoute route = config_.routes.front();
  route.name = "keyed";
  route.prefix = "/keyed/";
  route.open = false;
  config_.routes.push_back(route);
  config_.workspaces = {Keyed("w1", "secret-1"), Keyed("w2", "secret-2")};
  TestNode* node = AddNode("booking", "d1");
  Publish();
  EXPECT_EQ(Ask(node, "GET", "/keyed/a").status, 401);
  EXPECT_EQ(
      Ask(node, "GET", "/keyed/a", {{"Authorization", "Bearer no"}}).status,
      401);
  const TestAnswer answer =
      Ask(node, "GET", "/keyed/a",
          {{"Authorization", "Bearer secret-2"}, {"Test-Workspace", "w1"}});
  EXPECT_EQ(answer.status, 200);
  ASSERT_EQ(node->backend->ran.size(), 1U);
  const HttpFields& fields = node->backend->ran.front().fields;
  EXPECT_EQ(*FindField(fields, "Test-Workspace"), "w2");
  EXPECT_EQ(FindField(fields, "Authorization"), nullptr);
  config_.workspaces.pop_back();
  Publish();
  EXPECT_EQ(Ask(node, "GET", "/keyed/a", {{"Authorization", "Bearer secret-2"}})
                .status,
            401);
}

TEST_F(ProxyTest, RepeatsOnlyWhatIsIdempotent) {
  TestNode* first = AddNode("booking", "d1");
  TestNode* second = AddNode("booking", "d1");
  Publish();
  const auto lose = [](ServerExchange* exchange) -> Task<bool> {
    exchange->AbortResponse();
    co_return true;
  };
  first->backend->misbehave = lose;
  second->backend->misbehave = lose;
  EXPECT_EQ(Ask(first, "POST", "/once/a", {}, "body").status, 502);
  EXPECT_EQ(first->backend->ran.size() + second->backend->ran.size(), 1U);
  RunFor(milliseconds(600));
  EXPECT_EQ(Ask(first, "GET", "/open/a").status, 502);
  EXPECT_EQ(first->backend->ran.size() + second->backend->ran.size(), 3U);
}

TEST_F(ProxyTest, DropsForeignAnswers) {
  TestNode* node = AddNode("booking", "d1");
  Publish();
  node->backend->misbehave = [](ServerExchange* exchange) -> Task<bool> {
    HttpFields fields;
    fields.push_back({"Test-Signature", "s"});
    fields.push_back({"Test-Id", "another-request"});
    co_await exchange->SendResponse(200, std::move(fields), "not yours");
    co_return true;
  };
  const TestAnswer answer =
      Ask(node, "GET", "/open/a", {{"Test-Deadline", "400"}});
  EXPECT_GE(answer.status, 500);
  EXPECT_EQ(answer.body.find("not yours"), std::string::npos);
}

TEST_F(ProxyTest, EndsTheWorkOfACallerWhoLeaves) {
  TestNode* serving = AddNode("booking", "d1");
  TestNode* ingress = AddNode("depot", "d1");
  Publish();
  serving->backend->work = seconds(10);
  asio::ip::tcp::socket socket(loop_);
  socket.connect(ParseEndpoint(ingress->settings.caller_listen).value());
  const std::string head =
      "GET /open/a HTTP/1.1\r\nHost: mesh\r\nTest-Id: gone\r\n\r\n";
  asio::write(socket, asio::buffer(head));
  ASSERT_TRUE(RunUntil([&] { return !serving->backend->ran.empty(); }));
  socket.close();
  EXPECT_TRUE(RunUntil([&] { return serving->backend->left_early == 1; }));
}

// Downloads held the gate's places until their readers had taken them, and
// all other calls were refused at an idle server (qcr-muscat, scale-1).
TEST_F(ProxyTest, SlowReadersOccupyNoPlaceAtTheGate) {
  TestNode* node = AddNode("booking", "d1");
  Publish();
  node->backend->misbehave = [](ServerExchange* exchange) -> Task<bool> {
    if (exchange->request().target != "/open/long") co_return false;
    HttpFields fields;
    fields.push_back({"Test-Signature", "s"});
    fields.push_back(
        {"Test-Id", *FindField(exchange->request().fields, "Test-Id")});
    const std::string body(64U << 20, 'x');
    co_await exchange->SendResponse(200, std::move(fields), body);
    co_return true;
  };
  constexpr std::size_t kSlots = 4;
  std::vector<asio::ip::tcp::socket> readers;
  for (std::size_t i = 0; i < kSlots; ++i) {
    readers.emplace_back(loop_);
    readers.back().connect(ParseEndpoint(node->settings.caller_listen).value());
    const std::string head =
        "GET /open/long HTTP/1.1\r\nHost: mesh\r\nTest-Id: long-" +
        std::to_string(i) + "\r\n\r\n";
    asio::write(readers.back(), asio::buffer(head));
  }
  ASSERT_TRUE(RunUntil([&] { return node->backend->ran.size() == kSlots; }));
  ASSERT_TRUE(RunUntil([&] {
    return std::all_of(readers.begin(), readers.end(),
                       [](auto& reader) { return reader.available() > 0; });
  }));
  EXPECT_EQ(Ask(node, "GET", "/open/short").status, 200);
}

// Callers who go on sending to a node that stops lost their answers when the
// process ended (qcr-muscat, mix seed 793613165300).
TEST_F(ProxyTest, RefusesCallersLateInAStop) {
  TestNode* node = AddNode("booking", "d1");
  config_.routes.front().timeout = milliseconds(0);
  Publish();
  node->backend->work = seconds(5);
  asio::ip::tcp::socket socket(loop_);
  socket.connect(ParseEndpoint(node->settings.caller_listen).value());
  const std::string head =
      "GET /open/a HTTP/1.1\r\nHost: mesh\r\nTest-Id: long\r\n\r\n";
  asio::write(socket, asio::buffer(head));
  ASSERT_TRUE(RunUntil([&] { return !node->backend->ran.empty(); }));
  node->proxy->Stop();
  RunFor(node->settings.stop_grace / 2 + milliseconds(200));
  const TestAnswer answer = Ask(node, "GET", "/open/b");
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(answer.body, "stopping\n");
  EXPECT_EQ(node->backend->ran.size(), 1U);
}

TEST_F(ProxyTest, RefusesWhatTwoParsersCouldReadDifferently) {
  TestNode* node = AddNode("booking", "d1");
  Publish();
  const std::string start = "POST /open/a HTTP/1.1\r\nTest-Id: x\r\n";
  const std::vector<std::string> requests = {
      start +
          "Host: mesh\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
      start +
          "Host: mesh\r\nContent-Length: 3\r\nTransfer-Encoding: "
          "chunked\r\n\r\n0\r\n\r\nGET /open/b HTTP/1.1\r\n\r\n",
      start + "Host: mesh\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      start + "Host : mesh\r\n\r\n",
      start + "Host: mesh\nContent-Length: 0\r\n\r\n",
      start + "Content-Length: 0\r\n\r\n",
      start + "Host: mesh\r\nHost: other\r\nContent-Length: 0\r\n\r\n",
      start + "Host: mesh\r\nContent-Length: 3x\r\n\r\nabc"};
  for (const std::string& request : requests) {
    const std::string answer = AskRaw(node, request);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << request << answer;
    EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
  }
  EXPECT_TRUE(node->backend->ran.empty());
}

// All nodes read the new configuration from the three that watched, and their
// links were full for a second (tregor-caisses-grown, quiet-1).
TEST_F(ProxyTest, WhatOneNodeReadsSpreadsToAll) {
  for (int i = 0; i < 8; ++i) AddNode("booking", i % 2 == 0 ? "d1" : "d2");
  Publish();
  MeshRoute route = config_.routes.front();
  route.name = "added";
  route.prefix = "/added/";
  config_.routes.push_back(route);
  config_.version = {++revision_, revision_};
  // A long value, which travels compressed.
  const std::string value =
      std::to_string(revision_) + std::string(300U << 10, ' ');
  decoder_.configurations[value] = config_;
  RegistryBatch batch;
  batch.revision = revision_;
  batch.items.push_back({"config", value, revision_, false, false, ""});
  nodes_.front()->proxy->registry()->Apply(batch, "test");
  EXPECT_TRUE(RunUntil([this] {
    return std::all_of(nodes_.begin(), nodes_.end(), [this](const auto& node) {
      return node->proxy->registry()->revision() == revision_;
    });
  }));
  for (const auto& node : nodes_) {
    EXPECT_EQ(Ask(node.get(), "GET", "/added/a").status, 200);
  }
}

// A node that was stopped took calls of peers until its process ended, and
// their answers were cut (tregor-caisses, trouble-3 seed 624325899587).
TEST_F(ProxyTest, PeersSendNothingToANodeLateInAStop) {
  TestNode* leaving = AddNode("booking", "d1");
  TestNode* staying = AddNode("booking", "d1");
  TestNode* ingress = AddNode("depot", "d1");
  config_.routes.front().timeout = milliseconds(0);
  Publish();
  leaving->backend->work = seconds(5);
  asio::ip::tcp::socket socket(loop_);
  socket.connect(ParseEndpoint(leaving->settings.caller_listen).value());
  const std::string head =
      "GET /open/a HTTP/1.1\r\nHost: mesh\r\nTest-Id: long\r\n\r\n";
  asio::write(socket, asio::buffer(head));
  ASSERT_TRUE(RunUntil([&] { return !leaving->backend->ran.empty(); }));
  leaving->proxy->Stop();
  RunFor(milliseconds(300));
  constexpr std::size_t kCalls = 20;
  for (std::size_t i = 0; i < kCalls; ++i) {
    EXPECT_EQ(Ask(ingress, "POST", "/once/a", {}, "x").status, 200);
  }
  EXPECT_EQ(staying->backend->ran.size(), kCalls);
  // One that does not know yet is told.
  RunFor(leaving->settings.stop_grace / 2);
  MeshCall call;
  call.id = "late";
  call.service = "booking";
  call.instance = leaving->backend->instance;
  call.request.method = "POST";
  call.request.target = "/once/late";
  call.deadline = BootClock::now() + seconds(1);
  call.start_deadline = call.deadline;
  const HttpRequest hop = MakeHopRequest(call, BootClock::now());
  asio::ip::tcp::socket peer(loop_);
  peer.connect(ParseEndpoint(leaving->settings.peer_listen).value());
  HttpRequest sent = hop;
  sent.fields.push_back({"Host", "mesh"});
  asio::write(peer, asio::buffer(SerializeRequestHead(sent)));
  ASSERT_TRUE(RunUntil([&] { return peer.available() > 0; }));
  std::string answer(peer.available(), '\0');
  asio::read(peer, asio::buffer(answer));
  EXPECT_NE(answer.find("stopping"), std::string::npos) << answer;
  EXPECT_EQ(leaving->backend->ran.size(), 1U);
}

// With all watchers killed, a node took the store for away and kept a server
// whose entry had been removed for two seconds (tregor-caisses, trouble-3 seed
// 624325899587).
TEST_F(ProxyTest, ARemovedServerIsKeptOnlyIfTheStoreWasAway) {
  TestNode* node = AddNode("booking", "d1");
  Publish();
  EXPECT_EQ(Ask(node, "GET", "/open/a").status, 200);
  RegistryBatch batch;
  batch.revision = ++revision_;
  batch.items.push_back({"i-1", "", revision_, true, false, ""});
  node->proxy->registry()->Apply(batch, "test");
  RunFor(milliseconds(50));
  EXPECT_EQ(Ask(node, "GET", "/open/a").status, 503);
  Publish();
  node->proxy->registry()->OnStoreUnavailable();
  RunFor(milliseconds(300));
  batch.revision = ++revision_;
  batch.items.front().revision = revision_;
  node->proxy->registry()->Apply(batch, "test");
  RunFor(milliseconds(50));
  EXPECT_EQ(Ask(node, "GET", "/open/a").status, 200);
}

// Each refused call cost a new connection to the server
// (tregor-caisses-grown, scale-1: 17,000 in 32 s).
TEST_F(ProxyTest, AServerThatRefusesKeepsItsConnections) {
  TestNode* node = AddNode("booking", "d1");
  Publish();
  node->backend->misbehave = [](ServerExchange* exchange) -> Task<bool> {
    HttpFields fields;
    fields.push_back({"Test-Not-Run", "1"});
    fields.push_back(
        {"Test-Id", *FindField(exchange->request().fields, "Test-Id")});
    co_await exchange->SendResponse(503, std::move(fields), "full\n");
    co_return true;
  };
  constexpr std::size_t kCalls = 10;
  const std::size_t before = node->backend_server->accepted();
  for (std::size_t i = 0; i < kCalls; ++i) {
    EXPECT_EQ(Ask(node, "POST", "/once/a", {}, "x").status, 503);
  }
  EXPECT_EQ(node->backend->ran.size(), kCalls);
  EXPECT_EQ(node->backend_server->accepted() - before, 1U);
}

TEST_F(ProxyTest, TakesServersOutThatDrainOrAreOut) {
  TestNode* node = AddNode("booking", "d1");
  Publish();
  RegistryBatch batch;
  batch.revision = ++revision_;
  batch.items.push_back({"out/d1", "", revision_, false, false});
  node->proxy->registry()->Apply(batch, "test");
  RunFor(milliseconds(50));
  EXPECT_EQ(Ask(node, "GET", "/open/a").status, 503);
  EXPECT_TRUE(node->backend->ran.empty());
}

}  // namespace
}  // namespace wisteriarill
