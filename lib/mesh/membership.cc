#include "wisteriarill/mesh/membership.h"

#include <utility>

namespace wisteriarill {

void Membership::OnRegistryUnavailable(Instant now) { away_until_ = now; }

void Membership::Put(BackendEntry entry, Instant now) {
  (void)now;
  const auto removed = removed_.find(entry.instance);
  if (removed != removed_.end() && removed->second >= entry.revision) return;
  const auto found = entries_.find(entry.instance);
  if (found != entries_.end() && found->second.revision > entry.revision) {
    return;
  }
  lapsing_.erase(entry.instance);
  if (found != entries_.end()) Erase(entry.instance);
  lives_[entry.address].insert(entry.instance);
  std::string instance = entry.instance;
  entries_.emplace(std::move(instance), std::move(entry));
}

void Membership::Remove(const std::string& instance, std::uint64_t revision,
                        Instant now) {
  const auto found = entries_.find(instance);
  if (found == entries_.end()) {
    removed_[instance] = revision;
    return;
  }
  if (found->second.revision > revision) return;
  // An entry that lapsed only because the registry was away comes back.
  const bool lapsed = away_until_ != kNever && now < away_until_ + kLapseGrace;
  if (lapsed && !found->second.draining) {
    lapsing_.try_emplace(instance, away_until_ + kLapseGrace);
    return;
  }
  removed_[instance] = revision;
  lapsing_.erase(instance);
  Erase(instance);
}

void Membership::Erase(const std::string& instance) {
  const auto found = entries_.find(instance);
  if (found == entries_.end()) return;
  const auto lives = lives_.find(found->second.address);
  lives->second.erase(instance);
  if (lives->second.empty()) lives_.erase(lives);
  entries_.erase(found);
}

void Membership::Replace(const std::vector<BackendEntry>& entries,
                         std::uint64_t revision, Instant now) {
  std::set<std::string> listed;
  for (const BackendEntry& entry : entries) {
    listed.insert(entry.instance);
    Put(entry, now);
  }
  std::vector<std::string> missing;
  for (const auto& [instance, entry] : entries_) {
    if (!listed.contains(instance)) missing.push_back(instance);
  }
  for (const std::string& instance : missing) Remove(instance, revision, now);
}

bool Membership::RemoveExpired(Instant now) {
  bool dropped = false;
  for (auto it = lapsing_.begin(); it != lapsing_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    Erase(it->first);
    it = lapsing_.erase(it);
    dropped = true;
  }
  return dropped;
}

const BackendEntry* Membership::Find(const std::string& instance) const {
  const auto found = entries_.find(instance);
  return found == entries_.end() ? nullptr : &found->second;
}

const BackendEntry* Membership::FindByAddress(
    const std::string& address) const {
  const auto lives = lives_.find(address);
  if (lives == lives_.end()) return nullptr;
  const BackendEntry* newest = nullptr;
  for (const std::string& instance : lives->second) {
    const BackendEntry& entry = entries_.at(instance);
    if (newest == nullptr || entry.BeganAfter(*newest)) newest = &entry;
  }
  return newest;
}

}  // namespace wisteriarill
