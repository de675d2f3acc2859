#include "wisteriarill/mesh/http_client.h"

#include <gtest/gtest.h>

#include <functional>
#include <utility>

#include "mesh_fixture.h"
#include "never_destroyed.h"
#include "wisteriarill/mesh/peer_table.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kLongResponseBytes = 4U << 20;
constexpr std::size_t kPieceBytes = 64U << 10;

class LongResponseHandler : public RequestHandler {
 public:
  Task<void> Handle(ServerExchange* exchange) override {
    const std::string body(kLongResponseBytes, 'x');
    co_await exchange->SendResponse(200, HttpFields(), body);
  }
};

struct ReadCount {
  std::size_t bytes = 0;
  std::size_t reads = 0;
  bool done = false;
};

Task<void> ReadResponse(ClientConnection* connection, ReadCount* count) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  request.fields.push_back({"Host", "mesh"});
  const Status connected = co_await connection->Connect(seconds(5));
  EXPECT_TRUE(connected);
  const Status sent = co_await connection->Send(SerializeRequestHead(request),
                                                &request.body, seconds(5));
  EXPECT_TRUE(sent);
  const auto head = co_await connection->ReadHead(seconds(5));
  EXPECT_TRUE(head);
  std::string piece(kPieceBytes, '\0');
  // Wait until the server has filled the socket buffers, so that reads find
  // whole pieces.
  co_await SleepFor(milliseconds(50));
  for (;;) {
    const auto read =
        co_await connection->ReadBody(piece.data(), piece.size(), seconds(5));
    if (!read || read.value() == 0) break;
    count->bytes += read.value();
    ++count->reads;
    if (count->bytes < kLongResponseBytes) co_await SleepFor(milliseconds(1));
  }
  count->done = true;
}

// Reading a long response in pieces of a few hundred bytes would cost a node
// most of its CPU time.
TEST(HttpClientTest, ReadsALongResponseInLargePieces) {
  // These are never destroyed, because pending handlers refer to them.
  auto* const loop = MakeNeverDestroyed<asio::io_context>(1);
  auto* const handler = MakeNeverDestroyed<LongResponseHandler>();
  auto* const server = MakeNeverDestroyed<HttpServer>(
      loop, handler, [] { return CallerLimits(); });
  ASSERT_TRUE(server->Listen("127.0.7.100:0"));
  auto* const connection = MakeNeverDestroyed<ClientConnection>(
      loop,
      ParseEndpoint("127.0.7.100:" + std::to_string(server->port())).value());
  ReadCount count;
  asio::co_spawn(*loop, ReadResponse(connection, &count), asio::detached);
  const Instant until = BootClock::now() + seconds(20);
  while (!count.done && BootClock::now() < until) {
    loop->run_one_for(milliseconds(5));
  }
  EXPECT_EQ(count.bytes, kLongResponseBytes);
  constexpr std::size_t kMinMeanPiece = 16U << 10;
  EXPECT_LE(count.reads, kLongResponseBytes / kMinMeanPiece);
}

/// Returns a call whose peer has had the request since `sent`.
PeerCall WaitingCall(
    Instant sent, std::function<bool()> take_retry = [] { return true; }) {
  return {PeerCall::Phase::kWaiting, sent, std::move(take_retry)};
}

// Datagrams are lost on a saturated link. Received bytes must count as a sign
// of life, or downloads are closed midway although their bytes arrive.
TEST(PeerTableTest, StartedResponsesGetMoreTime) {
  auto* const loop = MakeNeverDestroyed<asio::io_context>(1);
  auto* const handler = MakeNeverDestroyed<LongResponseHandler>();
  auto* const server = MakeNeverDestroyed<HttpServer>(
      loop, handler, [] { return CallerLimits(); });
  ASSERT_TRUE(server->Listen("127.0.7.101:0"));
  const auto remote =
      ParseEndpoint("127.0.7.101:" + std::to_string(server->port())).value();
  auto* const reading = MakeNeverDestroyed<ClientConnection>(loop, remote);
  auto* const unanswered = MakeNeverDestroyed<ClientConnection>(loop, remote);
  ReadCount count;
  asio::co_spawn(*loop, ReadResponse(reading, &count), asio::detached);
  const Instant until = BootClock::now() + seconds(20);
  while (count.reads == 0 && BootClock::now() < until) {
    loop->run_one_for(milliseconds(5));
  }
  ASSERT_TRUE(reading->has_response_bytes());
  PeerTable table(loop, "127.0.7.1", 1);
  const Instant read = reading->last_read();
  table.OnStatus("127.0.7.101", PeerStatus(), read - seconds(5));
  Peer* const peer = table.Find("127.0.7.101");
  peer->OnProbeSent(read - seconds(4));
  const PeerCall call = WaitingCall(read - seconds(4));
  peer->calls = {{reading, call}, {unanswered, call}};
  table.OnTick(read + milliseconds(600));
  EXPECT_FALSE(unanswered->closed()) << "bytes are a sign of life";
  table.OnTick(read + milliseconds(800));
  EXPECT_TRUE(unanswered->closed());
  EXPECT_FALSE(reading->closed());
  table.OnTick(read + milliseconds(2200));
  EXPECT_TRUE(reading->closed());
}

