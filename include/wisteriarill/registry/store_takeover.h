/// \file
/// Decides how long a node relies on others to read the store for it. The
/// failures it answers are the loss of all nodes that read the store, and reads
/// of others that don't reach this node: it must not act on an old
/// configuration past the bound, and thousands of nodes must not all read at
/// once.
#ifndef WISTERIARILL_REGISTRY_STORE_TAKEOVER_H_
#define WISTERIARILL_REGISTRY_STORE_TAKEOVER_H_

#include <cstddef>
#include <string_view>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// The times of one node, derived from the bound within which a published
/// change must be in force at all nodes. All ages are those of what the node
/// holds (RegistryFreshness::Age). Does no I/O and reads no clock.
class StoreTakeover {
 public:
  /// Time in which a node connects to the store, lists it and applies the list.
  static constexpr milliseconds kReadTime{300};
  /// Time in which what one node has read reaches all others.
  static constexpr milliseconds kSpreadTime{500};
  /// Smallest bound that leaves time to hear of others' reads.
  static constexpr milliseconds kMinBound{1500};

  /// `node` is the node's address; it spreads the nodes' takeovers.
  StoreTakeover(milliseconds bound, std::string_view node);

  /// Returns the age at which any node has begun to read the store itself.
  milliseconds max_age() const { return max_age_; }
  /// Returns the age at which a node that waits for another's read begins one
  /// of its own. It leaves no time for passing it on, but for a slow read.
  milliseconds max_waiting_age() const { return bound_ - 2 * kReadTime; }
  /// Returns the age from which the node asks members of the control group
  /// whether they still read.
  milliseconds ask_age() const { return max_age_ / 2; }
  /// Returns the age from which the node reads the store itself if its failure
  /// domain has `node_count` nodes, whichever of them are alive. It lies in the
  /// last third of max_age(). In each equal part of that third, the nodes that
  /// begin multiply by the same factor: about one node begins at once, and all
  /// have begun at the end. So few read before the first of them has told the
  /// others of its read.
  milliseconds TakeoverAge(std::size_t node_count) const;
  /// Returns the time in which peers usually bring what one of them has read.
  milliseconds peer_time() const { return peer_time_; }
  /// Returns for how long the node leaves a revision that it has heard of to
  /// its peers, before it reads the store itself. It lies between peer_time()
  /// and twice that, spread like TakeoverAge().
  milliseconds MaxPeerWait(std::size_t node_count) const;
  /// Returns whether the node should read the store itself. It holds what is
  /// `age` old, and has lacked a revision that it has heard of for `behind`. A
  /// read that a node of its failure domain began `read_begun_age` ago is
  /// waited for, but not past max_waiting_age().
  bool ShouldRead(milliseconds age, milliseconds behind,
                  milliseconds read_begun_age, std::size_t node_count) const;
  /// Returns for how long a node that took over reads the store at least. Those
  /// it stands in for may read again at once, and not reach it.
  milliseconds min_stand_in_time() const { return bound_; }
  /// Returns whether the node should pass on at once that the store is read
  /// again. `before` and `after` are the ages before and after it heard so.
  /// The same holds for a read that begins.
  bool ShouldAnnounce(milliseconds before, milliseconds after) const {
    return before > ask_age() && after <= ask_age() / 2;
  }

 private:
  /// Returns by which part of the time within which all nodes begin to read
  /// this one does, from 0 to 1.
  double StartingPart(std::size_t node_count) const;

  milliseconds bound_;
  milliseconds max_age_;
  milliseconds peer_time_;
  double rank_;  ///< Uniform in (0, 1] over the nodes.
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REGISTRY_STORE_TAKEOVER_H_
