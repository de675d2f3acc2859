/// \file
/// Rate limits of workspaces over all nodes. Each node holds one share of every
/// workspace's rate, rate / nodes, and leases it for a short time to the
/// workspace's owner: the live node with the highest rendezvous score. The
/// owner grants tokens at the rate of the shares that are leased to it. A node
/// that is cut off from all others is its own owner and uses its own share, so
/// the shares in use never add up to more than the rate under any partition.
#ifndef WISTERIARILL_MESH_RATE_SHARES_H_
#define WISTERIARILL_MESH_RATE_SHARES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wisteriarill/mesh/mesh_config.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Duration of the lease of a share, from its sending.
inline constexpr milliseconds kShareLeaseDuration{600};
/// Lifetime of a token, from its grant.
inline constexpr milliseconds kTokenLifetime{2000};

/// Fraction of the published rate by which owners may exceed it.
struct RateTolerance {
  double excess = 0;  ///< 0: never exceed the rate.
};

/// What an owner did for one workspace since the last report.
struct RateShareReport {
  std::string workspace;
  double rate = 0;                ///< Published rate, requests per second.
  std::size_t leased_shares = 0;  ///< Shares leased to the owner.
  std::size_t nodes = 0;          ///< Nodes, each of which holds a share.
  double level = 0;               ///< Tokens in the bucket.
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;  ///< Requests that got no token.
};

/// The owner's side: grants the tokens of the workspaces that it owns.
class RateShareOwner {
 public:
  explicit RateShareOwner(RateTolerance tolerance) : tolerance_(tolerance) {}

  /// Sets the workspaces of the current configuration.
  void Configure(const std::vector<MeshWorkspace>& workspaces);
  /// Sets the number of nodes, each of which holds one share.
  void SetNodeCount(std::size_t nodes);
  /// Records that `node` leases its share for kShareLeaseDuration from `now`.
  void AddLease(const std::string& workspace, const std::string& node,
                Instant now);
  /// Grants up to `wanted` tokens; returns how many.
  std::uint32_t Grant(const std::string& workspace, std::uint32_t wanted,
                      Instant now);
  /// Returns the reports of the workspaces for which requests were refused
  /// since the last call, and resets the counts.
  std::vector<RateShareReport> TakeReports();
  /// Returns the expected time until a token is available.
  milliseconds TimeUntilToken(const std::string& workspace, Instant now);

 private:
  struct TokenBucketState {
    double rate = 0;
    double burst = 0;
    double level = 0;
    Instant updated_at = kNever;
    std::map<std::string, Instant> lease_ends;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
  };

  void Refill(TokenBucketState* bucket, Instant now);
  double LeasedFraction(const TokenBucketState& bucket) const;

  RateTolerance tolerance_;
  std::size_t node_count_ = 1;
  std::map<std::string, TokenBucketState> buckets_;
};

/// One node's side for one workspace: requests tokens, spends them, and leases
/// the node's share.
class RateShareClient {
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

  /// Returns whether the share may be leased to `owner` at `now`: only one
  /// owner holds it at a time.
  bool CanLeaseTo(const std::string& owner, Instant now) const;
  void OnLeased(const std::string& owner, Instant now);

  bool request_pending = false;   ///< A token request is pending.
  Instant request_sent = kNever;  ///< When the token request was sent.

 private:
  double tokens_ = 0;
  double demand_ = 0;  ///< Requests per second, smoothed.
  Instant demand_updated_ = kNever;
  Instant last_grant_ = kNever;
  Instant refused_until_ = kNever;
  milliseconds retry_after_{0};  ///< As the owner estimated it.
  std::string leased_to_;
  Instant leased_until_ = kNever;
};

/// Returns the owner of `workspace` among `nodes`, which must not be empty.
const std::string& OwnerOf(const std::string& workspace,
                           const std::vector<std::string>& nodes);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_RATE_SHARES_H_
