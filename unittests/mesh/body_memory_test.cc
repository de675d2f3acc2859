#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <vector>

#include "mesh_fixture.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kMebibyte = 1U << 20;

/// A request that is being sent, and its response.
struct Upload {
  std::string bytes;
  std::string status_line;  ///< Empty if the connection ended without any.
  bool done = false;
};

/// A node with 8 MiB for request bodies.
class BodyMemoryTest : public MeshFixture {
 protected:
  BodyMemoryTest() {
    memory_mb_ = 32;
    node_ = AddNode("booking", "d1");
    Publish();
  }

  std::shared_ptr<Upload> Start(std::string framing_and_body) {
    auto upload = std::make_shared<Upload>();
    upload->bytes =
        "POST /once/a HTTP/1.1\r\nHost: mesh\r\nTest-Id: upload\r\n" +
        std::move(framing_and_body);
    asio::co_spawn(
        loop_,
        Run(&loop_, ParseEndpoint(node_->settings.caller_listen).value(),
            upload),
        asio::detached);
    return upload;
  }

  static Task<void> Run(asio::io_context* loop, asio::ip::tcp::endpoint to,
                        std::shared_ptr<Upload> upload) {
    asio::ip::tcp::socket socket(*loop);
    error_code error;
    co_await socket.async_connect(
        to, asio::redirect_error(asio::use_awaitable, error));
    co_await asio::async_write(
        socket, asio::buffer(upload->bytes),
        asio::redirect_error(asio::use_awaitable, error));
    // The node may refuse the request before it has read all of it.
    std::array<char, 12> status_line{};
    const std::size_t read = co_await asio::async_read(
        socket, asio::buffer(status_line),
        asio::redirect_error(asio::use_awaitable, error));
    upload->status_line.assign(status_line.data(), read);
    upload->done = true;
  }

  static std::string WithLength(std::size_t size) {
    return "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
           std::string(size, 'b');
  }

  TestNode* node_ = nullptr;
};

// Without a bound, a few long bodies at once end the process of a VM with
// little memory.
TEST_F(BodyMemoryTest, BodiesBeyondTheMemoryAreRefused) {
  node_->backend->processing_time = milliseconds(1500);
  std::vector<std::shared_ptr<Upload>> uploads;
  for (int i = 0; i < 6; ++i) {
    uploads.push_back(Start(WithLength(3 * kMebibyte)));
    RunFor(milliseconds(20));
  }
  for (const auto& upload : uploads) {
    ASSERT_TRUE(RunUntil([&upload] { return upload->done; }));
  }
  const auto served = std::count_if(
      uploads.begin(), uploads.end(),
      [](const auto& upload) { return upload->status_line == "HTTP/1.1 200"; });
  EXPECT_EQ(served, 2);
  EXPECT_EQ(node_->backend->executed.size(), 2U);
  EXPECT_EQ(uploads.back()->status_line, "HTTP/1.1 503");
}

TEST_F(BodyMemoryTest, MemoryIsGivenBack) {
  for (int i = 0; i < 4; ++i) {
    const auto upload = Start(WithLength(6 * kMebibyte));
    ASSERT_TRUE(RunUntil([&upload] { return upload->done; }));
    EXPECT_EQ(upload->status_line, "HTTP/1.1 200") << "request " << i;
  }
}

TEST_F(BodyMemoryTest, ChunkedBodiesCount) {
  std::string chunks = "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 9; ++i) {
    chunks += "100000\r\n" + std::string(kMebibyte, 'c') + "\r\n";
  }
  const auto upload = Start(chunks + "0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&upload] { return upload->done; }));
  EXPECT_NE(upload->status_line, "HTTP/1.1 200");
  EXPECT_TRUE(node_->backend->executed.empty());
  EXPECT_EQ(SendRequest(node_, "GET", "/open/a").status, 200);
}

}  // namespace
}  // namespace wisteriarill
