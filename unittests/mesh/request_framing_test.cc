/// \file
/// Requests whose framing is not known.
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "mesh_fixture.h"

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

}  // namespace
}  // namespace wisteriarill