// A peer that nobody has asked is not silent, whatever the time since it was
// heard from. Its running calls must not be sent elsewhere.
TEST(PeerTableTest, OnlyAnUnansweredProbeMakesAPeerSilent) {
  auto* const loop = MakeNeverDestroyed<asio::io_context>(1);
  PeerTable table(loop, "127.0.7.1", 1);
  const Instant start{seconds(1000)};
  table.OnStatus("127.0.7.2", PeerStatus(), start);
  Peer* const peer = table.Find("127.0.7.2");
  EXPECT_TRUE(peer->IsReachable(start + seconds(60)));
  EXPECT_FALSE(peer->IsSilent(start + seconds(60), kPeerTimeout));
  const Instant probed = start + seconds(61);
  peer->OnProbeSent(probed);
  EXPECT_TRUE(peer->IsReachable(probed + kSuspectTimeout / 2));
  EXPECT_FALSE(peer->IsReachable(probed + kSuspectTimeout));
  EXPECT_TRUE(peer->IsSilent(probed + kPeerTimeout, kPeerTimeout));
  EXPECT_TRUE(peer->IsReachable(probed + seconds(2))) << "it is tried again";
  table.OnHeard("127.0.7.2", probed + seconds(2));
  EXPECT_FALSE(peer->IsSilent(probed + seconds(9), kPeerTimeout));
}

TEST(PeerTableTest, AProbeLostBeforeACallDoesNotEndTheCall) {
  auto* const loop = MakeNeverDestroyed<asio::io_context>(1);
  PeerTable table(loop, "127.0.7.1", 1);
  const Instant start{seconds(1000)};
  table.OnStatus("127.0.7.2", PeerStatus(), start);
  Peer* const peer = table.Find("127.0.7.2");
  peer->OnProbeSent(start);
  auto* const call =
      MakeNeverDestroyed<ClientConnection>(loop, asio::ip::tcp::endpoint());
  const Instant sent = start + seconds(2);
  peer->calls[call] = WaitingCall(sent);
  peer->OnProbeSent(sent);
  table.OnTick(sent + milliseconds(20));
  EXPECT_FALSE(call->closed());
  table.OnTick(sent + kPeerTimeout - milliseconds(1));
  EXPECT_FALSE(call->closed());
  table.OnTick(sent + kPeerTimeout);
  EXPECT_TRUE(call->closed());
}

// Calls sent to it were reset when it ended.
TEST(PeerTableTest, ALeavingPeerGetsNoCallsUntilItIsBack) {
  auto* const loop = MakeNeverDestroyed<asio::io_context>(1);
  PeerTable table(loop, "127.0.7.1", 1);
  const Instant start{seconds(1000)};
  PeerStatus status;
  status.leaving = true;
  table.OnStatus("127.0.7.2", status, start);
  Peer* const peer = table.Find("127.0.7.2");
  EXPECT_FALSE(peer->ShouldAskWhetherBack(start + milliseconds(100)));
  const Instant later = start + seconds(3);
  EXPECT_FALSE(peer->IsReachable(later));
  EXPECT_TRUE(peer->ShouldAskWhetherBack(later));
  peer->OnProbeSent(later);
  EXPECT_FALSE(peer->ShouldAskWhetherBack(later + milliseconds(100)));
  EXPECT_TRUE(peer->ShouldAskWhetherBack(later + milliseconds(500)));
  EXPECT_FALSE(peer->IsReachable(later + seconds(5)));
  status.leaving = false;
  table.OnStatus("127.0.7.2", status, later + seconds(5));
  EXPECT_TRUE(peer->IsReachable(later + seconds(5)));
}

