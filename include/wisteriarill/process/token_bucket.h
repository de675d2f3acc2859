/// \file
/// The token bucket that all rate decisions are made of. Exact: micro-tokens
/// and nanoseconds, with the remainder of each accrual carried on.
#ifndef WISTERIARILL_PROCESS_TOKEN_BUCKET_H_
#define WISTERIARILL_PROCESS_TOKEN_BUCKET_H_

#include <cstdint>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Rate and burst of a bucket or of a part of one.
struct TokenRate {
  std::int64_t rate = 0;   ///< Micro-tokens a second.
  std::int64_t burst = 0;  ///< Micro-tokens.
  friend bool operator==(const TokenRate&, const TokenRate&) = default;
};

/// A bucket whose tokens are given out before they are spent. Tokens given
/// but not settled count against the burst, so whoever spends them whenever,
/// no interval sees more than burst + rate x length.
class TokenBucket {
 public:
  /// Starts empty at `now`.
  TokenBucket(TokenRate size, Instant now) : size_(size), updated_(now) {}

  /// Accrues up to `now`; an earlier `now` changes nothing.
  void Advance(Instant now);

  /// Gives out up to `wanted` whole tokens and returns how many.
  std::uint32_t Take(std::uint32_t wanted);

  /// Settles given tokens: `spent` ones are gone, `returned` ones go back
  /// into the level. Together at most outstanding().
  void Settle(std::uint32_t spent, std::uint32_t returned);

  /// Changes the size; a decrease is in force at once.
  void Resize(TokenRate size);

  /// Returns the time until a whole token is there, zero if one is.
  nanoseconds UntilWholeToken() const;

  TokenRate size() const { return size_; }
  std::int64_t level() const { return level_; }
  /// Returns the tokens given out and not settled.
  std::uint32_t outstanding() const { return outstanding_; }

 private:
  std::int64_t Room() const;
  void CheckBounds() const;

  TokenRate size_;
  Instant updated_;
  std::int64_t level_ = 0;
  std::int64_t remainder_ = 0;  ///< Micro-token nanoseconds per second.
  std::uint32_t outstanding_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_TOKEN_BUCKET_H_
