#include "wisteriarill/mesh/membership.h"

#include <utility>

namespace wisteriarill {

void Membership::OnRegistryUnavailable(Instant now) {
  unavailable_until_ = now;
}

void Membership::Put(BackendEntry entry, Instant now) {
  (void)now;
  const auto removed = removal_positions_.find(entry.instance);
  if (removed != removal_positions_.end() && removed->second >= entry.position)
    return;
  const auto found = entries_.find(entry.instance);
  if (found != entries_.end() && found->second.position > entry.position) {
    return;
  }
  expiring_.erase(entry.instance);
  if (found != entries_.end()) Erase(entry.instance);
  instances_by_address_[entry.address].insert(entry.instance);
  std::string instance = entry.instance;
  entries_.emplace(std::move(instance), std::move(entry));
  ++epoch_;
}

void Membership::Remove(const std::string& instance, StorePosition position,
                        Instant now) {
  const auto found = entries_.find(instance);
  if (found == entries_.end()) {
    removal_positions_[instance] = position;
    return;
  }
  if (found->second.position > position) return;
  // An entry that expired only because the registry was unavailable is
  // registered again soon.
  const bool maybe_expired =
      unavailable_until_ != kNever && now < unavailable_until_ + kRemovalGrace;
  if (maybe_expired && !found->second.draining) {
    expiring_.try_emplace(instance, unavailable_until_ + kRemovalGrace);
    return;
  }
  removal_positions_[instance] = position;
  expiring_.erase(instance);
  Erase(instance);
}

void Membership::Erase(const std::string& instance) {
  const auto found = entries_.find(instance);
  if (found == entries_.end()) return;
  const auto instances = instances_by_address_.find(found->second.address);
  instances->second.erase(instance);
  if (instances->second.empty()) instances_by_address_.erase(instances);
  entries_.erase(found);
  ++epoch_;
}

void Membership::Replace(const std::vector<BackendEntry>& entries,
                         StorePosition position, Instant now) {
  std::set<std::string> listed;
  for (const BackendEntry& entry : entries) {
    listed.insert(entry.instance);
    Put(entry, now);
  }
  std::vector<std::string> missing;
  for (const auto& [instance, entry] : entries_) {
    if (!listed.contains(instance)) missing.push_back(instance);
  }
  for (const std::string& instance : missing) Remove(instance, position, now);
}

bool Membership::RemoveExpired(Instant now) {
  bool dropped = false;
  for (auto it = expiring_.begin(); it != expiring_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    Erase(it->first);
    it = expiring_.erase(it);
    dropped = true;
  }
  return dropped;
}

bool Membership::SetServices(std::set<std::string> services) {
  if (services_ == services) return false;
  services_ = std::move(services);
  ++epoch_;
  return true;
}

const BackendEntry* Membership::Find(const std::string& instance) const {
  const auto found = entries_.find(instance);
  return found == entries_.end() ? nullptr : &found->second;
}

const BackendEntry* Membership::FindByAddress(
    const std::string& address) const {
  const auto instances = instances_by_address_.find(address);
  if (instances == instances_by_address_.end()) return nullptr;
  const BackendEntry* newest = nullptr;
  for (const std::string& instance : instances->second) {
    const BackendEntry& entry = entries_.at(instance);
    if (!IsNamed(entry)) continue;
    if (newest == nullptr || entry.RegisteredAfter(*newest)) newest = &entry;
  }
  return newest;
}

}  // namespace wisteriarill
