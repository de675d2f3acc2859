/// \file
/// What of an earlier era still counts although the store doesn't show it. The
/// failure it answers: a store that comes back from a copy has lost the last
/// seconds, and would take back a version, an evacuation or a server's leaving
/// that are in force.
#ifndef WISTERIARILL_REGISTRY_ERA_CARRYOVER_H_
#define WISTERIARILL_REGISTRY_ERA_CARRYOVER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wisteriarill/process/time.h"
#include "wisteriarill/registry/registry_item.h"

namespace wisteriarill {

/// The carried items of one node, by key. Each is let go when the store shows
/// something as new or newer, or after a time. Does no I/O, reads no clock, and
/// is used from one thread.
class EraCarryover {
 public:
  /// A server that the copy lacks is registered again within this time, or
  /// gone.
  static constexpr milliseconds kMissingServerTime{2000};
  /// Longer than the lease of any entry: one that the store still lists then is
  /// kept alive by its server.
  static constexpr milliseconds kListedServerTime{15000};
  /// An evacuation that nobody has ordered again after this time was wrongly
  /// taken for a lost one.
  static constexpr milliseconds kEvacuationTime{60000};

  /// What the store shows of a key.
  struct Shown {
    /// Null: nothing.
    const RegistryItem* item = nullptr;
    ItemStamp stamp;
  };

  /// Drops everything, for a new era.
  void Clear();
  /// Carries `carried`, unless it was let go before or something newer is
  /// carried already. Returns whether it is carried now and was not before.
  bool Add(CarriedItem carried, Instant now);
  /// Returns what is carried for `key`, or null.
  const CarriedItem* Find(const std::string& key) const;
  /// Lets go of what is carried for `key` if what the store shows now, after a
  /// change of that key, is as new.
  bool OnShown(const std::string& key, const Shown& shown);
  /// Returns whether `shown` is as new as `carried`. `changed` says that the
  /// store has changed the key since the era began.
  static bool IsAsNew(const Shown& shown, const CarriedItem& carried,
                      bool changed);
  /// Returns the items whose time is over, and lets go of them.
  std::vector<CarriedItem> TakeExpired(Instant now);

  /// Returns all carried items with their ages, for peers.
  std::vector<CarriedItem> List(Instant now) const;
  std::size_t size() const { return held_.size(); }
  /// Returns a number that differs if what nodes have to tell each other does;
  /// 0: there is nothing. Missing servers don't count, because they are let go
  /// within seconds.
  std::uint32_t digest() const { return digest_; }
  /// Returns whether a peer with this digest may carry what this node doesn't.
  bool LacksDigest(std::uint32_t digest) const {
    return digest != 0 && !known_digests_.contains(digest);
  }
  /// Records that all that a peer with this digest carries was added.
  void OnMerged(std::uint32_t digest) { known_digests_.insert(digest); }
  /// Returns the digest of a list of carried items.
  static std::uint32_t DigestOf(const std::vector<CarriedItem>& carried);

 private:
  struct Held {
    CarriedItem carried;
    Instant since = kNever;
  };

  static std::uint32_t DigestOf(const CarriedItem& carried);
  static std::optional<milliseconds> TimeLimit(const CarriedItem& carried);
  void LetGo(const std::string& key);
  void UpdateDigest();

  std::map<std::string, Held> held_;
  std::set<std::uint32_t> let_go_;  ///< Digests of single items.
  std::set<std::uint32_t> known_digests_;
  std::uint32_t digest_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REGISTRY_ERA_CARRYOVER_H_
