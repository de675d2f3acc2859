/// \file
/// The last few manifests of a node, so that peers can be sent a difference
/// in place of a whole manifest.
#ifndef WISTERIARILL_VERSION_MANIFEST_HISTORY_H_
#define WISTERIARILL_VERSION_MANIFEST_HISTORY_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "wisteriarill/version/release.h"
#include "wisteriarill/version/version.h"

namespace wisteriarill {

/// A changed or, with an empty digest, removed manifest entry.
using ManifestDifference = std::vector<ManifestEntry>;

/// Returns what turns `base` into `target`.
ManifestDifference DiffManifests(const Manifest& base, const Manifest& target);

/// Returns `base` with `changes` made, as number `number`.
Manifest PatchManifest(const Manifest& base, std::uint64_t number,
                       const ManifestDifference& changes);

/// Keeps the last kKept manifests.
class ManifestHistory {
 public:
  static constexpr std::size_t kKept = 4;

  /// Adds a manifest that came in force.
  void Add(const Version& version, Manifest manifest);
  /// Returns a kept manifest, or null.
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
