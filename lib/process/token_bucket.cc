#include "wisteriarill/process/token_bucket.h"

#include <algorithm>

#include "wisteriarill/process/invariant.h"
#include "wisteriarill/version/deployment.h"

namespace wisteriarill {
namespace {

using Int128 = __int128;
constexpr std::int64_t kNanosPerSecond = 1'000'000'000;

}  // namespace

std::int64_t TokenBucket::MaxLevel() const {
  const std::int64_t outstanding_micro_tokens =
      static_cast<std::int64_t>(outstanding_) * kMicroTokensPerToken;
  return std::max<std::int64_t>(0, size_.burst - outstanding_micro_tokens);
}

void TokenBucket::Advance(Instant now) {
  if (now <= updated_) return;
  const Int128 elapsed = (now - updated_).count();
  updated_ = now;
  const Int128 accrued = elapsed * size_.rate + remainder_;
  const Int128 level = level_ + accrued / kNanosPerSecond;
  if (level >= MaxLevel()) {
    // A full bucket accrues nothing, not even a fraction of a micro-token.
    level_ = MaxLevel();
    remainder_ = 0;
    return;
  }
  level_ = static_cast<std::int64_t>(level);
  remainder_ = static_cast<std::int64_t>(accrued % kNanosPerSecond);
  CheckBounds();
}

std::uint32_t TokenBucket::Take(std::uint32_t wanted) {
  const std::int64_t whole_tokens = level_ / kMicroTokensPerToken;
  const auto taken = static_cast<std::uint32_t>(
      std::min<std::int64_t>(wanted, std::max<std::int64_t>(whole_tokens, 0)));
  level_ -= taken * kMicroTokensPerToken;
  outstanding_ += taken;
  CheckBounds();
  return taken;
}

void TokenBucket::Settle(std::uint32_t spent, std::uint32_t returned) {
  if (!CheckInvariant(spent + returned <= outstanding_,
                      "settled_tokens_were_given")) {
    return;
  }
  outstanding_ -= spent + returned;
  level_ += static_cast<std::int64_t>(returned) * kMicroTokensPerToken;
  level_ = std::min(level_, MaxLevel());
  CheckBounds();
}

void TokenBucket::Resize(TokenRate size) {
  size_ = size;
  level_ = std::min(level_, MaxLevel());
  remainder_ = 0;
}

nanoseconds TokenBucket::TimeUntilWholeToken() const {
  const std::int64_t missing = kMicroTokensPerToken - level_;
  if (missing <= 0) return nanoseconds::zero();
  if (size_.rate <= 0) return std::chrono::hours(1);
  const Int128 wait = Int128{missing} * kNanosPerSecond / size_.rate + 1;
  return nanoseconds(static_cast<std::int64_t>(wait));
}

void TokenBucket::CheckBounds() const {
  CheckInvariant(level_ >= 0, "token_level_not_negative");
  CheckInvariant(level_ <= MaxLevel(), "token_level_and_given_within_burst");
}

}  // namespace wisteriarill
