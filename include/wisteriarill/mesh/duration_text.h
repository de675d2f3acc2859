/// \file
/// Parses durations that are written as a number and a unit, "ms" or "s".
#ifndef WISTERIARILL_MESH_DURATION_TEXT_H_
#define WISTERIARILL_MESH_DURATION_TEXT_H_

#include <optional>
#include <string_view>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Parses texts such as "1500ms" or "2.5s" and rounds to milliseconds. Returns
/// nothing for any other text, and for negative or too long durations.
std::optional<milliseconds> ParseDuration(std::string_view text);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_DURATION_TEXT_H_
