#include "wisteriarill/mesh/registry_replica.h"

#include <algorithm>
#include <set>

namespace wisteriarill {

bool RegistryReplica::ApplyItem(const RegistryItem& item) {
  const auto held = items_.find(item.key);
  if (held != items_.end() && held->second.revision >= item.revision) {
    return false;
  }
  const auto removed = removed_.find(item.key);
  if (removed != removed_.end() && removed->second >= item.revision) {
    return false;
  }
  if (item.removed) {
    removed_[item.key] = item.revision;
    return items_.erase(item.key) > 0;
  }
  if (item.value_left_out) return false;
  items_[item.key] = {item.value, item.revision, item.packed};
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
    removed_[it->first] = batch.revision;
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
  for (const auto& [key, held] : items_) {
    RegistryItem item{key, "", held.revision, false, held.revision <= after, ""};
    if (!item.value_left_out) {
      item.value = held.value;
      item.packed = held.packed;
    }
    batch.items.push_back(std::move(item));
  }
  return batch;
}

}  // namespace wisteriarill
