#include <thread>

#include "mesh_fixture.h"
#include "never_destroyed.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kPeers = 8;

/// One node's table of peers and its datagrams, and sockets that stand for the
/// peers. A retryable call is in progress at each peer.
class OwnStallTest : public ::testing::Test {
 protected:
  OwnStallTest() {
    settings_->ip = "127.0.7.201";
    settings_->name = "node";
    OpenPeerSockets();
    service_ = MakeNeverDestroyed<PeerDatagramService>(
        loop_, *settings_, table_,
        PeerDatagramService::Callbacks{
            [] { return PeerStatus(); },
            [](const std::string&, const PeerStatus&) {},
            [](const std::string&, const RegistryDelta&) {}},
        metrics_);
    EXPECT_TRUE(service_->Start());
    for (const asio::ip::udp::socket& socket : sockets_) {
      const std::string ip = socket.local_endpoint().address().to_string();
      table_->OnHeard(ip, BootClock::now());
      calls_.push_back(MakeNeverDestroyed<ClientConnection>(
          loop_, asio::ip::tcp::endpoint()));
      table_->Find(ip)->calls[calls_.back()] = {PeerCall::Phase::kWaiting,
                                                BootClock::now() - seconds(10),
                                                [] { return true; }};
    }
  }
  ~OwnStallTest() override { loop_->stop(); }

  void OpenPeerSockets() {
    for (std::size_t i = 0; i < kPeers; ++i) {
      const asio::ip::udp::endpoint endpoint(
          asio::ip::make_address_v4("127.0.7." + std::to_string(202 + i)),
          settings_->beat_port);
      sockets_.emplace_back(*loop_, endpoint);
      settings_->beat_port = sockets_.back().local_endpoint().port();
    }
  }

  bool AllProbed() {
    return std::all_of(
        sockets_.begin(), sockets_.end(),
        [](const asio::ip::udp::socket& peer) { return peer.available() > 0; });
  }

  void Run(milliseconds time) {
    const Instant until = BootClock::now() + time;
    while (BootClock::now() < until) loop_->run_one_for(milliseconds(1));
  }

  void RunUntilAllAreProbed() {
    const Instant until = BootClock::now() + seconds(5);
    while (!AllProbed() && BootClock::now() < until)
      loop_->run_one_for(milliseconds(1));
    ASSERT_TRUE(AllProbed());
  }

  std::size_t CountEndedCalls() const {
    return std::count_if(
        calls_.begin(), calls_.end(),
        [](const ClientConnection* call) { return call->closed(); });
  }

  // Never destroyed, because pending handlers of the event loop refer to them.
  asio::io_context* const loop_ = MakeNeverDestroyed<asio::io_context>(1);
  ProxySettings* const settings_ = MakeNeverDestroyed<ProxySettings>();
  PeerTable* const table_ =
      MakeNeverDestroyed<PeerTable>(loop_, "127.0.7.201", 1);
  Metrics* const metrics_ = MakeNeverDestroyed<Metrics>();
  PeerDatagramService* service_ = nullptr;
  std::vector<asio::ip::udp::socket> sockets_;
  std::vector<ClientConnection*> calls_;
};

// While a node is frozen, its peers' replies wait unread. The time that it
// didn't run is no silence of theirs, so their running calls must not be ended
// and run again elsewhere.
TEST_F(OwnStallTest, RepliesThatWaitedDuringAStallAreNoSilence) {
  RunUntilAllAreProbed();
  for (asio::ip::udp::socket& peer : sockets_) {
    const asio::ip::udp::endpoint node(asio::ip::make_address_v4(settings_->ip),
                                       settings_->beat_port);
    peer.send_to(asio::buffer(EncodeDatagram(PeerStatus())), node);
  }
  std::this_thread::sleep_for(milliseconds(1500));
  Run(milliseconds(50));
  EXPECT_EQ(CountEndedCalls(), 0U);
}

TEST_F(OwnStallTest, SilentPeersAreStillFoundAfterAStall) {
  RunUntilAllAreProbed();
  std::this_thread::sleep_for(milliseconds(1500));
  const Instant until = BootClock::now() + seconds(5);
  while (CountEndedCalls() < kPeers && BootClock::now() < until) {
    Run(milliseconds(10));
  }
  EXPECT_EQ(CountEndedCalls(), kPeers);
}

}  // namespace
}  // namespace wisteriarill
