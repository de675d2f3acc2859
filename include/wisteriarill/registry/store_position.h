/// \file
/// Positions in the history of the platform's store. The failure they answer: a
/// store that comes back from a copy gives out revisions again, so a revision
/// says nothing without the era that it belongs to.
#ifndef WISTERIARILL_REGISTRY_STORE_POSITION_H_
#define WISTERIARILL_REGISTRY_STORE_POSITION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriarill {

/// Number of times that the store has come back from a copy. Not an integer, so
/// that it can't be taken for a revision.
enum class StoreEra : std::uint32_t {};

/// Era of a store that states none.
inline constexpr StoreEra kFirstEra{0};

/// Greatest number of an era. Eras are counted one by one, so a greater number
/// is an error of its writer.
inline constexpr std::uint64_t kMaxEraNumber = 1'000'000;

constexpr std::uint64_t NumberOf(StoreEra era) {
  return static_cast<std::uint64_t>(era);
}
/// Returns the era with a number, or nothing if the number is too great.
std::optional<StoreEra> MakeStoreEra(std::uint64_t number);
/// Returns the era that a decimal number names, or nothing.
std::optional<StoreEra> ParseStoreEra(std::string_view text);
std::string ToString(StoreEra era);

/// A revision of the store within an era. Positions are ordered by era first;
/// revisions of two eras are never compared.
struct StorePosition {
  StoreEra era = kFirstEra;
  std::uint64_t revision = 0;
  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

/// Returns "revision" in the first era and "era.revision" in others.
std::string ToString(const StorePosition& position);
/// Parses what ToString returns.
std::optional<StorePosition> ParseStorePosition(std::string_view text);

}  // namespace wisteriarill

#endif  // WISTERIARILL_REGISTRY_STORE_POSITION_H_