// The coroutine of an ended call still refers to the peer.
TEST(PeerTableTest, APeerOutlivesTheCallsThatAreBeingEnded) {
  auto* const loop = MakeNeverDestroyed<asio::io_context>(1);
  PeerTable table(loop, "127.0.7.1", 1);
  const Instant start{seconds(1000)};
  table.OnStatus("127.0.7.2", PeerStatus(), start);
  Peer* const peer = table.Find("127.0.7.2");
  peer->OnProbeSent(start);
  int retries = 0;
  auto* const call =
      MakeNeverDestroyed<ClientConnection>(loop, asio::ip::tcp::endpoint());
  peer->calls[call] = WaitingCall(start, [&retries] { return ++retries > 0; });
  const Instant late = start + seconds(60);
  table.OnTick(late);
  EXPECT_TRUE(call->closed());
  table.OnMembership(Membership(), late);
  ASSERT_EQ(table.Find("127.0.7.2"), peer);
  table.OnTick(late + seconds(1));
  EXPECT_EQ(retries, 1) << "a retry is taken once";
  peer->calls.erase(call);
  table.OnMembership(Membership(), late);
  EXPECT_EQ(table.Find("127.0.7.2"), nullptr);
}

// A long body was still being sent, or the connection was just being made.
TEST(PeerTableTest, ACallIsNotSilentBeforeItIsSent) {
  auto* const loop = MakeNeverDestroyed<asio::io_context>(1);
  PeerTable table(loop, "127.0.7.1", 1);
  const Instant start{seconds(1000)};
  table.OnStatus("127.0.7.2", PeerStatus(), start);
  Peer* const peer = table.Find("127.0.7.2");
  peer->OnProbeSent(start);
  auto* const sending =
      MakeNeverDestroyed<ClientConnection>(loop, asio::ip::tcp::endpoint());
  auto* const connecting =
      MakeNeverDestroyed<ClientConnection>(loop, asio::ip::tcp::endpoint());
  const Instant now = start + seconds(5);
  peer->calls[sending] = {PeerCall::Phase::kSending, start,
                          [] { return true; }};
  peer->calls[connecting] = {PeerCall::Phase::kConnecting, now, nullptr};
  table.OnTick(now + milliseconds(10));
  EXPECT_FALSE(sending->closed());
  EXPECT_FALSE(connecting->closed());
  table.OnTick(now + kSuspectTimeout);
  EXPECT_FALSE(sending->closed());
  EXPECT_TRUE(connecting->closed());
}

TEST(PeerTableTest, AnOwnStallIsNoWaitOfACall) {
  auto* const loop = MakeNeverDestroyed<asio::io_context>(1);
  PeerTable table(loop, "127.0.7.1", 1);
  const Instant start{seconds(1000)};
  table.OnStatus("127.0.7.2", PeerStatus(), start);
  Peer* const peer = table.Find("127.0.7.2");
  peer->OnProbeSent(start - seconds(9));
  auto* const call =
      MakeNeverDestroyed<ClientConnection>(loop, asio::ip::tcp::endpoint());
  peer->calls[call] = WaitingCall(start);
  table.OnStall(seconds(3), start + seconds(3));
  table.OnTick(start + seconds(3));
  EXPECT_FALSE(call->closed());
  table.OnTick(start + seconds(3) + kPeerTimeout);
  EXPECT_TRUE(call->closed());
}

TEST(PeerTableTest, ACallThatTakesNoRetryIsNotEnded) {
  auto* const loop = MakeNeverDestroyed<asio::io_context>(1);
  PeerTable table(loop, "127.0.7.1", 1);
  const Instant start{seconds(1000)};
  table.OnStatus("127.0.7.2", PeerStatus(), start);
  Peer* const peer = table.Find("127.0.7.2");
  peer->OnProbeSent(start);
  int retries_left = 1;
  const auto take_retry = [&retries_left] { return retries_left-- > 0; };
  std::vector<ClientConnection*> calls;
  for (int i = 0; i < 2; ++i) {
    calls.push_back(
        MakeNeverDestroyed<ClientConnection>(loop, asio::ip::tcp::endpoint()));
    peer->calls[calls.back()] = WaitingCall(start, take_retry);
  }
  table.OnTick(start + kPeerTimeout);
  EXPECT_NE(calls[0]->closed(), calls[1]->closed()) << "one retry was left";
}

}  // namespace
}  // namespace wisteriarill
