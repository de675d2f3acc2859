#include "wisteriarill/process/compression.h"

#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

#include <array>
#include <sstream>

namespace wisteriarill {
namespace {

/// Configurations shrink to a tenth at the fastest level already.
constexpr int kLevel = 1;

Error Unreadable(const std::string& why) {
  return MakeError(ErrorKind::kMalformedMessage,
                   "packed bytes cannot be read: " + why,
                   "check that both ends run the same format");
}

}  // namespace

std::string Compress(std::string_view bytes) {
  if (bytes.empty()) return "";
  std::ostringstream packed;
  Poco::DeflatingOutputStream deflater(
      packed, Poco::DeflatingStreamBuf::STREAM_ZLIB, kLevel);
  deflater.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  deflater.close();
  return packed.str();
}

Result<std::string> Decompress(std::string_view packed, std::size_t most) {
  if (packed.empty()) return std::string();
  Poco::MemoryInputStream input(packed.data(),
                                static_cast<std::streamsize>(packed.size()));
  std::string bytes;
  try {
    Poco::InflatingInputStream inflater(input,
                                        Poco::InflatingStreamBuf::STREAM_ZLIB);
    inflater.exceptions(std::ios::badbit);
    std::array<char, 16384> piece;
    while (inflater.good()) {
      inflater.read(piece.data(), piece.size());
      bytes.append(piece.data(), static_cast<std::size_t>(inflater.gcount()));
      if (bytes.size() > most) return Unreadable("too long");
    }
  } catch (const std::exception& error) {
    return Unreadable(error.what());
  }
  return bytes;
}

}  // namespace wisteriarill
