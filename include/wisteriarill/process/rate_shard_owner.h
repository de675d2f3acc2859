/// \file
/// The home side of rates: gives out the tokens of the parts whose home this
/// node is, and nothing while its right to them is not certain.
#ifndef WISTERIARILL_PROCESS_RATE_SHARD_OWNER_H_
#define WISTERIARILL_PROCESS_RATE_SHARD_OWNER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/process/ownership_change_log.h"
#include "wisteriarill/process/rate_shard_planner.h"
#include "wisteriarill/process/reachability_prober.h"
#include "wisteriarill/process/token_bucket.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// Times that decide when a home may use its parts.
struct RateShardOwnerOptions {
  RateShardOptions parts;
  /// How long a granted token may be spent, from when it was asked for.
  microseconds token_lifetime = seconds(1);
  /// Margin for clocks that run at different speeds.
  microseconds drift_margin = milliseconds(50);
  /// A home is fenced when no echo proved it reachable for so long.
  microseconds fence = seconds(3);
  /// A home is fenced when for so long no platform read confirmed its version
  /// and for majority_fence most of the sampled nodes were not reached.
  microseconds confirmation_timeout = seconds(180);
  microseconds majority_fence = seconds(10);
  /// A former home is only asked by a node whose former version was confirmed
  /// so recently; older versions between the two are then excluded.
  microseconds max_claim_confirmation_age = seconds(15);
  /// False switches the waits off, to show what they prevent.
  bool enforce_waits = true;

  /// A home that may not have held a part before waits so long for it.
  microseconds takeover_wait() const {
    return confirmation_timeout + max_claim_confirmation_age + fence + token_lifetime +
           4 * drift_margin;
  }
  /// After its own majority, a home that takes over waits so long for that of
  /// a former home to lapse.
  microseconds majority_wait() const {
    return kMajorityWindow + majority_fence + token_lifetime + 4 * drift_margin;
  }
  /// A new process waits so long before it gives out any token.
  microseconds restart_wait() const {
    return fence + token_lifetime + 2 * drift_margin;
  }
};

/// A claim to send to a part's former home.
struct OutgoingShardClaim {
  std::string former_owner;  ///< Name of its backend server.
  std::string address;      ///< Where its node accepts peers.
  ShardClaim claim;
};

/// The home decision of one node. No I/O, no clock, one thread.
class RateShardOwner {
 public:
  /// `self` is the name of the backend server this node stands beside.
  RateShardOwner(RateShardOwnerOptions options, std::string self, Instant started);

  /// Takes a new version; parts that moved away are dropped at once.
  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot, Instant now);

  /// Answers an ask; a home that may not give answers with none.
  TokenLeaseReply OnTokenRequest(const TokenLeaseRequest& ask, Instant now);

  /// Answers a claim with a release, or nothing while it holds or can't tell.
  std::optional<ShardRelease> OnClaim(const ShardClaim& claim, Instant now);
  /// Takes a former home's release.
  void OnRelease(const ShardRelease& release, Instant now);

  /// Takes what a peer knows of recent moves; shortens the wait of a
  /// restarted process for parts that were its own all along.
  void OnHistory(const OwnershipHistory& history, Instant now);
  /// Answers a peer's OwnershipHistoryRequest.
  OwnershipHistory AnswerHistory(const std::string& node, Instant now) const;
  /// Returns whether a peer's history may still shorten a wait.
  bool NeedsHistory(Instant now) const;

  /// Notes that `version` was published on the platform at `published_at` or
  /// earlier. A wait for homes of older versions counts from then.
  void OnVersionPublished(const Version& version, Instant published_at, Instant now);

  /// Notes that a peer's echo proved this instance reachable, for a probe
  /// that was sent at `probed_at`.
  void OnReachabilityProved(Instant probed_at);
  /// Notes that a platform read begun at `read_at` confirmed the version in
  /// force, here or at a peer.
  void OnVersionConfirmed(Instant read_at);
  /// Notes that most of the sampled nodes were reached at `now`.
  void OnMajorityReached(Instant now);
  /// Returns whether a majority is needed to keep or take over parts.
  bool NeedsMajority(Instant now) const;

  /// Returns whether the fences allow giving out tokens.
  bool MayGive(Instant now) const;

  /// Takes the claims that are due. Called on a timer.
  std::vector<OutgoingShardClaim> TakeClaims(Instant now);

  /// Returns how many parts this node is home to.
  std::size_t shard_count() const { return holdings_.size(); }
  /// Returns the whole tokens this home could give at `now`.
  std::int64_t AvailableTokens(Instant now);

 private:
  using PartKey = std::pair<std::string, std::uint16_t>;
  struct Grant {
    std::uint32_t left = 0;
    Instant expires;
  };
  /// A size in force until a time, when it gives way to a larger one.
  struct Growth {
    TokenRate size;
    Instant at;
  };
  struct FormerHome {
    std::string name;
    std::string address;
    Version held_in;
    Version version;
  };
  struct Holding {
    TokenBucket bucket;
    Instant usable_from;
    /// A part that may have had another home is only taken over by a node
    /// that reaches most of the mesh.
    bool needs_majority = true;
    std::size_t cut = 0;  ///< Parts that the workspace is cut into.
    std::map<std::uint64_t, Grant> grants;
    std::optional<Growth> growth;
    std::optional<FormerHome> former;  ///< To claim from.
    Instant next_claim = kNever;
  };
  /// What a home still knows of a part that it let go of.
  struct Dropped {
    Version held_in;
    Instant usable_from;
    Instant at;
    std::string released_to;
  };

  std::vector<std::pair<PartKey, OwnRatePart>> OwnParts(
      const Snapshot& snapshot) const;
  void Acquire(const PartKey& key, const OwnRatePart& own, Instant now);
  void Resize(const OwnRatePart& own, Holding* holding, Instant now) const;
  void Drop(const PartKey& key, const Holding& holding, Instant now);
  std::optional<FormerHome> FindFormerHome(const PartKey& key,
                                           Instant now) const;
  bool IsUnmoved(const PartKey& key, const OwnershipHistory& history,
                 Instant now) const;
  static bool IsUsable(const Holding& holding, Instant now);
  static void UseFrom(Instant usable_from, Holding* holding);
  void Update(Holding* holding, Instant now) const;
  static void Settle(Holding* holding,
                     const std::vector<TokenSettlement>& settlements);
  void Give(const TokenLeaseRequest& ask, Holding* holding, Instant now,
            TokenLeaseReply* answer);

  const RateShardOwnerOptions options_;
  const std::string self_;
  const Instant started_;
  HomeLog log_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::shared_ptr<const Snapshot> previous_;
  std::map<PartKey, Holding> holdings_;
  std::map<PartKey, Dropped> dropped_;
  std::uint64_t last_grant_ = 0;
  Instant reached_ = kNever;
  Instant confirmed_ = kNever;
  Instant majority_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_RATE_SHARD_OWNER_H_
