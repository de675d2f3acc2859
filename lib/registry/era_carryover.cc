#include "wisteriarill/registry/era_carryover.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/process/hashing.h"

namespace wisteriarill {
namespace {

milliseconds TimeSince(Instant since, Instant now) {
  return std::chrono::duration_cast<milliseconds>(now - since);
}

/// Returns whether `a` should be carried rather than `b`, for the same key.
bool IsNewer(const CarriedItem& a, const CarriedItem& b) {
  if (b.stamp.IsBefore(a.stamp)) return true;
  if (a.stamp.IsBefore(b.stamp)) return false;
  return a.item.position > b.item.position;
}

}  // namespace

void EraCarryover::Clear() {
  held_.clear();
  let_go_.clear();
  known_digests_.clear();
  digest_ = 0;
}

bool EraCarryover::Add(CarriedItem carried, Instant now) {
  if (let_go_.contains(DigestOf(carried))) return false;
  const std::string key = carried.item.key;
  const auto found = held_.find(key);
  if (found != held_.end() && !IsNewer(carried, found->second.carried))
    return false;
  const Instant since = now - carried.age;
  held_[key] = {std::move(carried), since};
  UpdateDigest();
  return true;
}

const CarriedItem* EraCarryover::Find(const std::string& key) const {
  const auto found = held_.find(key);
  return found == held_.end() ? nullptr : &found->second.carried;
}

bool EraCarryover::IsAsNew(const Shown& shown, const CarriedItem& carried,
                           bool changed) {
  const RegistryItem* item = shown.item;
  switch (carried.stamp.kind) {
    case ItemKind::kConfiguration:
      return item != nullptr && !shown.stamp.IsBefore(carried.stamp);
    case ItemKind::kEvacuation:
      // An older order in the copy must not be taken for the last one, which a
      // peer may know to be taken back.
      if (!carried.item.removed) {
        return changed ||
               (item != nullptr &&
                item->position.revision == carried.item.position.revision);
      }
      return item == nullptr ||
             item->position.revision != carried.removed_position.revision ||
             Hash64(item->value) != carried.removed_digest;
    case ItemKind::kServer:
      if (item == nullptr) return changed || carried.item.removed;
      return carried.item.removed ? carried.stamp.IsBefore(shown.stamp)
                                  : !shown.stamp.IsBefore(carried.stamp);
    case ItemKind::kOther:
      return true;
  }
  return true;
}

bool EraCarryover::OnShown(const std::string& key, const Shown& shown) {
  const CarriedItem* carried = Find(key);
  if (carried == nullptr || !IsAsNew(shown, *carried, true)) return false;
  LetGo(key);
  return true;
}

std::optional<milliseconds> EraCarryover::TimeLimit(
    const CarriedItem& carried) {
  switch (carried.stamp.kind) {
    case ItemKind::kConfiguration:
      return std::nullopt;
    case ItemKind::kEvacuation:
      return kEvacuationTime;
    case ItemKind::kServer:
    case ItemKind::kOther:
      return carried.missing ? kMissingServerTime : kListedServerTime;
  }
  return kMissingServerTime;
}

std::vector<CarriedItem> EraCarryover::TakeExpired(Instant now) {
  std::vector<CarriedItem> expired;
  for (const auto& [key, held] : held_) {
    const auto limit = TimeLimit(held.carried);
    if (limit && now >= held.since + *limit) expired.push_back(held.carried);
  }
  for (const CarriedItem& carried : expired) LetGo(carried.item.key);
  return expired;
}

void EraCarryover::LetGo(const std::string& key) {
  const auto found = held_.find(key);
  if (found == held_.end()) return;
  let_go_.insert(DigestOf(found->second.carried));
  held_.erase(found);
  UpdateDigest();
}

std::vector<CarriedItem> EraCarryover::List(Instant now) const {
  std::vector<CarriedItem> list;
  for (const auto& [key, held] : held_) {
    list.push_back(held.carried);
    list.back().age = std::max(milliseconds(0), TimeSince(held.since, now));
  }
  return list;
}

std::uint32_t EraCarryover::DigestOf(const CarriedItem& carried) {
  const ItemStamp& stamp = carried.stamp;
  // Nodes may know the removal of an item by different positions.
  const std::string last = carried.item.removed
                               ? std::to_string(carried.removed_digest)
                               : std::to_string(carried.item.position.revision);
  return static_cast<std::uint32_t>(
      Hash64(carried.item.key + (carried.item.removed ? "-" : "+") +
             std::to_string(stamp.start) + "," +
             std::to_string(stamp.sequence) + "," + last));
}

std::uint32_t EraCarryover::DigestOf(const std::vector<CarriedItem>& carried) {
  std::uint32_t sum = 0;
  bool counts = false;
  for (const CarriedItem& item : carried) {
    if (item.missing) continue;
    sum += DigestOf(item);
    counts = true;
  }
  return counts ? std::max(sum, 1U) : 0;
}

void EraCarryover::UpdateDigest() {
  std::vector<CarriedItem> carried;
  for (const auto& [key, held] : held_) carried.push_back(held.carried);
  digest_ = DigestOf(carried);
  if (digest_ != 0) known_digests_.insert(digest_);
}

}  // namespace wisteriarill
