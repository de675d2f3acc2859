/// \file
/// The promise on rates, checked from outside: one bucket of the whole rate
/// and burst, charged with every call that was admitted anywhere.
#ifndef WISTERIARILL_MODEL_RATE_ORACLE_H_
#define WISTERIARILL_MODEL_RATE_ORACLE_H_

#include <cstdint>

#include "wisteriarill/process/time.h"
#include "wisteriarill/process/token_bucket.h"

namespace wisteriarill {

/// What happened to one workspace's calls.
struct RateTally {
  std::uint64_t offered = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t wrongly_refused = 0;  ///< Refused although a token was there.
  std::uint64_t overshoot = 0;        ///< Admitted although none was.
  std::uint64_t ideal = 0;            ///< What one bucket would have admitted.

  /// Returns the share of within-rate calls that were refused.
  double wrongly_refused_share() const {
    const std::uint64_t within = admitted + wrongly_refused;
    return within == 0 ? 0.0
                       : static_cast<double>(wrongly_refused) /
                             static_cast<double>(within);
  }
};

/// Judges the calls of one workspace in order of time.
class RateOracle {
 public:
  RateOracle(TokenRate size, Instant now);

  /// Judges later calls by `size`.
  void Resize(TokenRate size, Instant now);
  void OnOffered(Instant now);
  void OnAdmitted(Instant now);
  void OnRefused(Instant now);

  const RateTally& tally() const { return tally_; }

 private:
  /// A plain bucket that starts full and may go below zero.
  struct Level {
    double tokens = 0;
    Instant at;
  };

  void Advance(Level* level, Instant now) const;

  TokenRate size_;
  Level charged_;
  Level ideal_;
  RateTally tally_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MODEL_RATE_ORACLE_H_
