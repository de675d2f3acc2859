#include "store_reader.h"

#include <gtest/gtest.h>

#include <msgpack.hpp>

#include "../mesh/never_destroyed.h"
#include "item_decoder.h"
#include "wisteriarill/mesh/http_server.h"

namespace wisteriarill::platform {
namespace {

// A store with an empty list. It takes a watch and never answers it.
class SilentWatchStore : public RequestHandler {
 public:
  Task<void> Handle(ServerExchange* exchange) override {
    if (exchange->request().target.starts_with("/-/kv-watch")) {
      ++watches;
      co_await SleepFor(seconds(60));
    }
    ++lists;
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

  int lists = 0;
  int watches = 0;
};

// Watches waited up to 26 s on a store that had gone silent, long after it was
// back (qcr-muscat, store-away-key-taken seed 705783861026).
TEST(StoreReaderTest, LeavesASilentWatchWithinSeconds) {
  // These stay: handlers that wait in the loop refer to them.
  auto* const loop = MakeNeverDestroyed<asio::io_context>(1);
  auto* const store = MakeNeverDestroyed<SilentWatchStore>();
  auto* const server =
      MakeNeverDestroyed<HttpServer>(loop, store, [] { return CallerLimits(); });
  ASSERT_TRUE(server->Listen("127.0.7.102:0"));
  auto* const decoder = MakeNeverDestroyed<PlatformItemDecoder>();
  auto* const registry = MakeNeverDestroyed<RegistrySynchronizer>(decoder, [] {});
  const auto address =
      ParseEndpoint("127.0.7.102:" + std::to_string(server->port())).value();
  auto* const reader = MakeNeverDestroyed<StoreReader>(loop, address, registry, 1);
  asio::co_spawn(*loop, reader->Run(), asio::detached);
  // Nodes have three seconds after a fault before bounds of two hold again.
  const Instant until = BootClock::now() + seconds(5);
  while (store->lists < 2 && BootClock::now() < until) {
    loop->run_one_for(milliseconds(5));
  }
  EXPECT_GE(store->watches, 1);
  EXPECT_GE(store->lists, 2) << "the silent watch was not left";
  EXPECT_EQ(registry->revision(), 7U);
}

}  // namespace
}  // namespace wisteriarill::platform
