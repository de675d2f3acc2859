/// \file
/// Test oracle for the guarantee on rates: a single token bucket with the
/// workspace's whole rate and burst, charged for every call that any node
/// admitted.
#ifndef WISTERIARILL_MODEL_RATE_ORACLE_H_
#define WISTERIARILL_MODEL_RATE_ORACLE_H_

#include <cstdint>

#include "wisteriarill/process/time.h"
#include "wisteriarill/process/token_bucket.h"

namespace wisteriarill {

/// Counts the calls of one workspace by what happened to them.
struct RateTally {
  std::uint64_t offered = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  /// Refused although the bucket held a token.
  std::uint64_t wrongly_refused = 0;
  /// Admitted although the bucket held no token.
  std::uint64_t overshoot = 0;
  /// Calls that a single bucket would admit.
  std::uint64_t ideal = 0;

  /// Returns the fraction of the calls within the rate that were refused. The
  /// calls within the rate are those admitted and those wrongly refused.
  double wrongly_refused_share() const {
    const std::uint64_t within = admitted + wrongly_refused;
    return within == 0 ? 0.0
                       : static_cast<double>(wrongly_refused) /
                             static_cast<double>(within);
  }
};

/// Checks the decisions on the calls of one workspace against a single token
/// bucket. Calls must be reported in order of time.
class RateOracle {
 public:
  RateOracle(TokenRate size, Instant now);

  /// Changes rate and burst to `size` for later calls. A larger burst adds the
  /// difference to the buckets at once.
  void Resize(TokenRate size, Instant now);
  /// Records that a call arrived.
  void OnOffered(Instant now);
  /// Records that a node admitted a call.
  void OnAdmitted(Instant now);
  /// Records that a node refused a call.
  void OnRefused(Instant now);

  const RateTally& tally() const { return tally_; }

 private:
  /// Token bucket that starts full and whose level may go below zero.
  struct Bucket {
    double tokens = 0;
    Instant at;
  };

  void Advance(Bucket* bucket, Instant now) const;

  TokenRate size_;
  Bucket charged_;  ///< Charged for each call that a node admitted.
  Bucket ideal_;    ///< Charged for each arriving call that it has a token for.
  RateTally tally_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MODEL_RATE_ORACLE_H_
