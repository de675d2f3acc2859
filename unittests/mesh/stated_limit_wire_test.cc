// What nodes tell each other of the limits that servers name.
#include <gtest/gtest.h>

#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/mesh/peer_datagram.h"

namespace wisteriarill {
namespace {

MeshCall MakeCall() {
  MeshCall call;
  call.id = "id";
  call.instance = "i-1";
  call.request.method = "GET";
  call.request.target = "/";
  return call;
}

TEST(StatedLimitWireTest, AForwardedCallBringsTheLimitBack) {
  MeshCall call = MakeCall();
  call.told_rate_limit = ToldRateLimit{7.9, milliseconds(1234)};
  call.waits_for_rate = true;
  HttpRequest request = MakeForwardRequest(call, Instant());
  const auto parsed = ParseForwardRequest(&request, Instant());
  ASSERT_TRUE(parsed);
  ASSERT_TRUE(parsed->told_rate_limit);
  EXPECT_DOUBLE_EQ(parsed->told_rate_limit->rate, 7.9);
  EXPECT_EQ(parsed->told_rate_limit->age, milliseconds(1234));
  EXPECT_TRUE(parsed->waits_for_rate);
  EXPECT_TRUE(parsed->request.fields.empty()) << "only nodes see these fields";
}

TEST(StatedLimitWireTest, ACallWithoutALimitBringsNone) {
  HttpRequest request = MakeForwardRequest(MakeCall(), Instant());
  const auto parsed = ParseForwardRequest(&request, Instant());
  ASSERT_TRUE(parsed);
  EXPECT_FALSE(parsed->told_rate_limit);
  EXPECT_FALSE(parsed->waits_for_rate);
}

TEST(StatedLimitWireTest, AStatusTellsTheWaitForTheRate) {
  PeerStatus status;
  status.load.rate_wait = milliseconds(250);
  status.load.rate_interval = milliseconds(100);
  const auto decoded = DecodeDatagram(EncodeDatagram(status));
  ASSERT_TRUE(decoded);
  const BackendLoad& load = std::get<PeerStatus>(*decoded).load;
  EXPECT_EQ(load.rate_wait, milliseconds(250));
  EXPECT_EQ(load.rate_interval, milliseconds(100));
}

}  // namespace
}  // namespace wisteriarill
