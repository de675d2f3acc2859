/// \file
/// Keeps the last manifests of a node, so that it can send peers a delta
/// instead of a whole manifest.
#ifndef WISTERIARILL_VERSION_MANIFEST_HISTORY_H_
#define WISTERIARILL_VERSION_MANIFEST_HISTORY_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "wisteriarill/version/release.h"
#include "wisteriarill/version/version.h"

namespace wisteriarill {

/// The added, changed and removed entries of a manifest. A removed entry has an
/// empty digest.
using ManifestDiff = std::vector<ManifestEntry>;

/// Returns the changes that turn `base` into `target`.
ManifestDiff DiffManifests(const Manifest& base, const Manifest& target);

/// Returns `base` with `changes` applied and with the number `number`.
Manifest PatchManifest(const Manifest& base, std::uint64_t number,
                       const ManifestDiff& changes);

/// Keeps the last kMaxManifests manifests that were in force.
class ManifestHistory {
 public:
  static constexpr std::size_t kMaxManifests = 4;

  /// Adds a manifest that is now in force.
  void Add(const Version& version, Manifest manifest);
  /// Returns the manifest of `version`, or nullptr if it is not kept.
  const Manifest* Find(const Version& version) const;

 private:
  struct Entry {
    Version version;
    Manifest manifest;
  };

  std::deque<Entry> entries_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_MANIFEST_HISTORY_H_
