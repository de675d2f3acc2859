/// \file
/// The total order of configuration versions.
#ifndef WISTERIARILL_VERSION_VERSION_H_
#define WISTERIARILL_VERSION_VERSION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace wisteriarill {

/// A version: the operators' number first, then the platform's revision of
/// the manifest. A lower pair never replaces a higher one.
struct Version {
  std::uint64_t number = 0;
  std::uint64_t revision = 0;
  friend auto operator<=>(const Version&, const Version&) = default;
};

/// Returns "number.revision".
inline std::string ToString(const Version& version) {
  return std::to_string(version.number) + "." +
         std::to_string(version.revision);
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_VERSION_H_
