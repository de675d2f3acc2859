/// \file
/// Compressed bytes, for long values on their way between nodes.
#ifndef WISTERIARILL_PROCESS_COMPRESSION_H_
#define WISTERIARILL_PROCESS_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "wisteriarill/process/error.h"

namespace wisteriarill {

/// Returns `bytes` compressed (zlib). Equal bytes give equal results.
std::string Compress(std::string_view bytes);

/// Returns what Compress was given; an error for other bytes, or for more than
/// `most` bytes.
Result<std::string> Decompress(std::string_view packed, std::size_t most);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_COMPRESSION_H_
