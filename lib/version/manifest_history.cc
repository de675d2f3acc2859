#include "wisteriarill/version/manifest_history.h"

#include <tuple>
#include <utility>

namespace wisteriarill {
namespace {

auto Key(const ManifestEntry& entry) {
  return std::tie(entry.kind, entry.name);
}

}  // namespace

// Both lists are sorted by kind and name, as PackDeployment writes them.
ManifestDifference DiffManifests(const Manifest& base, const Manifest& target) {
  ManifestDifference changes;
  auto old = base.entries.begin();
  for (const ManifestEntry& entry : target.entries) {
    while (old != base.entries.end() && Key(*old) < Key(entry)) {
      changes.push_back({old->kind, old->name, ""});
      ++old;
    }
    const bool same_key = old != base.entries.end() && Key(*old) == Key(entry);
    if (!same_key || old->digest != entry.digest) changes.push_back(entry);
    if (same_key) ++old;
  }
  for (; old != base.entries.end(); ++old) {
    changes.push_back({old->kind, old->name, ""});
  }
  return changes;
}

Manifest PatchManifest(const Manifest& base, std::uint64_t number,
                       const ManifestDifference& changes) {
  Manifest patched;
  patched.number = number;
  auto old = base.entries.begin();
  for (const ManifestEntry& change : changes) {
    while (old != base.entries.end() && Key(*old) < Key(change)) {
      patched.entries.push_back(*old++);
    }
    if (old != base.entries.end() && Key(*old) == Key(change)) ++old;
    if (!change.digest.empty()) patched.entries.push_back(change);
  }
  patched.entries.insert(patched.entries.end(), old, base.entries.end());
  return patched;
}

void ManifestHistory::Add(const Version& version, Manifest manifest) {
  entries_.push_back({version, std::move(manifest)});
  if (entries_.size() > kKept) entries_.pop_front();
}

const Manifest* ManifestHistory::Find(const Version& version) const {
  for (const Entry& entry : entries_) {
    if (entry.version == version) return &entry.manifest;
  }
  return nullptr;
}

}  // namespace wisteriarill
