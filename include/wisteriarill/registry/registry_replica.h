/// \file
/// Replica of the platform's registry: the published items and their positions
/// in the store's history. Nodes fetch it from the store or from each other.
#ifndef WISTERIARILL_REGISTRY_REGISTRY_REPLICA_H_
#define WISTERIARILL_REGISTRY_REGISTRY_REPLICA_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wisteriarill/process/time.h"
#include "wisteriarill/registry/era_carryover.h"
#include "wisteriarill/registry/registry_item.h"

namespace wisteriarill {

/// Applies batches in any order; its position never decreases. What counts is
/// what the store shows, and what is carried from an earlier era beside it.
/// Does no I/O, reads no clock, and is used from one thread.
class RegistryReplica {
 public:
  /// `stamper` outlives the replica. Without one, nothing is carried from one
  /// era to the next.
  explicit RegistryReplica(const ItemStamper* stamper = nullptr)
      : stamper_(stamper) {}

  /// Applies a batch and returns the items that changed in what counts,
  /// including removals. Drops a batch of an earlier era, and changes of a
  /// newer one that don't follow from this replica's position.
  std::vector<RegistryItem> Apply(const RegistryBatch& batch, Instant now);
  /// Lets go of what was carried for long enough; returns what changed by it.
  std::vector<RegistryItem> ReleaseExpired(Instant now);
  /// Returns what a node lacks that has the position `after`: the changes since
  /// then, or the complete list if they aren't all known.
  RegistryBatch MakeBatch(StorePosition after, Instant now) const;

  StorePosition position() const { return position_; }
  /// Returns whether a complete list was ever applied.
  bool complete() const { return complete_; }
  bool has_items() const { return !items_.empty(); }
  const EraCarryover& carryover() const { return carryover_; }
  /// Returns all items that count, by key.
  std::map<std::string, RegistryItem> Items() const;

 private:
  struct StoredItem {
    std::string value;
    StorePosition position;
    std::string compressed;
    StorePosition created;
  };
  struct Removal {
    StorePosition position;
    /// Of the item that was removed.
    StorePosition item_position;
    StorePosition item_created;
    ItemStamp stamp;
    std::uint64_t value_digest = 0;
    bool missing_from_copy = false;
  };
  /// What counted for a key before a new era.
  struct Former {
    std::optional<RegistryItem> item;  ///< Nothing: it was removed.
    Removal removal;
    bool carried = false;
  };
  using Formers = std::map<std::string, Former>;
  using StoredItems = std::map<std::string, StoredItem>;

  static RegistryItem MakeItem(const std::string& key, const StoredItem& item);
  ItemStamp StampOf(const RegistryItem& item) const;
  /// Returns the item that counts for `key`, or nothing.
  std::optional<RegistryItem> Effective(const std::string& key) const;
  /// Returns what the store shows of `key`, which `item` holds then.
  EraCarryover::Shown ShownOf(const std::string& key,
                              std::optional<RegistryItem>* item) const;

  /// Returns what counts for `key` as a change.
  RegistryItem ChangeOf(const std::string& key) const;
  /// Adds what counts for `keys` as changes, after something else counted that
  /// may be newer.
  void AddCarriedChanges(const std::set<std::string>& keys,
                         std::vector<RegistryItem>* changes) const;

  // Within an era.
  std::vector<RegistryItem> Merge(const RegistryBatch& batch, Instant now);
  /// Returns the position of an item in this era. Only peers of earlier eras
  /// need to know that an item is older.
  StorePosition PositionHere(const StoredItem& item) const;
  /// Applies an item of the store; returns whether what counts may change.
  bool ApplyItem(const RegistryItem& item);
  void RemoveItem(const std::string& key, StorePosition position,
                  bool missing_from_copy);
  /// Records the stamp of what counted for `key` until it was removed, if the
  /// store didn't show it.
  void RememberStamp(const std::string& key, const ItemStamp& stamp);
  void RemoveUnlisted(const RegistryBatch& batch, std::set<std::string>* keys);
  /// Returns whether this node has seen the removal of what a peer carries,
  /// which the peer may have missed.
  bool KnowsRemovalOf(const CarriedItem& carried) const;
  void MergeCarried(const RegistryBatch& batch, Instant now,
                    std::set<std::string>* keys);

  // Into a new era.
  bool CanEnter(const RegistryBatch& batch) const;
  std::vector<RegistryItem> Enter(const RegistryBatch& batch, Instant now);
  Formers TakeFormers() const;
  /// Adds an item that the new `era` shows to `items`.
  void EnterItem(const RegistryItem& item, StoreEra era, StoredItems* items);
  void ReplaceItems(const RegistryBatch& batch);
  void ChangeItems(const RegistryBatch& batch);
  void CarryOver(const Formers& formers, Instant now);
  /// Returns what must be carried of `former`, or nothing.
  std::optional<CarriedItem> MakeCarried(const std::string& key,
                                         const Former& former) const;
  void CarryReplacedServers(const Formers& formers, Instant now);
  /// Returns the changes in what counts since `formers`.
  std::vector<RegistryItem> ChangesFrom(const Formers& formers) const;
  /// Returns whether the store has lost the change at `position`, which an
  /// earlier era held and the copy lacks. If not, the copy knows a later change
  /// of the item that this node never heard of.
  bool IsLost(StorePosition position) const;

  /// Records that this replica went from one position to another without
  /// hearing of items that were created and removed in between. A node that has
  /// a position in between may hold such an item.
  void AddGap(StorePosition from, StorePosition to);
  bool HasGapAfter(StorePosition after) const;
  bool KnowsChangesSince(StorePosition after) const;
  RegistryBatch MakeChanges(StorePosition after) const;
  RegistryBatch MakeCompleteBatch() const;
  void ForgetOldRemovals();

  const ItemStamper* stamper_;
  StoredItems items_;  ///< As the store shows them.
  std::map<std::string, Removal> removals_;
  EraCarryover carryover_;
  /// Removals up to this position may be unknown.
  StorePosition removals_known_after_;
  StorePosition position_;
  bool complete_ = false;
  struct Gap {
    StorePosition from;
    StorePosition to;
  };
  std::vector<Gap> gaps_;  ///< By increasing position.
  /// The last position held in each earlier era.
  std::map<StoreEra, StorePosition> left_;
  /// Greatest revision that the copy is known to have in common with the era
  /// before, and whether this node held all that the copy has.
  std::uint64_t common_revision_ = 0;
  bool held_whole_copy_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REGISTRY_REGISTRY_REPLICA_H_
