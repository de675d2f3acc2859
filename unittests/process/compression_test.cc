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

TEST(CompressionTest, DecompressesToTheOriginal) {
  const std::string text = LongText();
  const std::string compressed = Compress(text);
  EXPECT_LT(compressed.size(), text.size() / 4);
  const Result<std::string> decompressed = Decompress(compressed, text.size());
  ASSERT_TRUE(decompressed);
  EXPECT_EQ(decompressed.value(), text);
  const Result<std::string> empty = Decompress(Compress(""), 10);
  ASSERT_TRUE(empty);
  EXPECT_EQ(empty.value(), "");
}

TEST(CompressionTest, RejectsInvalidTruncatedAndTooLongInput) {
  const std::string text = LongText();
  const std::string compressed = Compress(text);
  EXPECT_FALSE(Decompress(compressed, text.size() - 1));
  EXPECT_FALSE(Decompress("no such bytes", 1000));
  const Result<std::string> truncated =
      Decompress(compressed.substr(0, compressed.size() / 2), text.size());
  EXPECT_TRUE(!truncated || truncated.value() != text);
}

}  // namespace
}  // namespace wisteriarill
