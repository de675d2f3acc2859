/// \file
/// Compression of long values that are sent between nodes.
#ifndef WISTERIARILL_PROCESS_COMPRESSION_H_
#define WISTERIARILL_PROCESS_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "wisteriarill/process/error.h"

namespace wisteriarill {

/// Returns `bytes` compressed in the zlib format; empty input gives an empty
/// result. Equal inputs give equal results.
std::string Compress(std::string_view bytes);

/// Reverses Compress(). Returns kMalformedMessage if `compressed` is not valid
/// zlib data or decompresses to more than `max_size` bytes.
Result<std::string> Decompress(std::string_view compressed,
                               std::size_t max_size);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_COMPRESSION_H_
