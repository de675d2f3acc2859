/// \file
/// Compressed bytes, for long values on their way between nodes.
#ifndef WISTERIARILL_PROCESS_PACKING_H_
#define WISTERIARILL_PROCESS_PACKING_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "wisteriarill/process/error.h"

namespace wisteriarill {

/// Returns `bytes` compressed (zlib). Equal bytes give equal results.
std::string Pack(std::string_view bytes);

/// Returns what Pack was given; an error for other bytes, or for more than
/// `most` bytes.
Result<std::string> Unpack(std::string_view packed, std::size_t most);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_PACKING_H_
