#include "wisteriarill/mesh/duration_text.h"

#include <charconv>
#include <cmath>

namespace wisteriarill {
namespace {

/// Longest duration that is accepted.
constexpr double kMaxMillis = 1e12;

}  // namespace

std::optional<milliseconds> ParseDuration(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || !std::isfinite(value) || value < 0) {
    return std::nullopt;
  }
  const std::string_view unit(rest, static_cast<std::size_t>(end - rest));
  if (unit != "ms" && unit != "s") return std::nullopt;
  const double millis = unit == "s" ? value * 1000 : value;
  if (millis > kMaxMillis) return std::nullopt;
  return milliseconds(static_cast<std::int64_t>(std::llround(millis)));
}

}  // namespace wisteriarill
