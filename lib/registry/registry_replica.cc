#include "wisteriarill/registry/registry_replica.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/process/hashing.h"

namespace wisteriarill {

namespace {

/// Maximum number of removed keys that are remembered.
constexpr std::size_t kMaxRemovals = 20000;
/// Maximum number of gaps that are told apart.
constexpr std::size_t kMaxGaps = 32;

}  // namespace

RegistryItem RegistryReplica::MakeItem(const std::string& key,
                                       const StoredItem& item) {
  return {key, item.value, item.position, false, item.compressed, item.created};
}

ItemStamp RegistryReplica::StampOf(const RegistryItem& item) const {
  return stamper_ == nullptr ? ItemStamp() : stamper_->Stamp(item);
}

std::optional<RegistryItem> RegistryReplica::Effective(
    const std::string& key) const {
  if (const CarriedItem* carried = carryover_.Find(key)) {
    if (carried->item.removed) return std::nullopt;
    return carried->item;
  }
  const auto stored = items_.find(key);
  if (stored == items_.end()) return std::nullopt;
  return MakeItem(key, stored->second);
}

std::map<std::string, RegistryItem> RegistryReplica::Items() const {
  std::map<std::string, RegistryItem> items;
  for (const auto& [key, stored] : items_) {
    if (auto item = Effective(key)) items.emplace(key, std::move(*item));
  }
  for (const CarriedItem& carried : carryover_.List(Instant())) {
    if (!carried.item.removed) items.emplace(carried.item.key, carried.item);
  }
  return items;
}

EraCarryover::Shown RegistryReplica::ShownOf(
    const std::string& key, std::optional<RegistryItem>* item) const {
  const auto stored = items_.find(key);
  if (stored == items_.end()) return {};
  *item = MakeItem(key, stored->second);
  return {&**item, StampOf(**item)};
}

std::vector<RegistryItem> RegistryReplica::Apply(const RegistryBatch& batch,
                                                 Instant now) {
  if (batch.position.era < position_.era) return {};
  if (batch.position.era == position_.era) return Merge(batch, now);
  if (!CanEnter(batch)) return {};
  return Enter(batch, now);
}

std::vector<RegistryItem> RegistryReplica::Merge(const RegistryBatch& batch,
                                                 Instant now) {
  const bool outdated =
      batch.complete && complete_ && batch.position < position_;
  if (outdated) return {};
  std::set<std::string> keys;
  for (const RegistryItem& item : batch.items) {
    if (ApplyItem(item)) keys.insert(item.key);
  }
  if (batch.complete) {
    RemoveUnlisted(batch, &keys);
    if (!complete_) removals_known_after_ = batch.position;
    complete_ = true;
  }
  if (batch.complete || batch.lacks_short_lived)
    AddGap(position_, batch.position);
  position_ = std::max(position_, batch.position);
  std::vector<RegistryItem> changes;
  std::set<std::string> uncovered;
  for (const std::string& key : keys) {
    if (carryover_.Find(key) == nullptr) {
      changes.push_back(ChangeOf(key));
      continue;
    }
    std::optional<RegistryItem> item;
    const ItemStamp stamp = carryover_.Find(key)->stamp;
    if (!carryover_.OnShown(key, ShownOf(key, &item))) continue;
    RememberStamp(key, stamp);
    uncovered.insert(key);
  }
  MergeCarried(batch, now, &uncovered);
  AddCarriedChanges(uncovered, &changes);
  if (removals_.size() > kMaxRemovals) ForgetOldRemovals();
  return changes;
}

RegistryItem RegistryReplica::ChangeOf(const std::string& key) const {
  if (auto item = Effective(key)) return std::move(*item);
  const auto removal = removals_.find(key);
  const StorePosition position =
      removal == removals_.end() ? position_ : removal->second.position;
  return {key, "", position, true, "", {}};
}

void RegistryReplica::AddCarriedChanges(
    const std::set<std::string>& keys,
    std::vector<RegistryItem>* changes) const {
  for (const std::string& key : keys) {
    RegistryItem change = ChangeOf(key);
    // What counts again may be older than what counted until now, and changes
    // of a server are told apart by their positions.
    if (StampOf(change).kind == ItemKind::kServer) change.position = position_;
    changes->push_back(std::move(change));
  }
}

StorePosition RegistryReplica::PositionHere(const StoredItem& item) const {
  return {position_.era, item.position.revision};
}

bool RegistryReplica::ApplyItem(const RegistryItem& item) {
  // What a peer lists is in this era, even if it is known from an earlier one.
  const StorePosition at =
      item.removed ? item.position
                   : StorePosition{position_.era, item.position.revision};
  const bool ends_carrying = item.removed && !item.missing_from_copy &&
                             carryover_.Find(item.key) != nullptr;
  // A late batch may bring an item that was removed before this node's list.
  if (complete_ && at <= position_ && !ends_carrying) return false;
  const auto stored = items_.find(item.key);
  const bool was_listed = stored != items_.end();
  if (was_listed && PositionHere(stored->second) >= at) return false;
  const auto removal = removals_.find(item.key);
  if (removal != removals_.end() && removal->second.position >= at) {
    return false;
  }
  if (!item.removed) {
    items_[item.key] = {item.value, at, item.compressed, item.created};
    return true;
  }
  RemoveItem(item.key, item.position, item.missing_from_copy);
  return was_listed || ends_carrying;
}

void RegistryReplica::RemoveItem(const std::string& key, StorePosition position,
                                 bool missing_from_copy) {
  Removal& removal = removals_[key];
  removal.position = position;
  removal.missing_from_copy = missing_from_copy;
  const auto stored = items_.find(key);
  if (stored == items_.end()) return;
  removal.item_position = stored->second.position;
  removal.item_created = stored->second.created;
  removal.stamp = StampOf(MakeItem(key, stored->second));
  removal.value_digest = Hash64(stored->second.value);
  items_.erase(stored);
}

void RegistryReplica::RememberStamp(const std::string& key,
                                    const ItemStamp& stamp) {
  if (items_.contains(key)) return;
  const auto [removal, is_new] = removals_.try_emplace(key);
  if (is_new) {
    removal->second.position = position_;
    removal->second.missing_from_copy = true;
  }
  if (is_new || removal->second.stamp.IsBefore(stamp))
    removal->second.stamp = stamp;
}

void RegistryReplica::RemoveUnlisted(const RegistryBatch& batch,
                                     std::set<std::string>* keys) {
  std::set<std::string> listed;
  for (const RegistryItem& item : batch.items) {
    if (!item.removed) listed.insert(item.key);
  }
  std::vector<std::string> unlisted;
  for (const auto& [key, stored] : items_) {
    const bool newer = PositionHere(stored) > batch.position;
    if (!newer && !listed.contains(key)) unlisted.push_back(key);
  }
  for (const std::string& key : unlisted) {
    RemoveItem(key, batch.position, false);
    keys->insert(key);
  }
}

bool RegistryReplica::KnowsRemovalOf(const CarriedItem& carried) const {
  const auto removal = removals_.find(carried.item.key);
  if (carried.item.removed || removal == removals_.end()) return false;
  switch (carried.stamp.kind) {
    case ItemKind::kServer:
      return !removal->second.stamp.IsBefore(carried.stamp);
    case ItemKind::kEvacuation:
      return removal->second.position > carried.item.position;
    case ItemKind::kConfiguration:
    case ItemKind::kOther:
      return false;
  }
  return false;
}

void RegistryReplica::MergeCarried(const RegistryBatch& batch, Instant now,
                                   std::set<std::string>* keys) {
  for (CarriedItem carried : batch.carried) {
    const std::string& key = carried.item.key;
    std::optional<RegistryItem> item;
    const EraCarryover::Shown shown = ShownOf(key, &item);
    if (EraCarryover::IsAsNew(shown, carried, false)) continue;
    if (KnowsRemovalOf(carried)) continue;
    carried.missing = carried.stamp.kind == ItemKind::kServer &&
                      !carried.item.removed && shown.item == nullptr;
    if (carryover_.Add(carried, now)) keys->insert(key);
  }
  carryover_.OnMerged(EraCarryover::DigestOf(batch.carried));
}

std::vector<RegistryItem> RegistryReplica::ReleaseExpired(Instant now) {
  std::vector<RegistryItem> changes;
  if (carryover_.size() == 0) return changes;
  std::set<std::string> keys;
  for (const CarriedItem& expired : carryover_.TakeExpired(now)) {
    RememberStamp(expired.item.key, expired.stamp);
    keys.insert(expired.item.key);
  }
  AddCarriedChanges(keys, &changes);
  return changes;
}

void RegistryReplica::ForgetOldRemovals() {
  std::vector<StorePosition> positions;
  for (const auto& [key, removal] : removals_) {
    positions.push_back(removal.position);
  }
  const auto middle =
      positions.begin() + static_cast<std::ptrdiff_t>(positions.size() / 2);
  std::nth_element(positions.begin(), middle, positions.end());
  const StorePosition oldest_kept = *middle;
  std::erase_if(removals_, [oldest_kept](const auto& removal) {
    return removal.second.position < oldest_kept;
  });
  removals_known_after_ = std::max(removals_known_after_, oldest_kept);
}

void RegistryReplica::AddGap(StorePosition from, StorePosition to) {
  if (from >= to) return;
  gaps_.push_back({from, to});
  if (gaps_.size() <= kMaxGaps) return;
  removals_known_after_ = std::max(removals_known_after_, gaps_.front().to);
  gaps_.erase(gaps_.begin());
}

bool RegistryReplica::HasGapAfter(StorePosition after) const {
  return std::any_of(gaps_.begin(), gaps_.end(),
                     [after](const Gap& gap) { return gap.to > after; });
}

bool RegistryReplica::KnowsChangesSince(StorePosition after) const {
  if (!complete_ || after.revision == 0) return false;
  if (after.era > position_.era) return true;  // There are none.
  if (after < removals_known_after_) return false;
  const bool in_gap = std::any_of(
      gaps_.begin(), gaps_.end(),
      [after](const Gap& gap) { return gap.from < after && after < gap.to; });
  if (in_gap) return false;
  if (after.era == position_.era) return true;
  // What the node that asks held beyond this node's last position in that era
  // may be lost, and is not known here.
  const auto left = left_.find(after.era);
  return left != left_.end() && after <= left->second;
}

RegistryBatch RegistryReplica::MakeBatch(StorePosition after,
                                         Instant now) const {
  RegistryBatch batch =
      KnowsChangesSince(after) ? MakeChanges(after) : MakeCompleteBatch();
  batch.carried = carryover_.List(now);
  return batch;
}

RegistryBatch RegistryReplica::MakeChanges(StorePosition after) const {
  RegistryBatch batch;
  batch.position = position_;
  batch.after = after;
  batch.lacks_short_lived = HasGapAfter(after);
  for (const auto& [key, stored] : items_) {
    // An item that this node knew in that era had the same revision there.
    const StorePosition changed_at{std::max(stored.position.era, after.era),
                                   stored.position.revision};
    if (changed_at > after) batch.items.push_back(MakeItem(key, stored));
  }
  for (const auto& [key, removal] : removals_) {
    if (removal.position <= after) continue;
    RegistryItem item{key, "", removal.position, true, "", {}};
    item.missing_from_copy = removal.missing_from_copy;
    batch.items.push_back(std::move(item));
  }
  return batch;
}

RegistryBatch RegistryReplica::MakeCompleteBatch() const {
  RegistryBatch batch;
  batch.position = position_;
  batch.complete = complete_;
  for (const auto& [key, stored] : items_) {
    batch.items.push_back(MakeItem(key, stored));
  }
  return batch;
}

}  // namespace wisteriarill
