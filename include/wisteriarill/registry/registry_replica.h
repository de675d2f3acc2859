/// \file
/// Replica of the platform's registry: the published items and their
/// revisions. Nodes fetch it from the store or from each other.
#ifndef WISTERIARILL_REGISTRY_REGISTRY_REPLICA_H_
#define WISTERIARILL_REGISTRY_REGISTRY_REPLICA_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriarill {

/// One published item, or its removal.
struct RegistryItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;
  /// The value compressed for transfer, if it is long.
  std::string compressed;
  std::uint64_t created = 0;  ///< Revision of its creation; 0: unknown.
};

/// Changes up to `revision`, or the complete list as of `revision`.
struct RegistryBatch {
  std::vector<RegistryItem> items;
  std::uint64_t revision = 0;
  bool complete = false;
};

/// Applies batches in any order; its revision never decreases. Does no I/O,
/// reads no clock, and is used from one thread.
class RegistryReplica {
 public:
  /// Applies a batch and returns the items that changed, including removals.
  std::vector<RegistryItem> Apply(const RegistryBatch& batch);
  /// Returns what a node lacks that has revision `after`: the changes since
  /// then, or the complete list if the removals since then aren't all known.
  RegistryBatch MakeBatch(std::uint64_t after) const;
  std::uint64_t revision() const { return revision_; }
  /// Returns whether a complete list was ever applied.
  bool complete() const { return complete_; }
  bool has_items() const { return !items_.empty(); }

 private:
  struct StoredItem {
    std::string value;
    std::uint64_t revision = 0;
    std::string compressed;
    std::uint64_t created = 0;
  };

  bool ApplyItem(const RegistryItem& item);
  RegistryBatch MakeChanges(std::uint64_t after) const;
  RegistryBatch MakeCompleteBatch() const;
  void ForgetOldRemovals();
  void RemoveUnlisted(const RegistryBatch& batch,
                      std::vector<RegistryItem>* changes);

  std::map<std::string, StoredItem> items_;
  std::map<std::string, std::uint64_t> removal_revisions_;
  /// Removals up to this revision may be unknown.
  std::uint64_t removals_known_after_ = 0;
  std::uint64_t revision_ = 0;
  bool complete_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REGISTRY_REGISTRY_REPLICA_H_
