/// \file
/// Requests whose framing is not known.
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "mesh_fixture.h"
#include "wisteriarill/mesh/forwarded_call.h"

namespace wisteriarill {
namespace {

class RequestFramingTest : public MeshFixture {};

// The body of a request with a coding that isn't known was read as the next
// request.
TEST_F(RequestFramingTest, ABodyOfUnknownFramingIsNoRequest) {
  TestNode* node = AddNode("booking", "d1");
  Publish();
  for (const std::string& address :
       {node->settings.caller_listen, node->settings.peer_listen}) {
    for (const std::string coding :
         {"gzip", "chunked, gzip", "gzip, chunked"}) {
      asio::ip::tcp::socket socket(loop_);
      socket.connect(ParseEndpoint(address).value());
      asio::write(socket, asio::buffer("POST /once/a HTTP/1.1\r\nHost: mesh\r\n"
                                       "Test-Id: outer\r\n"
                                       "Transfer-Encoding: " +
                                       coding +
                                       "\r\n\r\n"
                                       "GET /open/inner HTTP/1.1\r\n"
                                       "Host: mesh\r\nTest-Id: inner\r\n\r\n"));
      ASSERT_TRUE(RunUntil([&] { return socket.available() > 0; }));
      RunFor(milliseconds(50));
      std::string response(socket.available(), '\0');
      asio::read(socket, asio::buffer(response));
      const bool refused = response.starts_with("HTTP/1.1 400") ||
                           response.starts_with("HTTP/1.1 501");
      EXPECT_TRUE(refused) << coding << ": " << response;
      EXPECT_EQ(response.find("HTTP/1.1", 1), std::string::npos) << response;
    }
  }
  EXPECT_TRUE(node->backend->executed.empty());
}

// A head within the published limit was refused by the peer that was to run the
// request, because of the fields that the ingress node had added.
TEST_F(RequestFramingTest, AHeadWithinTheLimitIsAcceptedThroughAPeer) {
  constexpr std::size_t kOtherBytes = 100;  // Request line and other fields.
  const std::size_t limit = config_.limits.max_header_bytes;
  TestNode* ingress = AddNode("depot", "d1");
  AddNode("booking", "d1");
  Publish();
  const HttpFields fields = {{"Long", std::string(limit - kOtherBytes, 'x')}};
  EXPECT_EQ(SendRequest(ingress, "GET", "/open/a", fields).status, 200);
  const HttpFields too_long = {{"Long", std::string(limit + 1, 'x')}};
  EXPECT_EQ(SendRequest(ingress, "GET", "/open/a", too_long).status, 431);
}

// A caller's request whose path is that of the nodes' own reads was answered
// with a peer's registry.
TEST_F(RequestFramingTest, ACallBelowTheNodesOwnPathIsRunAtItsServer) {
  MeshRoute route = config_.routes.front();
  route.name = "own-path";
  route.prefix = "/wisteria/mirror/";
  config_.routes.push_back(route);
  TestNode* ingress = AddNode("depot", "d1");
  TestNode* server = AddNode("booking", "d1");
  Publish();
  for (const std::string target :
       {"/wisteria/mirror/a", "/wisteria/mirror/?after=0"}) {
    const TestResponse response = SendRequest(ingress, "GET", target);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "from " + server->backend->instance);
  }
  EXPECT_EQ(server->backend->executed.size(), 2U);
}

TEST(PeerLimitsTest, LeaveRoomForTheFieldsOfACall) {
  MeshCall call;
  call.workspace = std::string(200, 'w');
  call.caller = call.service = call.route = call.instance = call.workspace;
  const std::size_t call_bytes =
      SerializeRequestHead(MakeForwardRequest(call, Instant())).size();
  for (const std::size_t published : {1000U, 16384U, 40000U}) {
    CallerLimits limits;
    limits.max_header_bytes = published;
    EXPECT_GE(PeerLimits(limits).max_header_bytes, published + call_bytes);
  }
}

}  // namespace
}  // namespace wisteriarill
