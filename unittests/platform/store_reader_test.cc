#include "store_reader.h"

#include <gtest/gtest.h>

#include <msgpack.hpp>

#include "../mesh/never_destroyed.h"
#include "item_decoder.h"
#include "wisteriarill/mesh/http_server.h"

namespace wisteriarill::platform {
namespace {

// A store with an empty list that does not answer a watch within the test.
class UnresponsiveWatchStore : public RequestHandler {
 public:
  Task<void> Handle(ServerExchange* exchange) override {
    if (exchange->request().target.starts_with("/-/kv-watch")) {
      ++watch_requests;
      co_await SleepFor(seconds(60));
    }
    ++list_requests;
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_map(2);
    packer.pack("At");
    packer.pack(std::uint64_t{7});
    packer.pack("HasMore");
    packer.pack(false);
    const std::string body(buffer.data(), buffer.size());
    co_await exchange->SendResponse(200, HttpFields(), body);
  }

  int list_requests = 0;
  int watch_requests = 0;
};

// A watch must time out soon after the store becomes unresponsive. Otherwise
// watches wait up to 26 seconds, long after the store is back.
TEST(StoreReaderTest, TimesOutUnansweredWatchWithinSeconds) {
  // Never destroyed, because pending handlers of the event loop refer to them.
  auto* const loop = MakeNeverDestroyed<asio::io_context>(1);
  auto* const store = MakeNeverDestroyed<UnresponsiveWatchStore>();
  auto* const server = MakeNeverDestroyed<HttpServer>(
      loop, store, [] { return CallerLimits(); });
  ASSERT_TRUE(server->Listen("127.0.7.102:0"));
  auto* const decoder = MakeNeverDestroyed<PlatformItemDecoder>();
  auto* const registry =
      MakeNeverDestroyed<RegistrySynchronizer>(decoder, [] {});
  const auto address =
      ParseEndpoint("127.0.7.102:" + std::to_string(server->port())).value();
  auto* const reader =
      MakeNeverDestroyed<StoreReader>(loop, address, registry, 1);
  asio::co_spawn(*loop, reader->Run(), asio::detached);
  // Nodes have three seconds to recover from a fault; then bounds of two
  // seconds apply again.
  const Instant until = BootClock::now() + seconds(5);
  while (store->list_requests < 2 && BootClock::now() < until) {
    loop->run_one_for(milliseconds(5));
  }
  EXPECT_GE(store->watch_requests, 1);
  EXPECT_GE(store->list_requests, 2)
      << "the unanswered watch was not abandoned";
  EXPECT_EQ(registry->revision(), 7U);
}

}  // namespace
}  // namespace wisteriarill::platform
