/// \file
/// How a replica goes on into a new era of the store.
#include <algorithm>
#include <utility>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/registry/registry_replica.h"

namespace wisteriarill {

bool RegistryReplica::CanEnter(const RegistryBatch& batch) const {
  const bool is_empty = !complete_ && items_.empty();
  return batch.complete || is_empty || (complete_ && batch.after == position_);
}

std::vector<RegistryItem> RegistryReplica::Enter(const RegistryBatch& batch,
                                                 Instant now) {
  const Formers formers = TakeFormers();
  if (position_.revision > 0) left_[position_.era] = position_;
  held_whole_copy_ = complete_ && position_.revision >= batch.position.revision;
  if (batch.complete) {
    ReplaceItems(batch);
  } else {
    ChangeItems(batch);
  }
  // Nodes that entered earlier may hold what was created and removed since.
  AddGap({batch.position.era, 0}, batch.position);
  position_ = batch.position;
  carryover_.Clear();
  CarryOver(formers, now);
  CarryReplacedServers(formers, now);
  std::set<std::string> merged;
  MergeCarried(batch, now, &merged);
  return ChangesFrom(formers);
}

RegistryReplica::Formers RegistryReplica::TakeFormers() const {
  Formers formers;
  for (const auto& [key, removal] : removals_) formers[key].removal = removal;
  for (const auto& [key, stored] : items_) {
    Former& former = formers[key];
    former.item = MakeItem(key, stored);
  }
  for (const CarriedItem& carried : carryover_.List(Instant())) {
    Former& former = formers[carried.item.key];
    former.carried = true;
    former.item.reset();
    if (!carried.item.removed) {
      former.item = carried.item;
      continue;
    }
    former.removal = {carried.item.position, carried.removed_position,
                      carried.item.created, carried.stamp,
                      carried.removed_digest};
  }
  return formers;
}

void RegistryReplica::EnterItem(const RegistryItem& item, StoreEra era,
                                StoredItems* items) {
  // To nodes that follow from here, it is a change of the new era, whatever it
  // was to the peer that sent it.
  const StorePosition entered_at{era, item.position.revision};
  StoredItem entered{item.value, entered_at, item.compressed, item.created};
  const auto stored = items_.find(item.key);
  const auto removal = removals_.find(item.key);
  // A change that the copy has is the same change in every era.
  const bool is_common =
      stored != items_.end() &&
      stored->second.position.revision == item.position.revision &&
      stored->second.value == item.value;
  if (is_common) {
    entered.position = stored->second.position;
    common_revision_ = std::max(common_revision_, item.position.revision);
  }
  std::optional<StorePosition> known_creation;
  if (stored != items_.end()) {
    known_creation = stored->second.created;
  } else if (removal != removals_.end()) {
    known_creation = removal->second.item_created;
  }
  if (known_creation && known_creation->revision == item.created.revision)
    entered.created = std::min(entered.created, *known_creation);
  (*items)[item.key] = std::move(entered);
}

void RegistryReplica::ReplaceItems(const RegistryBatch& batch) {
  common_revision_ = 0;
  StoredItems entered;
  for (const RegistryItem& item : batch.items) {
    if (!item.removed) EnterItem(item, batch.position.era, &entered);
  }
  std::vector<std::string> missing;
  for (const auto& [key, stored] : items_) {
    if (!entered.contains(key)) missing.push_back(key);
  }
  for (const std::string& key : missing) RemoveItem(key, batch.position, true);
  items_ = std::move(entered);
  std::erase_if(removals_, [this](const auto& removal) {
    return items_.contains(removal.first);
  });
  if (!complete_) removals_known_after_ = batch.position;
  complete_ = true;
}

void RegistryReplica::ChangeItems(const RegistryBatch& batch) {
  StoredItems entered;
  for (const RegistryItem& item : batch.items) {
    if (item.removed) {
      RemoveItem(item.key, item.position, item.missing_from_copy);
    } else {
      EnterItem(item, batch.position.era, &entered);
    }
  }
  common_revision_ = 0;
  for (const auto& [key, stored] : items_) {
    if (!entered.contains(key))
      common_revision_ = std::max(common_revision_, stored.position.revision);
  }
  for (auto& [key, item] : entered) {
    items_[key] = std::move(item);
    removals_.erase(key);
  }
}

bool RegistryReplica::IsLost(StorePosition position) const {
  return held_whole_copy_ || position.revision > common_revision_;
}

std::optional<CarriedItem> RegistryReplica::MakeCarried(
    const std::string& key, const Former& former) const {
  std::optional<RegistryItem> item;
  const EraCarryover::Shown shown = ShownOf(key, &item);
  CarriedItem carried;
  if (!former.item) {
    carried.item = {key, "", former.removal.position, true, "", {}};
    carried.item.created = former.removal.item_created;
    carried.stamp = former.removal.stamp;
    carried.removed_position = former.removal.item_position;
    carried.removed_digest = former.removal.value_digest;
    const bool counts = !EraCarryover::IsAsNew(shown, carried, false);
    return counts ? std::optional(std::move(carried)) : std::nullopt;
  }
  carried.item = *former.item;
  carried.stamp = StampOf(carried.item);
  if (EraCarryover::IsAsNew(shown, carried, false)) return std::nullopt;
  const bool is_configuration = carried.stamp.kind == ItemKind::kConfiguration;
  const bool is_missing = shown.item == nullptr;
  const bool was_removed =
      is_missing && !former.carried && !IsLost(former.item->position);
  if (was_removed && !is_configuration) return std::nullopt;
  carried.missing = is_missing && carried.stamp.kind == ItemKind::kServer;
  return carried;
}

void RegistryReplica::CarryOver(const Formers& formers, Instant now) {
  if (stamper_ == nullptr) return;
  for (const auto& [key, former] : formers) {
    if (auto carried = MakeCarried(key, former)) {
      carryover_.Add(std::move(*carried), now);
    } else if (former.carried) {
      RememberStamp(key,
                    former.item ? StampOf(*former.item) : former.removal.stamp);
    }
  }
}

// The copy may list a server whose address another one has taken since.
void RegistryReplica::CarryReplacedServers(const Formers& formers,
                                           Instant now) {
  if (stamper_ == nullptr) return;
  std::map<std::string, const RegistryItem*> last_at;
  std::map<std::string, ItemStamp> stamps;
  for (const auto& [key, former] : formers) {
    if (!former.item) continue;
    ItemStamp stamp = StampOf(*former.item);
    if (stamp.kind != ItemKind::kServer || stamp.address.empty()) continue;
    const RegistryItem*& last = last_at[stamp.address];
    if (last == nullptr || last->created < former.item->created)
      last = &*former.item;
    stamps.emplace(key, std::move(stamp));
  }
  for (const auto& [key, stamp] : stamps) {
    const RegistryItem& last = *last_at.at(stamp.address);
    const bool was_replaced = last.key != key && !items_.contains(last.key);
    std::optional<RegistryItem> item;
    const EraCarryover::Shown shown = ShownOf(key, &item);
    const bool shows_same = shown.item != nullptr &&
                            !stamp.IsBefore(shown.stamp) &&
                            shown.stamp.address == stamp.address;
    if (!was_replaced || !shows_same || carryover_.Find(key) != nullptr)
      continue;
    CarriedItem carried;
    carried.item = {key, "", position_, true, "", {}};
    carried.stamp = stamp;
    carried.removed_position = item->position;
    carried.removed_digest = Hash64(item->value);
    carryover_.Add(std::move(carried), now);
  }
}

std::vector<RegistryItem> RegistryReplica::ChangesFrom(
    const Formers& formers) const {
  std::vector<RegistryItem> changes;
  std::set<std::string> keys;
  for (const auto& [key, former] : formers) keys.insert(key);
  for (const auto& [key, stored] : items_) keys.insert(key);
  for (const CarriedItem& carried : carryover_.List(Instant()))
    keys.insert(carried.item.key);
  for (const std::string& key : keys) {
    const auto former = formers.find(key);
    const RegistryItem* before = former == formers.end() || !former->second.item
                                     ? nullptr
                                     : &*former->second.item;
    const std::optional<RegistryItem> after = Effective(key);
    if (before == nullptr && !after) continue;
    const bool is_same = before != nullptr && after &&
                         before->value == after->value &&
                         before->position.revision == after->position.revision;
    if (!is_same) AddCarriedChanges({key}, &changes);
  }
  return changes;
}

}  // namespace wisteriarill
