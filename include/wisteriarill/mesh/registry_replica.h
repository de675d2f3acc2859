/// \file
/// A copy of what the platform publishes, item by item, ordered by the
/// platform's revision. Nodes pass it on to each other.
#ifndef WISTERIARILL_MESH_REGISTRY_REPLICA_H_
#define WISTERIARILL_MESH_REGISTRY_REPLICA_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wisteriarill {

struct RegistryItem {
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool removed = false;
  bool value_left_out = false;  ///< The receiver has it already.
  std::string packed;           ///< The value as it travels, if it is long.
};

/// A change, or a complete list, up to `revision`.
struct RegistryBatch {
  std::vector<RegistryItem> items;
  std::uint64_t revision = 0;
  bool complete = false;
};

/// No I/O, no clock, one thread. Its revision never falls.
class RegistryReplica {
 public:
  /// Takes a batch and returns the items that it changed, removals included.
  std::vector<RegistryItem> Apply(const RegistryBatch& batch);
  /// Returns all items; values not changed after `after` are left out.
  RegistryBatch MakeCompleteBatch(std::uint64_t after) const;
  std::uint64_t revision() const { return revision_; }
  /// Returns whether a complete list was ever taken.
  bool complete() const { return complete_; }

 private:
  struct Held {
    std::string value;
    std::uint64_t revision = 0;
    std::string packed;
  };

  bool ApplyItem(const RegistryItem& item);
  void RemoveUnlisted(const RegistryBatch& batch,
                      std::vector<RegistryItem>* changes);

  std::map<std::string, Held> items_;
  std::map<std::string, std::uint64_t> removed_;
  std::uint64_t revision_ = 0;
  bool complete_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_REGISTRY_REPLICA_H_
