/// \file
/// The total order of configuration versions.
#ifndef WISTERIARILL_VERSION_VERSION_H_
#define WISTERIARILL_VERSION_VERSION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace wisteriarill {

/// A configuration version. Versions are ordered by number and then by
/// revision, and a lower version never replaces a higher one.
struct Version {
  std::uint64_t number = 0;    ///< Number that operators gave the release.
  std::uint64_t revision = 0;  ///< Platform's revision of the manifest.
  friend auto operator<=>(const Version&, const Version&) = default;
};

/// Returns "number.revision".
inline std::string ToString(const Version& version) {
  return std::to_string(version.number) + "." +
         std::to_string(version.revision);
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_VERSION_H_
