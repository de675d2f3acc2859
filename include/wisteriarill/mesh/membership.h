/// \file
/// The backend servers that are listed in the platform's registry.
#ifndef WISTERIARILL_MESH_MEMBERSHIP_H_
#define WISTERIARILL_MESH_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wisteriarill/admission/backend_statements.h"
#include "wisteriarill/process/time.h"
#include "wisteriarill/registry/store_position.h"

namespace wisteriarill {

/// The registry's entry of one backend server instance. A server that restarts
/// registers as a new instance at the same address.
struct BackendEntry {
  std::string instance;
  std::string service;
  std::string ip;       ///< Address of the VM that it shares with its node.
  std::string address;  ///< IP:port of the backend server.
  std::string failure_domain;
  std::uint32_t slots = 1;  ///< Maximum number of concurrent requests.
  bool draining = false;
  milliseconds cold_remaining{0};  ///< As of `position`.
  /// Start time that the server states, in Unix milliseconds. An instance that
  /// starts again may keep its name; only equality says something.
  std::uint64_t start_millis = 0;
  StorePosition position;  ///< Of the last change.
  /// Position of the entry's creation. The times of day of different VMs can't
  /// be compared, and may jump.
  StorePosition created;

  BackendStart start() const { return {instance, start_millis}; }
  /// Returns whether this instance was registered after `other`.
  bool RegisteredAfter(const BackendEntry& other) const {
    if (created != other.created) return created > other.created;
    return position > other.position;
  }
};

/// A node's view of the registered servers and the evacuated failure domains.
/// Does no I/O, reads no clock, and is used from one thread.
class Membership {
 public:
  /// Entries that are removed during an outage of the registry, or up to this
  /// long after it, are kept until this long after it: they may have expired
  /// only because of the outage.
  static constexpr milliseconds kRemovalGrace{2000};

  /// Records that the registry could not be read up to `now`.
  void OnRegistryUnavailable(Instant now);
  /// Adds or replaces an entry unless a newer change of it is known.
  void Put(BackendEntry entry, Instant now);
  /// Removes an entry as of `position`, after a grace period if the registry
  /// was unavailable shortly before.
  void Remove(const std::string& instance, StorePosition position, Instant now);
  /// Applies a complete list as of `position`: removes entries that it lacks.
  void Replace(const std::vector<BackendEntry>& entries, StorePosition position,
               Instant now);
  /// Removes entries whose grace period has passed; returns whether there were
  /// any.
  bool RemoveExpired(Instant now);

  /// Sets the services that the configuration names, and returns whether they
  /// changed. Entries of other services belong to other users of the registry:
  /// they are no servers of the mesh, but may be once the service is named.
  /// Before the first call, all services count as named.
  bool SetServices(std::set<std::string> services);
  /// Returns whether `entry` is a server of the mesh.
  bool IsNamed(const BackendEntry& entry) const {
    return !services_ || services_->contains(entry.service);
  }
  /// Sets the failure domains that get no new calls.
  void SetEvacuated(std::set<std::string> domains) {
    evacuated_ = std::move(domains);
    ++epoch_;
  }
  /// Returns a number that changes with the entries and the evacuated domains.
  std::uint64_t epoch() const { return epoch_; }
  bool IsEvacuated(const std::string& domain) const {
    return evacuated_.contains(domain);
  }

  /// Returns all entries, those of unnamed services included.
  const std::map<std::string, BackendEntry>& entries() const {
    return entries_;
  }
  const BackendEntry* Find(const std::string& instance) const;
  /// Returns the newest entry of a named service at `address`, or null.
  const BackendEntry* FindByAddress(const std::string& address) const;
  /// Returns whether new calls may be sent to `entry`. After a restart, the
  /// entry of the previous instance at the same address may still be listed; it
  /// gets no calls.
  bool AcceptsCalls(const BackendEntry& entry) const {
    const bool excluded = entry.draining || IsEvacuated(entry.failure_domain);
    return !excluded && FindByAddress(entry.address) == &entry;
  }

 private:
  void Erase(const std::string& instance);

  std::map<std::string, BackendEntry> entries_;
  /// All listed instances by address.
  std::map<std::string, std::set<std::string>> instances_by_address_;
  /// Position of the removal, by instance.
  std::map<std::string, StorePosition> removal_positions_;
  std::map<std::string, Instant> expiring_;  ///< Removal time, by instance.
  std::set<std::string> evacuated_;
  std::optional<std::set<std::string>> services_;
  Instant unavailable_until_ = kNever;
  std::uint64_t epoch_ = 1;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_MEMBERSHIP_H_
