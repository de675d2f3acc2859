#include "wisteriarill/process/hashing.h"

#include <Poco/SHA2Engine.h>
#include <xxhash.h>

namespace wisteriarill {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

int HexValue(char c) {
  const std::size_t index = kHexDigits.find(c);
  return index == std::string_view::npos ? -1 : static_cast<int>(index);
}

}  // namespace

std::string Sha256(std::string_view bytes) {
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(bytes.data(), bytes.size());
  const Poco::DigestEngine::Digest& digest = engine.digest();
  return {digest.begin(), digest.end()};
}

std::string ToHex(std::string_view bytes) {
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    hex += kHexDigits[byte >> 4];
    hex += kHexDigits[byte & 0xf];
  }
  return hex;
}

bool FromHex(std::string_view hex, std::string* bytes) {
  if (hex.size() % 2 != 0) return false;
  bytes->clear();
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    const int high = HexValue(hex[i]);
    const int low = HexValue(hex[i + 1]);
    if (high < 0 || low < 0) return false;
    *bytes += static_cast<char>(high * 16 + low);
  }
  return true;
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

std::uint64_t Hash64(std::string_view bytes) {
  return XXH64(bytes.data(), bytes.size(), 0);
}

}  // namespace wisteriarill
