#include "wisteriarill/process/compression.h"

#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

#include <array>
#include <sstream>

namespace wisteriarill {
namespace {

/// The fastest zlib level already shrinks configurations to a tenth.
constexpr int kCompressionLevel = 1;

Error MakeDecompressionError(const std::string& reason) {
  return MakeError(ErrorKind::kMalformedMessage,
                   "cannot decompress bytes: " + reason,
                   "check that both nodes run compatible versions");
}

}  // namespace

std::string Compress(std::string_view bytes) {
  if (bytes.empty()) return "";
  std::ostringstream compressed;
  Poco::DeflatingOutputStream deflater(
      compressed, Poco::DeflatingStreamBuf::STREAM_ZLIB, kCompressionLevel);
  deflater.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  deflater.close();
  return compressed.str();
}

Result<std::string> Decompress(std::string_view compressed,
                               std::size_t max_size) {
  if (compressed.empty()) return std::string();
  Poco::MemoryInputStream input(
      compressed.data(), static_cast<std::streamsize>(compressed.size()));
  std::string bytes;
  try {
    Poco::InflatingInputStream inflater(input,
                                        Poco::InflatingStreamBuf::STREAM_ZLIB);
    inflater.exceptions(std::ios::badbit);
    std::array<char, 16384> buffer;
    while (inflater.good()) {
      inflater.read(buffer.data(), buffer.size());
      bytes.append(buffer.data(), static_cast<std::size_t>(inflater.gcount()));
      if (bytes.size() > max_size)
        return MakeDecompressionError("decompressed size exceeds the limit");
    }
  } catch (const std::exception& error) {
    return MakeDecompressionError(error.what());
  }
  return bytes;
}

}  // namespace wisteriarill
