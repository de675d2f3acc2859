/// \file
/// The total order of configuration versions.
#ifndef WISTERIARILL_VERSION_VERSION_H_
#define WISTERIARILL_VERSION_VERSION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace wisteriarill {

/// A configuration version. Versions are ordered by number, then by era and by
/// revision, and a lower version never replaces a higher one.
struct Version {
  std::uint64_t number = 0;    ///< Number that operators gave the release.
  std::uint64_t revision = 0;  ///< Platform's revision of the manifest.
  /// Number of times that the platform has given out revisions again.
  std::uint32_t era = 0;
  friend bool operator==(const Version&, const Version&) = default;
  friend std::strong_ordering operator<=>(const Version& a, const Version& b) {
    if (const auto by_number = a.number <=> b.number; by_number != 0)
      return by_number;
    if (const auto by_era = a.era <=> b.era; by_era != 0) return by_era;
    return a.revision <=> b.revision;
  }
};

/// Returns "number.revision".
inline std::string ToString(const Version& version) {
  return std::to_string(version.number) + "." +
         std::to_string(version.revision);
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_VERSION_H_
