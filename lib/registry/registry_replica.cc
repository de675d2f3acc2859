#include "wisteriarill/registry/registry_replica.h"

#include <algorithm>
#include <set>

namespace wisteriarill {

namespace {

/// Maximum number of removed keys that are remembered.
constexpr std::size_t kMaxRemovals = 20000;

}  // namespace

bool RegistryReplica::ApplyItem(const RegistryItem& item) {
  const auto stored = items_.find(item.key);
  if (stored != items_.end() && stored->second.revision >= item.revision) {
    return false;
  }
  const auto removed = removal_revisions_.find(item.key);
  if (removed != removal_revisions_.end() && removed->second >= item.revision) {
    return false;
  }
  if (item.removed) {
    removal_revisions_[item.key] = item.revision;
    return items_.erase(item.key) > 0;
  }
  items_[item.key] = {item.value, item.revision, item.compressed, item.created};
  return true;
}

void RegistryReplica::RemoveUnlisted(const RegistryBatch& batch,
                                     std::vector<RegistryItem>* changes) {
  std::set<std::string> listed;
  for (const RegistryItem& item : batch.items) {
    if (!item.removed) listed.insert(item.key);
  }
  for (auto it = items_.begin(); it != items_.end();) {
    const bool newer = it->second.revision > batch.revision;
    if (newer || listed.contains(it->first)) {
      ++it;
      continue;
    }
    removal_revisions_[it->first] = batch.revision;
    changes->push_back({it->first, "", batch.revision, true, ""});
    it = items_.erase(it);
  }
}

std::vector<RegistryItem> RegistryReplica::Apply(const RegistryBatch& batch) {
  std::vector<RegistryItem> changes;
  if (batch.complete && complete_ && batch.revision < revision_) return changes;
  for (const RegistryItem& item : batch.items) {
    if (ApplyItem(item)) changes.push_back(item);
  }
  if (batch.complete) {
    RemoveUnlisted(batch, &changes);
    if (!complete_) removals_known_after_ = batch.revision;
    complete_ = true;
  }
  revision_ = std::max(revision_, batch.revision);
  if (removal_revisions_.size() > kMaxRemovals) ForgetOldRemovals();
  return changes;
}

void RegistryReplica::ForgetOldRemovals() {
  std::vector<std::uint64_t> revisions;
  for (const auto& [key, revision] : removal_revisions_) {
    revisions.push_back(revision);
  }
  const auto middle =
      revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
  std::nth_element(revisions.begin(), middle, revisions.end());
  const std::uint64_t oldest_kept = *middle;
  std::erase_if(removal_revisions_, [oldest_kept](const auto& removal) {
    return removal.second < oldest_kept;
  });
  removals_known_after_ = std::max(removals_known_after_, oldest_kept);
}

RegistryBatch RegistryReplica::MakeBatch(std::uint64_t after) const {
  const bool has_changes =
      complete_ && after > 0 && after >= removals_known_after_;
  return has_changes ? MakeChanges(after) : MakeCompleteBatch();
}

RegistryBatch RegistryReplica::MakeChanges(std::uint64_t after) const {
  RegistryBatch batch;
  batch.revision = revision_;
  for (const auto& [key, stored] : items_) {
    if (stored.revision <= after) continue;
    batch.items.push_back({key, stored.value, stored.revision, false,
                           stored.compressed, stored.created});
  }
  for (const auto& [key, revision] : removal_revisions_) {
    if (revision > after) batch.items.push_back({key, "", revision, true, ""});
  }
  return batch;
}

RegistryBatch RegistryReplica::MakeCompleteBatch() const {
  RegistryBatch batch;
  batch.revision = revision_;
  batch.complete = complete_;
  for (const auto& [key, stored] : items_) {
    batch.items.push_back({key, stored.value, stored.revision, false,
                           stored.compressed, stored.created});
  }
  return batch;
}

}  // namespace wisteriarill
