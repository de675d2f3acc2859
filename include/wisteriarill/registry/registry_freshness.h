/// \file
/// How old the registry that a node holds may be. The failure it answers: a
/// node hears that the store is read, but what was read doesn't reach it. What
/// others hold is not the age of what this node holds, so a read of another
/// node counts here only once this node holds all that was read.
#ifndef WISTERIARILL_REGISTRY_REGISTRY_FRESHNESS_H_
#define WISTERIARILL_REGISTRY_REGISTRY_FRESHNESS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "wisteriarill/process/time.h"
#include "wisteriarill/registry/event_filter.h"
#include "wisteriarill/registry/store_position.h"

namespace wisteriarill {

/// What a node says of the registry that it holds.
struct RegistryClaim {
  StorePosition position;  ///< It holds all changes up to this one.
  /// The read of the store that showed `position` to be the newest.
  ToldEvent read;
};

/// Knows since when newer positions than the held one exist, and when the held
/// one was last known to be the newest. Does no I/O, reads no clock, and is
/// used from one thread.
class RegistryFreshness {
 public:
  /// Age from which the store counts as not being read.
  static constexpr milliseconds kMaxAge{2500};
  /// Number of newer positions that are told apart. Beyond it, the newest ones
  /// share the time at which the first of them was heard of.
  static constexpr std::size_t kMaxNewerPositions = 32;

  /// `source` is a number that this process drew, not 0.
  explicit RegistryFreshness(std::uint32_t source) : own_source_(source) {}

  /// Records that this node holds all changes up to `position`.
  void OnHeld(StorePosition position);
  /// Records that what this node holds was the newest state of the store at
  /// `at`, as its own read of the store showed.
  void OnConfirmed(Instant at);
  /// Records what a peer holds. Its reads in an earlier era say nothing about
  /// this one.
  void OnPeerClaim(const RegistryClaim& claim, Instant now);
  /// Records that this node could not read the store.
  void OnFailed(Instant now) { OnFailureHeard(milliseconds(0), now); }
  /// Records that some node could not read the store `age` ago.
  void OnFailureHeard(milliseconds age, Instant now);

  /// Records that this node begins to read the store in the place of others.
  void OnReadBegun(Instant now);
  /// Records that a node of this failure domain began to do so.
  void OnReadBegunHeard(const ToldEvent& begun, Instant now);

  /// Returns what this node can say of the registry that it holds. A change
  /// that it lacks was made at most that long ago.
  RegistryClaim Claim(Instant now) const;
  milliseconds Age(Instant now) const;
  /// Returns the time since the newest failed read of the store.
  milliseconds FailureAge(Instant now) const;
  /// Returns the time since a node of this failure domain last began to read
  /// the store in the place of others.
  milliseconds ReadBegunAge(Instant now) const;
  /// Returns that event, for peers.
  ToldEvent ReadBegun(Instant now) const;
  /// Returns whether no node can read the store. That none reads it proves
  /// nothing, because the nodes that watched it may have been killed.
  bool IsUnreachable(Instant now) const;

  /// Returns the newest position that this node has heard of.
  StorePosition known_position() const;
  /// Returns for how long this node has known of a position that it doesn't
  /// hold; zero if it knows of none.
  milliseconds BehindFor(Instant now) const;

 private:
  /// An event and when it was, by the clock of this node.
  struct Event {
    Instant at = kNever;
    std::uint32_t source = 0;
    std::uint32_t sequence = 0;
  };
  /// A position that this node doesn't hold.
  struct NewerPosition {
    StorePosition position;
    Instant heard_at = kNever;  ///< When this node first heard of it.
    /// When it was last known to be the newest of the store, and by what.
    Event confirmed;
  };

  void AddNewer(StorePosition position, const Event& confirmed, Instant now);
  void Confirm(const Event& read);
  /// Returns since when the held position is known not to be the newest.
  Instant outdated_since() const;

  static ToldEvent Tell(const Event& event, Instant now);

  std::uint32_t own_source_;
  std::uint32_t own_sequence_ = 0;
  StorePosition held_;
  Event confirmed_;
  Event read_begun_;
  Instant failed_at_ = kNever;
  EventFilter reads_;
  EventFilter begun_reads_;
  /// By increasing position, which is also the order of `heard_at`.
  std::vector<NewerPosition> newer_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REGISTRY_REGISTRY_FRESHNESS_H_
