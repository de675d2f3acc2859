#include "wisteriarill/mesh/registry_replica.h"

#include <algorithm>
#include <set>

namespace wisteriarill {

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
  if (item.value_omitted) return false;
  items_[item.key] = {item.value, item.revision, item.compressed};
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
    changes->push_back({it->first, "", batch.revision, true, false, ""});
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
    complete_ = true;
  }
  revision_ = std::max(revision_, batch.revision);
  return changes;
}

RegistryBatch RegistryReplica::MakeCompleteBatch(std::uint64_t after) const {
  RegistryBatch batch;
  batch.revision = revision_;
  batch.complete = true;
  for (const auto& [key, stored] : items_) {
    RegistryItem item{key, "", stored.revision, false, stored.revision <= after,
                      ""};
    if (!item.value_omitted) {
      item.value = stored.value;
      item.compressed = stored.compressed;
    }
    batch.items.push_back(std::move(item));
  }
  return batch;
}

}  // namespace wisteriarill
