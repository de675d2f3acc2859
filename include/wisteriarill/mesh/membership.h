/// \file
/// The registered backend servers, as the platform's registry lists them.
#ifndef WISTERIARILL_MESH_MEMBERSHIP_H_
#define WISTERIARILL_MESH_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// One life of one backend server.
struct BackendEntry {
  std::string instance;
  std::string service;
  std::string ip;       ///< Of the VM that it shares with its node.
  std::string address;  ///< IP:port of the backend server itself.
  std::string failure_domain;
  std::uint32_t slots = 1;  ///< Requests that it runs at once.
  bool draining = false;
  milliseconds cold_remaining{0};   ///< At the time of `revision`.
  std::uint64_t revision = 0;  ///< Of the registry, at the last change.
  /// When it started, by its own clock; zero: it did not say.
  std::chrono::sys_time<milliseconds> started{};

  /// Returns whether this life began after `other`'s.
  bool BeganAfter(const BackendEntry& other) const {
    if (started != other.started) return started > other.started;
    return revision > other.revision;
  }
};

/// The registry's state at one node. No I/O, no clock, one thread.
class Membership {
 public:
  /// How long a lapsed entry is kept after the registry was away.
  static constexpr milliseconds kLapseGrace{2000};

  /// Notes that the registry could not be read up to `now`.
  void OnRegistryUnavailable(Instant now);
  /// Takes a new or changed entry; older revisions are ignored.
  void Put(BackendEntry entry, Instant now);
  /// Takes the removal of an entry at `revision`.
  void Remove(const std::string& instance, std::uint64_t revision, Instant now);
  /// Takes a complete list as of `revision`: what it lacks is removed.
  void Replace(const std::vector<BackendEntry>& entries, std::uint64_t revision,
               Instant now);
  /// Drops entries whose grace has passed; returns whether any was.
  bool RemoveExpired(Instant now);

  /// Takes the failure domains that get no new work.
  void SetEvacuated(std::set<std::string> domains) {
    evacuated_ = std::move(domains);
  }
  bool IsEvacuated(const std::string& domain) const {
    return evacuated_.contains(domain);
  }

  const std::map<std::string, BackendEntry>& entries() const {
    return entries_;
  }
  const BackendEntry* Find(const std::string& instance) const;
  /// Returns the newest entry at `address`, or null.
  const BackendEntry* FindByAddress(const std::string& address) const;
  /// Returns whether `entry` may be sent new work. The entry of an earlier
  /// life at its address names nobody, though it may not have lapsed yet.
  bool AcceptsCalls(const BackendEntry& entry) const {
    const bool out = entry.draining || IsEvacuated(entry.failure_domain);
    return !out && FindByAddress(entry.address) == &entry;
  }

 private:
  void Erase(const std::string& instance);

  std::map<std::string, BackendEntry> entries_;
  /// Instances by address, all lives that are listed.
  std::map<std::string, std::set<std::string>> lives_;
  std::map<std::string, std::uint64_t> removed_;  ///< Revision by instance.
  std::map<std::string, Instant> lapsing_;        ///< When each is dropped.
  std::set<std::string> evacuated_;
  Instant away_until_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_MEMBERSHIP_H_
