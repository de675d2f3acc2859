#include "wisteriarill/version/manifest_history.h"

#include <tuple>
#include <utility>

namespace wisteriarill {
namespace {

auto SortKey(const ManifestEntry& entry) {
  return std::tie(entry.kind, entry.name);
}

}  // namespace

// Merges the two lists of entries, which PackDeployment sorts by kind and name.
ManifestDiff DiffManifests(const Manifest& base, const Manifest& target) {
  ManifestDiff changes;
  auto old = base.entries.begin();
  for (const ManifestEntry& entry : target.entries) {
    while (old != base.entries.end() && SortKey(*old) < SortKey(entry)) {
      changes.push_back({old->kind, old->name, ""});
      ++old;
    }
    const bool same_key =
        old != base.entries.end() && SortKey(*old) == SortKey(entry);
    if (!same_key || old->digest != entry.digest) changes.push_back(entry);
    if (same_key) ++old;
  }
  for (; old != base.entries.end(); ++old) {
    changes.push_back({old->kind, old->name, ""});
  }
  return changes;
}

Manifest PatchManifest(const Manifest& base, std::uint64_t number,
                       const ManifestDiff& changes) {
  Manifest patched;
  patched.number = number;
  auto old = base.entries.begin();
  for (const ManifestEntry& change : changes) {
    while (old != base.entries.end() && SortKey(*old) < SortKey(change)) {
      patched.entries.push_back(*old++);
    }
    if (old != base.entries.end() && SortKey(*old) == SortKey(change)) ++old;
    if (!change.digest.empty()) patched.entries.push_back(change);
  }
  patched.entries.insert(patched.entries.end(), old, base.entries.end());
  return patched;
}

void ManifestHistory::Add(const Version& version, Manifest manifest) {
  entries_.push_back({version, std::move(manifest)});
  if (entries_.size() > kMaxManifests) entries_.pop_front();
}

const Manifest* ManifestHistory::Find(const Version& version) const {
  for (const Entry& entry : entries_) {
    if (entry.version == version) return &entry.manifest;
  }
  return nullptr;
}

}  // namespace wisteriarill
