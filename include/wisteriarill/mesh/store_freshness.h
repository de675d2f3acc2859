/// \file
/// How long ago some node is known to have read the newest state of the store,
/// and whether nodes fail to read it. Both travel with the nodes' status, so a
/// node that no longer hears of fresh reads notices that nobody watches the
/// store for it.
#ifndef WISTERIARILL_MESH_STORE_FRESHNESS_H_
#define WISTERIARILL_MESH_STORE_FRESHNESS_H_

#include <algorithm>

#include "wisteriarill/mesh/peer_datagram.h"

namespace wisteriarill {

/// Keeps the times of the newest confirmed and of the newest failed read that
/// are known. Does no I/O, reads no clock, and is used from one thread.
class StoreFreshness {
 public:
  /// Without news for this long, the store counts as not being read. It covers
  /// the time that news takes to all nodes.
  static constexpr milliseconds kMaxAge{2500};

  /// Records that this node has the newest state of the store.
  void OnConfirmed(Instant now) { confirmed_at_ = now; }
  /// Records that this node could not read the store.
  void OnFailed(Instant now) { failed_at_ = now; }
  /// Records what a peer knows.
  void OnPeerStatus(const PeerStatus& status, Instant now) {
    confirmed_at_ = Newest(confirmed_at_, status.store_age, now);
    failed_at_ = Newest(failed_at_, status.store_failure_age, now);
  }

  /// Returns the time since the newest confirmed read.
  milliseconds Age(Instant now) const { return AgeOf(confirmed_at_, now); }
  /// Returns the time since the newest failed read.
  milliseconds FailureAge(Instant now) const { return AgeOf(failed_at_, now); }
  /// Returns whether no node can read the store. That none reads it proves
  /// nothing, because the nodes that watched it may have been killed.
  bool IsUnreachable(Instant now) const {
    return Age(now) > kMaxAge && failed_at_ > confirmed_at_;
  }

 private:
  static Instant Newest(Instant known, milliseconds age, Instant now) {
    return age < kUnknownAge ? std::max(known, Instant(now - age)) : known;
  }
  static milliseconds AgeOf(Instant at, Instant now) {
    if (at == kNever) return kUnknownAge;
    const auto age = std::chrono::duration_cast<milliseconds>(now - at);
    return std::clamp(age, milliseconds(0), kUnknownAge);
  }

  Instant confirmed_at_ = kNever;
  Instant failed_at_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_STORE_FRESHNESS_H_
