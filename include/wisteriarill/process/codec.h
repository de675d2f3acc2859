/// \file
/// MessagePack encoding of typed records. Include only from sources: the
/// codec's templates are costly to compile.
#ifndef WISTERIARILL_PROCESS_CODEC_H_
#define WISTERIARILL_PROCESS_CODEC_H_

#include <exception>
#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "wisteriarill/process/error.h"

namespace wisteriarill {

/// Elements that one decoded array may hold.
inline constexpr std::size_t kMaxDecodedArray = 1U << 17;
/// Nesting that a decoded value may have.
inline constexpr std::size_t kMaxDecodedDepth = 16;

/// Encodes `record`, whose type has MSGPACK_DEFINE. Equal records give equal
/// bytes.
template <typename T>
std::string EncodeRecord(const T& record) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, record);
  return {buffer.data(), buffer.size()};
}

/// Decodes `bytes` whole; anything else than one well-formed T is an error.
template <typename T>
Result<T> DecodeRecord(std::string_view bytes) {
  const msgpack::unpack_limit limit(kMaxDecodedArray, kMaxDecodedArray,
                                    bytes.size(), bytes.size(), bytes.size(),
                                    kMaxDecodedDepth);
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size()) {
      return MakeError(ErrorKind::kMalformedMessage,
                       "record is followed by other bytes",
                       "check that both ends run the same format");
    }
    T record;
    handle.get().convert(record);
    return record;
  } catch (const std::exception& error) {
    return MakeError(ErrorKind::kMalformedMessage,
                     std::string("record cannot be decoded: ") + error.what(),
                     "check that both ends run the same format");
  }
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_CODEC_H_
