/// \file
/// Durations as text: a number and its unit, "ms" or "s".
#ifndef WISTERIARILL_MESH_DURATION_TEXT_H_
#define WISTERIARILL_MESH_DURATION_TEXT_H_

#include <optional>
#include <string_view>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Parses texts such as "1500ms" or "2.5s"; nothing for any other text.
std::optional<milliseconds> ParseDuration(std::string_view text);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_DURATION_TEXT_H_
