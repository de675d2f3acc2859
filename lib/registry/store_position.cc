#include "wisteriarill/registry/store_position.h"

#include <charconv>

namespace wisteriarill {
namespace {

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || rest != end || text.empty()) return std::nullopt;
  return number;
}

}  // namespace

std::optional<StoreEra> MakeStoreEra(std::uint64_t number) {
  if (number > kMaxEraNumber) return std::nullopt;
  return StoreEra{static_cast<std::uint32_t>(number)};
}

std::optional<StoreEra> ParseStoreEra(std::string_view text) {
  const auto number = ParseNumber(text);
  if (!number) return std::nullopt;
  return MakeStoreEra(*number);
}

std::string ToString(StoreEra era) { return std::to_string(NumberOf(era)); }

std::string ToString(const StorePosition& position) {
  std::string revision = std::to_string(position.revision);
  if (position.era == kFirstEra) return revision;
  return ToString(position.era) + "." + revision;
}

std::optional<StorePosition> ParseStorePosition(std::string_view text) {
  StorePosition position;
  const std::size_t dot = text.find('.');
  if (dot != std::string_view::npos) {
    const auto era = ParseStoreEra(text.substr(0, dot));
    if (!era) return std::nullopt;
    position.era = *era;
    text.remove_prefix(dot + 1);
  }
  const auto revision = ParseNumber(text);
  if (!revision) return std::nullopt;
  position.revision = *revision;
  return position;
}

}  // namespace wisteriarill
