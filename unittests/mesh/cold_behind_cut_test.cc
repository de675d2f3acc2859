// A server that becomes cold while its node hears nothing of the registry.
#include <boost/asio/write.hpp>
#include <vector>

#include "mesh_fixture.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kColdRate = 10;

class ColdBehindCutTest : public MeshFixture {
 protected:
  ColdBehindCutTest() {
    config_.services[0].cold_rate = kColdRate;
    node_ = AddNode("booking", "d1");
    Publish();
  }

  void StartCall(int number) {
    clients_.emplace_back(loop_);
    clients_.back().connect(
        ParseEndpoint(node_->settings.caller_listen).value());
    asio::write(clients_.back(),
                asio::buffer("GET /open/a HTTP/1.1\r\nHost: mesh\r\nTest-Id: " +
                             std::to_string(number) +
                             "\r\nTest-Deadline: 3000\r\n\r\n"));
  }

  TestNode* node_ = nullptr;
  std::vector<asio::ip::tcp::socket> clients_;
};

// Guards against full load on a server that has become cold unnoticed.
TEST_F(ColdBehindCutTest, TheNodeAsksTheServerItself) {
  EXPECT_EQ(SendRequest(node_, "GET", "/open/a").status, 200);
  RunFor(milliseconds(2500));
  node_->backend->cold_remaining_ms = 5000;
  RunFor(milliseconds(600));
  node_->backend->executed.clear();
  const Instant began = BootClock::now();
  for (int i = 0; i < 60; ++i) {
    StartCall(i);
    RunFor(milliseconds(15));
  }
  // A slow machine takes more than one second for the calls.
  const auto seconds_begun = static_cast<std::size_t>(
      1 + std::chrono::floor<seconds>(BootClock::now() - began).count());
  EXPECT_LE(node_->backend->executed.size(), kColdRate * seconds_begun);
  EXPECT_GE(node_->backend->executed.size(), kColdRate / 2);
}

}  // namespace
}  // namespace wisteriarill
