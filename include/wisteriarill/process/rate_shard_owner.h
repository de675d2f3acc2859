/// \file
/// The owner's side of rate limiting: grants tokens of the rate shards that
/// this node owns, and none while the node can't be sure that it alone owns
/// them.
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

/// Timeouts that decide when a node may grant tokens of its shards.
struct RateShardOwnerOptions {
  RateShardOptions shard_options;
  /// How long granted tokens may be spent, counted from when they were
  /// requested.
  microseconds token_lifetime = seconds(1);
  /// Margin for clocks that run at different speeds.
  microseconds drift_margin = milliseconds(50);
  /// The owner grants no tokens if for this long no echo of a probe proved that
  /// peers can reach it.
  microseconds reachability_timeout = seconds(3);
  /// The owner grants no tokens if for `confirmation_timeout` no platform read
  /// confirmed its version and for `majority_timeout` it did not reach most of
  /// the sampled nodes.
  microseconds confirmation_timeout = seconds(180);
  microseconds majority_timeout = seconds(10);
  /// A node claims a shard from its former owner only if the previous version
  /// was confirmed within this time. Otherwise an older version may lie between
  /// the two, with another owner.
  microseconds max_claim_confirmation_age = seconds(15);
  /// If false, the owner uses its shards at once. Tests use this to show what
  /// the waits prevent.
  bool enforce_waits = true;

  /// How long an owner that may not have owned a shard before waits before it
  /// uses the shard.
  microseconds takeover_wait() const {
    return confirmation_timeout + max_claim_confirmation_age +
           reachability_timeout + token_lifetime + 4 * drift_margin;
  }
  /// How long an owner that takes over waits after it reached a majority
  /// itself, so that the majority of a former owner has expired.
  microseconds majority_wait() const {
    return kMajorityWindow + majority_timeout + token_lifetime +
           4 * drift_margin;
  }
  /// How long a new process waits before it grants any token.
  microseconds restart_wait() const {
    return reachability_timeout + token_lifetime + 2 * drift_margin;
  }
};

/// A claim to send to a shard's former owner.
struct OutgoingShardClaim {
  std::string former_owner;  ///< Name of its backend server.
  std::string address;       ///< Where its node accepts peers.
  ShardClaim claim;
};

/// Grants the tokens of the shards that one node owns. Does no I/O, reads no
/// clock, and is used by one thread.
class RateShardOwner {
 public:
  /// `self` is the name of the backend server beside this node.
  RateShardOwner(RateShardOwnerOptions options, std::string self,
                 Instant started);

  /// Applies a new version. Shards that have another owner now are given up at
  /// once.
  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot, Instant now);

  /// Replies to a request for tokens. Grants none if this node does not own the
  /// shard or may not grant tokens now.
  TokenLeaseReply OnTokenRequest(const TokenLeaseRequest& request, Instant now);

  /// Answers a claim with a release, or with nothing if this node owns the
  /// shard or can't tell whether it did.
  std::optional<ShardRelease> OnClaim(const ShardClaim& claim, Instant now);
  /// Processes a former owner's release.
  void OnRelease(const ShardRelease& release, Instant now);

  /// Processes what a peer knows of recent changes of ownership. Shortens the
  /// wait of a restarted process for shards that it has owned all along.
  void OnHistory(const OwnershipHistory& history, Instant now);
  /// Answers a peer's OwnershipHistoryRequest.
  OwnershipHistory AnswerHistory(const std::string& node, Instant now) const;
  /// Returns whether a peer's history could still shorten a wait.
  bool NeedsHistory(Instant now) const;

  /// Records that `version` was published on the platform at `published_at` or
  /// earlier. The wait for owners in older versions counts from then.
  void OnVersionPublished(const Version& version, Instant published_at,
                          Instant now);

  /// Records that a peer's echo proved this instance reachable, for a probe
  /// that was sent at `probed_at`.
  void OnReachabilityProved(Instant probed_at);
  /// Records that a platform read started at `read_at`, here or at a peer,
  /// confirmed the version in force.
  void OnVersionConfirmed(Instant read_at);
  /// Records that most of the sampled nodes were reached at `now`.
  void OnMajorityReached(Instant now);
  /// Returns whether a majority is needed to keep or take over shards.
  bool NeedsMajority(Instant now) const;

  /// Returns whether the restart wait and the timeouts allow granting tokens.
  bool MayGrant(Instant now) const;

  /// Returns the claims that are due. Called on a timer.
  std::vector<OutgoingShardClaim> TakeClaims(Instant now);

  /// Returns the number of shards that this node owns.
  std::size_t shard_count() const { return shards_.size(); }
  /// Returns the number of whole tokens that this node could grant at `now`.
  std::int64_t AvailableTokens(Instant now);

 private:
  using ShardKey = std::pair<std::string, std::uint16_t>;
  struct Lease {
    std::uint32_t left = 0;
    Instant expires;
  };
  /// An increase of the bucket's size that takes effect at `at`.
  struct PendingGrowth {
    TokenRate size;
    Instant at;
  };
  struct FormerOwner {
    std::string name;
    std::string address;
    Version held_in;  ///< In which it owned the shard.
    Version version;  ///< In which this node owns the shard.
  };
  struct OwnedShard {
    TokenBucket bucket;
    Instant usable_from;
    /// Only a node that reaches most of the mesh takes over a shard that may
    /// have had another owner.
    bool needs_majority = true;
    std::size_t shard_count = 0;  ///< Of the workspace.
    std::map<std::uint64_t, Lease> leases;
    std::optional<PendingGrowth> growth;
    std::optional<FormerOwner> former;  ///< Where to send claims.
    Instant next_claim = kNever;
  };
  /// What this node remembers of a shard that it gave up.
  struct FormerShard {
    Version held_in;
    Instant usable_from;
    Instant at;
    std::string released_to;
  };

  std::vector<std::pair<ShardKey, OwnedRateShard>> FindOwnedShards(
      const Snapshot& snapshot) const;
  void Acquire(const ShardKey& key, const OwnedRateShard& own, Instant now);
  void Resize(const OwnedRateShard& own, OwnedShard* shard, Instant now) const;
  void Drop(const ShardKey& key, const OwnedShard& shard, Instant now);
  std::optional<FormerOwner> FindFormerOwner(const ShardKey& key,
                                             Instant now) const;
  bool IsUnchanged(const ShardKey& key, const OwnershipHistory& history,
                   Instant now) const;
  static bool IsUsable(const OwnedShard& shard, Instant now);
  static void SetUsableFrom(Instant usable_from, OwnedShard* shard);
  void Update(OwnedShard* shard, Instant now) const;
  static void Settle(OwnedShard* shard,
                     const std::vector<TokenSettlement>& settlements);
  void GrantTokens(const TokenLeaseRequest& request, OwnedShard* shard,
                   Instant now, TokenLeaseReply* reply);

  const RateShardOwnerOptions options_;
  const std::string self_;
  const Instant started_;
  OwnershipChangeLog change_log_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::shared_ptr<const Snapshot> previous_;
  std::map<ShardKey, OwnedShard> shards_;
  std::map<ShardKey, FormerShard> former_shards_;
  std::uint64_t last_lease_id_ = 0;
  Instant last_reachable_ = kNever;
  Instant last_confirmed_ = kNever;
  Instant last_majority_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_RATE_SHARD_OWNER_H_
