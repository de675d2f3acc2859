/// \file
/// Published items, what they tell of themselves, and batches of them.
#ifndef WISTERIARILL_REGISTRY_REGISTRY_ITEM_H_
#define WISTERIARILL_REGISTRY_REGISTRY_ITEM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "wisteriarill/process/time.h"
#include "wisteriarill/registry/store_position.h"

namespace wisteriarill {

/// One published item, or its removal.
struct RegistryItem {
  std::string key;
  std::string value;
  /// Position of the change. An item that an era found in the copy keeps the
  /// position that it had in an earlier era.
  StorePosition position;
  bool removed = false;
  /// The value compressed for transfer, if it is long.
  std::string compressed;
  StorePosition created;  ///< Position of its creation; revision 0: unknown.
  /// A removal of which the store has told nothing: the copy from which an era
  /// began lacks the item.
  bool missing_from_copy = false;
};

/// Kind of a published item.
enum class ItemKind { kConfiguration, kServer, kEvacuation, kOther };

/// What an item tells of its own age, whatever the store's revisions are.
struct ItemStamp {
  ItemKind kind = ItemKind::kOther;
  /// Version of a configuration; start time of a server in Unix milliseconds.
  std::uint64_t start = 0;
  std::uint64_t sequence = 0;  ///< Count of a server's changes since its start.
  std::string address;         ///< Of a server.

  /// Returns whether the item with this stamp was written before `other`.
  bool IsBefore(const ItemStamp& other) const {
    if (start != other.start) return start < other.start;
    return sequence < other.sequence;
  }
};

/// Reads the stamps of items.
class ItemStamper {
 public:
  virtual ~ItemStamper() = default;
  /// Returns the stamp of `item`. An item that can't be read has the kind that
  /// its key tells, and start 0.
  virtual ItemStamp Stamp(const RegistryItem& item) const = 0;
};

/// Something of an earlier era that counts beside what the store shows: an
/// item, or that it was removed.
struct CarriedItem {
  RegistryItem item;
  ItemStamp stamp;  ///< Of the item, or of the one that was removed.
  /// Of an item that was removed: its revision and the digest of its value, by
  /// which it is known in the copy.
  StorePosition removed_position;
  std::uint64_t removed_digest = 0;
  /// A server that the store doesn't show at all.
  bool missing = false;
  milliseconds age{0};  ///< Time for which it has been carried.
};

/// Changes up to `position`, or the complete list as of `position`.
struct RegistryBatch {
  std::vector<RegistryItem> items;
  StorePosition position;
  bool complete = false;
  /// The changes complete the registry of a node that has this position.
  StorePosition after;
  /// Items that were created and removed again between `after` and `position`
  /// may be unknown to the sender.
  bool lacks_short_lived = false;
  std::vector<CarriedItem> carried;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REGISTRY_REGISTRY_ITEM_H_
