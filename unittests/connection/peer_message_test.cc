#include "wisteriarill/connection/peer_message.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace wisteriarill {
namespace {

constexpr std::size_t kPrefixSize = 4;

Result<PeerMessage> RoundTrip(const PeerMessage& message) {
  return DecodeFrameBody(EncodeFrame(message).substr(kPrefixSize));
}

CallStart MakeStart() {
  CallStart start;
  start.id = {InstanceId{7}, 9};
  start.service = "depot";
  start.remaining = milliseconds(250);
  start.headers = {{"Accept", "*/*"}};
  start.body = "body";
  return start;
}

TEST(PeerMessageTest, EncodesAndDecodesACall) {
  const Result<PeerMessage> decoded = RoundTrip(MakeStart());
  ASSERT_TRUE(decoded.has_value());
  const auto& start = std::get<CallStart>(decoded.value());
  EXPECT_EQ(start.id, (RequestId{InstanceId{7}, 9}));
  EXPECT_EQ(start.remaining, milliseconds(250));
  EXPECT_EQ(start.headers.front().value, "*/*");
}

TEST(PeerMessageTest, RejectsAnUnsupportedFormat) {
  std::string body = EncodeFrame(ResultAck{}).substr(kPrefixSize);
  body[0] = 99;
  const Result<PeerMessage> decoded = DecodeFrameBody(body);
  ASSERT_FALSE(decoded.has_value());
  EXPECT_EQ(decoded.error().kind, ErrorKind::kUnsupportedFormat);
}

TEST(FrameReaderTest, SplitsAStreamThatArrivesByteByByte) {
  const std::string stream =
      EncodeFrame(MakeStart()) + EncodeFrame(Heartbeat{3, true});
  FrameReader reader;
  int frames = 0;
  std::string body;
  for (const char byte : stream) {
    reader.Append(std::string_view(&byte, 1));
    while (reader.Next(&body).value()) ++frames;
  }
  EXPECT_EQ(frames, 2);
}

TEST(FrameReaderTest, RejectsAnOversizedFrame) {
  FrameReader reader;
  reader.Append("\xff\xff\xff\x7f");
  std::string body;
  const Result<bool> next = reader.Next(&body);
  ASSERT_FALSE(next.has_value());
  EXPECT_EQ(next.error().kind, ErrorKind::kTooLarge);
}

RC_GTEST_PROP(PeerMessageProperty, DecodingArbitraryBytesDoesNotCrash,
              (const std::string& garbage)) {
  const Result<PeerMessage> decoded = DecodeFrameBody(garbage);
  if (!decoded) RC_ASSERT(!decoded.error().message.empty());
}

RC_GTEST_PROP(PeerMessageProperty,
              DecodingTruncatedOrAlteredMessagesDoesNotCrash, ()) {
  const auto tag =
      *rc::gen::inRange<std::size_t>(0, std::variant_size_v<PeerMessage>);
  std::string body = EncodeFrame(MakeStart()).substr(kPrefixSize);
  body[1] = static_cast<char>(tag);
  const auto at = *rc::gen::inRange<std::size_t>(2, body.size());
  body[at] = static_cast<char>(*rc::gen::arbitrary<std::uint8_t>());
  if (*rc::gen::arbitrary<bool>()) body.resize(at);
  const Result<PeerMessage> decoded = DecodeFrameBody(body);
  if (decoded) RC_ASSERT(decoded.value().index() == tag);
}

}  // namespace
}  // namespace wisteriarill
