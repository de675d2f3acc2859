/// \file
/// The token bucket used for all rate limits. It is exact: it counts
/// micro-tokens and nanoseconds and carries the remainder of each accrual over.
#ifndef WISTERIARILL_PROCESS_TOKEN_BUCKET_H_
#define WISTERIARILL_PROCESS_TOKEN_BUCKET_H_

#include <cstdint>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Rate and burst of a bucket or of a shard of one.
struct TokenRate {
  std::int64_t rate = 0;   ///< Micro-tokens per second.
  std::int64_t burst = 0;  ///< Micro-tokens.
  friend bool operator==(const TokenRate&, const TokenRate&) = default;
};

/// A token bucket whose tokens are granted before they are spent. Tokens
/// granted but not settled count against the burst. So no interval sees more
/// than burst + rate x length tokens spent, whenever the granted ones are
/// spent.
class TokenBucket {
 public:
  /// The bucket is empty at `now`.
  TokenBucket(TokenRate size, Instant now) : size_(size), updated_(now) {}

  /// Accrues tokens up to `now`; an earlier `now` changes nothing.
  void Advance(Instant now);

  /// Grants up to `wanted` whole tokens and returns how many.
  std::uint32_t Take(std::uint32_t wanted);

  /// Settles granted tokens: `spent` tokens are gone, `returned` tokens go back
  /// into the bucket. Their sum must not exceed outstanding().
  void Settle(std::uint32_t spent, std::uint32_t returned);

  /// Changes the size; a decrease takes effect at once.
  void Resize(TokenRate size);

  /// Returns the time until the bucket has a whole token, zero if it has one.
  nanoseconds TimeUntilWholeToken() const;

  TokenRate size() const { return size_; }
  std::int64_t level() const { return level_; }
  /// Returns the number of tokens granted and not settled.
  std::uint32_t outstanding() const { return outstanding_; }

 private:
  std::int64_t MaxLevel() const;
  void CheckBounds() const;

  TokenRate size_;
  Instant updated_;
  std::int64_t level_ = 0;
  std::int64_t remainder_ = 0;  ///< Micro-token nanoseconds per second.
  std::uint32_t outstanding_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_TOKEN_BUCKET_H_
