/// \file
/// Rate limits of workspaces over all nodes. Each workspace has one owner, the
/// registered node with the highest rendezvous score, which grants tokens at
/// the workspace's rate to the nodes that ask for them. Only workspaces in use
/// cause messages. If the owner is silent, the next node in the order of
/// RateOwnerSelector grants tokens, once it has found all before it silent
/// itself, so each side of a partition has one owner. An owner grants the part
/// of the rate that its reach is of all nodes: the parts of the sides add up to
/// one.
#ifndef WISTERIARILL_MESH_RATE_TOKENS_H_
#define WISTERIARILL_MESH_RATE_TOKENS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriarill/mesh/mesh_config.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Lifetime of a token, from its grant.
inline constexpr milliseconds kTokenLifetime{2000};

/// By how much the requests of a workspace may exceed its rate and burst in any
/// `window`.
struct RateTolerance {
  double excess = 0;  ///< Fraction of the rate; 0: never exceed it.
  double slack = 0;   ///< Requests, whatever the rate.
  milliseconds window{5000};
};

/// What an owner did for one workspace since the last report.
struct RateOwnerReport {
  std::string workspace;
  double rate = 0;   ///< Published rate, requests per second.
  double reach = 1;  ///< Fraction of the nodes that this node reaches.
  double level = 0;  ///< Tokens in the bucket.
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;  ///< Requests that got no token.
};

/// The owner's side: grants the tokens of the workspaces that it owns. Does no
/// I/O, reads no clock, and is used from one thread.
class RateTokenOwner {
 public:
  explicit RateTokenOwner(RateTolerance tolerance) : tolerance_(tolerance) {}

  /// Sets the workspaces of the current configuration.
  void Configure(const std::vector<MeshWorkspace>& workspaces);
  /// Sets whether this node ranks first for `workspace`. Tokens only
  /// accumulate at the owner: a node that becomes one begins without any.
  void SetOwned(const std::string& workspace, bool owned, Instant now);
  /// Records that this node owns `workspace` for a short time from `now`,
  /// because the nodes before it are silent. Returns whether it didn't own it
  /// before. It then grants nothing until its reach is measured anew: it may be
  /// one of many nodes that are cut off.
  bool ActAsOwner(const std::string& workspace, Instant now);
  /// After ActAsOwner: accepts a reach by probes that were sent after `since`.
  void RequireReachSince(const std::string& workspace, Instant since);
  /// Sets the fraction of the nodes that this node reaches, itself included, by
  /// probes that were sent after `measured_since`. A lower one is in force at
  /// once, a higher one only after a while: when a partition ends, the owners
  /// on its sides go on until they hear each other.
  void SetReach(double reach, Instant measured_since, Instant now);
  /// Returns whether the part of the rate that this node may grant is known.
  bool KnowsPart(const std::string& workspace) const;
  /// Grants up to `wanted` tokens; returns how many.
  std::uint32_t Grant(const std::string& workspace, std::uint32_t wanted,
                      Instant now);
  /// Returns the reports of the workspaces for which requests were refused
  /// since the last call, and resets the counts.
  std::vector<RateOwnerReport> TakeReports();
  /// Returns the expected time until a token is available.
  milliseconds TimeUntilToken(const std::string& workspace, Instant now);

 private:
  struct TokenBucketState {
    double rate = 0;
    double burst = 0;
    double level = 0;
    Instant updated_at = kNever;
    bool owned = false;
    Instant acting_since = kNever;
    Instant acting_until = kNever;
    Instant reach_since = kNever;  ///< See RequireReachSince.
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
  };

  /// Returns the rate at which tokens accumulate, with the part of the
  /// tolerance that owners use.
  double RefillRate(const TokenBucketState& bucket) const;
  bool KnowsPart(const TokenBucketState& bucket) const;
  /// Returns the part of the rate that may be granted now.
  double RatePart(const TokenBucketState& bucket, Instant now) const;
  void Refill(TokenBucketState* bucket, Instant now) const;

  RateTolerance tolerance_;
  double reach_ = 1;
  Instant reach_measured_since_ = kNever;
  double higher_reach_ = 0;  ///< Lowest one since `higher_since_`.
  Instant higher_since_ = kNever;
  std::map<std::string, TokenBucketState> buckets_;
};

/// One node's side for one workspace: requests tokens and spends them.
class RateTokenClient {
 public:
  /// Spends a token; returns false if there is none.
  bool TryTakeToken(Instant now);
  /// Adds granted tokens. Zero is a refusal: no tokens are expected before
  /// `retry_after` has passed.
  void OnGrant(std::uint32_t tokens, milliseconds retry_after, Instant now);
  /// Records that one request needs a token.
  void RecordDemand(Instant now);
  /// Returns how many tokens to request from the owner now; zero: none.
  std::uint32_t TokensToRequest(Instant now) const;
  /// Returns whether the owner refused so recently that another request would
  /// be refused, too.
  bool IsRefused(Instant now) const { return now < refused_until_; }
  /// Returns the delay to report to a caller whose request is over the rate.
  milliseconds RetryAfter(Instant now) const;

  bool request_pending = false;   ///< A token request is pending.
  Instant request_sent = kNever;  ///< When the token request was sent.

 private:
  double tokens_ = 0;
  double demand_ = 0;  ///< Requests per second, smoothed.
  Instant demand_updated_ = kNever;
  Instant last_grant_ = kNever;
  Instant refused_until_ = kNever;
  milliseconds retry_after_{0};  ///< As the owner estimated it.
};

/// Returns the first `count` of `nodes` in the order in which they own
/// `workspace`: a node owns it if those before it are silent.
std::vector<std::string> RankOwners(std::string_view workspace,
                                    const std::vector<std::string>& nodes,
                                    std::size_t count);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_RATE_TOKENS_H_
