// Overload in a mesh without workspaces, where no rates bound what callers ask
// for: nested calls go first, and what can't be served is refused at once.
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "mesh_fixture.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kSlots = 4;  // Slots of a server in MakeCompleteBatch.
constexpr milliseconds kRunTime{600};

class OverloadTest : public MeshFixture {
 protected:
  OverloadTest() {
    MeshRoute depot = config_.routes.front();
    depot.name = "depot";
    depot.prefix = "/depot/";
    depot.targets = {{"depot", 1}};
    config_.routes.push_back(depot);
    for (MeshRoute& route : config_.routes)
      route.latency_objective = milliseconds(3000);
  }

  /// Sends a request and doesn't wait for its response.
  void StartCall(TestNode* node, const std::string& target,
                 const std::string& id) {
    clients_.emplace_back(loop_);
    clients_.back().connect(
        ParseEndpoint(node->settings.caller_listen).value());
    asio::write(clients_.back(),
                asio::buffer("GET " + target +
                             " HTTP/1.1\r\nHost: mesh\r\nTest-Id: " + id +
                             "\r\nTest-Deadline: 5000\r\n\r\n"));
  }

  /// Starts a call in each slot of the server of `node`. The calls end one
  /// after the other.
  void FillSlots(TestNode* node) {
    node->backend->processing_time = kRunTime;
    for (std::size_t i = 0; i < kSlots; ++i) {
      StartCall(node, "/depot/running", "running-" + std::to_string(i));
      ASSERT_TRUE(
          RunUntil([&] { return node->backend->executed.size() == i + 1; }));
      RunFor(milliseconds(30));
    }
  }

  std::vector<asio::ip::tcp::socket> clients_;
};

// Guards against a nested call that queues behind callers' requests, while the
// server that made it holds a slot.
TEST_F(OverloadTest, NestedCallOfAnotherServiceStartsBeforeCallers) {
  TestNode* front = AddNode("booking", "d1");
  TestNode* depot = AddNode("depot", "d1");
  Publish();
  front->backend->processing_time = milliseconds(3000);
  StartCall(front, "/open/parent", "parent-0123456789");
  ASSERT_TRUE(RunUntil([&] { return front->backend->executed.size() == 1; }));
  FillSlots(depot);
  for (int i = 0; i < 3; ++i)
    StartCall(depot, "/depot/queued", "queued-" + std::to_string(i));
  RunFor(milliseconds(50));
  StartCall(front, "/depot/nested", "parent-0123456789.1");
  ASSERT_TRUE(
      RunUntil([&] { return depot->backend->executed.size() > kSlots; }));
  EXPECT_EQ(depot->backend->executed[kSlots].target, "/depot/nested");
}

// Guards against a call that waits in a queue, or tries servers in turn, though
// the nodes know that it can't start in time.
TEST_F(OverloadTest, RefusesAtOnceWhatCantStartInTime) {
  TestNode* ingress = AddNode("booking", "d1");
  TestNode* depot = AddNode("depot", "d1");
  Publish();
  // The nodes learn how long calls run.
  depot->backend->processing_time = kRunTime;
  SendRequest(ingress, "GET", "/depot/first");
  depot->backend->executed.clear();
  FillSlots(depot);
  for (std::size_t i = 0; i < 5 * kSlots; ++i)
    StartCall(depot, "/depot/queued", "queued-" + std::to_string(i));
  RunFor(milliseconds(100));
  const Instant began = BootClock::now();
  const TestResponse response = SendRequest(ingress, "GET", "/depot/late");
  EXPECT_EQ(response.status, 503);
  EXPECT_LT(BootClock::now() - began, milliseconds(150));
  EXPECT_NE(FindField(response.fields, "Retry-After"), nullptr);
}

class UploadTest : public MeshFixture {
 protected:
  UploadTest() {
    link_mbps_ = 1;
    MeshRoute upload = config_.routes.front();
    upload.name = "upload";
    upload.prefix = "/upload/";
    upload.idempotent = false;
    upload.upload = true;
    upload.latency_objective = milliseconds(1000);
    upload.targets = {{"depot", 1}};
    config_.routes.push_back(upload);
    ingress_ = AddNode("booking", "d1");
    depot_ = AddNode("depot", "d1");
    Publish();
  }

  TestNode* ingress_ = nullptr;
  TestNode* depot_ = nullptr;
};

TEST_F(UploadTest, BodyArrivesWholeAfterPermission) {
  const std::string body(40000, 'b');
  const TestResponse response =
      SendRequest(ingress_, "POST", "/upload/a", {}, body);
  EXPECT_EQ(response.status, 200);
  ASSERT_EQ(depot_->backend->executed.size(), 1U);
  EXPECT_EQ(depot_->backend->executed[0].body, body);
  EXPECT_EQ(FindField(depot_->backend->executed[0].fields, "Expect"), nullptr)
      << "the expectation concerns only the connection between the nodes";
}

// Guards against bodies that fill the receiving link, and against a refusal of
// one that has run.
TEST_F(UploadTest, BodyThatTheLinkHasNoRoomForIsRefusedUnsent) {
  const std::string body(80000, 'b');
  EXPECT_EQ(SendRequest(ingress_, "POST", "/upload/a", {}, body).status, 200);
  // The first body has reserved the link for 0.85 s.
  const Instant began = BootClock::now();
  const TestResponse refused =
      SendRequest(ingress_, "POST", "/upload/b", {}, body);
  EXPECT_EQ(refused.status, 503);
  EXPECT_LT(BootClock::now() - began, milliseconds(150));
  EXPECT_EQ(depot_->backend->executed.size(), 1U);
  // Short calls pass beside the bodies.
  EXPECT_EQ(SendRequest(ingress_, "POST", "/upload/c", {}, "short").status,
            200);
  RunFor(milliseconds(900));
  EXPECT_EQ(SendRequest(ingress_, "POST", "/upload/d", {}, body).status, 200);
}

}  // namespace
}  // namespace wisteriarill
