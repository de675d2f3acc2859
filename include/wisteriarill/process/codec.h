/// \file
/// MessagePack encoding of typed records. Include it only from source files,
/// not from headers: its templates are slow to compile.
#ifndef WISTERIARILL_PROCESS_CODEC_H_
#define WISTERIARILL_PROCESS_CODEC_H_

#include <exception>
#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "wisteriarill/process/error.h"

namespace wisteriarill {

/// Maximum number of elements in a decoded array.
inline constexpr std::size_t kMaxDecodedArrayLength = 1U << 17;
/// Maximum nesting depth of a decoded value.
inline constexpr std::size_t kMaxDecodedDepth = 16;

/// Encodes `record`, whose type must have MSGPACK_DEFINE. The encoding is
/// deterministic: equal records give equal bytes.
template <typename T>
std::string EncodeRecord(const T& record) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, record);
  return {buffer.data(), buffer.size()};
}

/// Decodes `bytes`, which must hold exactly one well-formed T and nothing
/// after it; returns kMalformedMessage otherwise.
template <typename T>
Result<T> DecodeRecord(std::string_view bytes) {
  const msgpack::unpack_limit limit(
      kMaxDecodedArrayLength, kMaxDecodedArrayLength, bytes.size(),
      bytes.size(), bytes.size(), kMaxDecodedDepth);
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size()) {
      return MakeError(ErrorKind::kMalformedMessage,
                       "record has trailing bytes",
                       "check that both nodes run compatible versions");
    }
    T record;
    handle.get().convert(record);
    return record;
  } catch (const std::exception& error) {
    return MakeError(ErrorKind::kMalformedMessage,
                     std::string("record cannot be decoded: ") + error.what(),
                     "check that both nodes run compatible versions");
  }
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_CODEC_H_
