#include "wisteriarill/process/compression.h"

#include <gtest/gtest.h>

namespace wisteriarill {
namespace {

std::string LongText() {
  std::string text;
  for (int i = 0; i < 2000; ++i) {
    text += "route-" + std::to_string(i) + " /prefix/ service=booking;";
  }
  return text;
}

TEST(PackingTest, GivesBackWhatItTook) {
  const std::string text = LongText();
  const std::string packed = Compress(text);
  EXPECT_LT(packed.size(), text.size() / 4);
  const Result<std::string> back = Decompress(packed, text.size());
  ASSERT_TRUE(back);
  EXPECT_EQ(back.value(), text);
  const Result<std::string> nothing = Decompress(Compress(""), 10);
  ASSERT_TRUE(nothing);
  EXPECT_EQ(nothing.value(), "");
}

TEST(PackingTest, RefusesOtherBytesAndTooMany) {
  const std::string text = LongText();
  const std::string packed = Compress(text);
  EXPECT_FALSE(Decompress(packed, text.size() - 1));
  EXPECT_FALSE(Decompress("no such bytes", 1000));
  const Result<std::string> cut =
      Decompress(packed.substr(0, packed.size() / 2), text.size());
  EXPECT_TRUE(!cut || cut.value() != text);
}

}  // namespace
}  // namespace wisteriarill
