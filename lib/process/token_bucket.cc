#include "wisteriarill/process/token_bucket.h"

#include <algorithm>

#include "wisteriarill/process/invariant.h"
#include "wisteriarill/version/deployment.h"

namespace wisteriarill {
namespace {

using Wide = __int128;
constexpr std::int64_t kNanosPerSecond = 1'000'000'000;

}  // namespace

std::int64_t TokenBucket::Room() const {
  const std::int64_t given =
      static_cast<std::int64_t>(outstanding_) * kMicroTokensPerToken;
  return std::max<std::int64_t>(0, size_.burst - given);
}

void TokenBucket::Advance(Instant now) {
  if (now <= updated_) return;
  const Wide elapsed = (now - updated_).count();
  updated_ = now;
  const Wide accrued = elapsed * size_.rate + remainder_;
  const Wide level = level_ + accrued / kNanosPerSecond;
  if (level >= Room()) {
    // A full bucket accrues nothing, not even a fraction.
    level_ = Room();
    remainder_ = 0;
    return;
  }
  level_ = static_cast<std::int64_t>(level);
  remainder_ = static_cast<std::int64_t>(accrued % kNanosPerSecond);
  CheckBounds();
}

std::uint32_t TokenBucket::Take(std::uint32_t wanted) {
  const std::int64_t whole = level_ / kMicroTokensPerToken;
  const auto taken = static_cast<std::uint32_t>(
      std::min<std::int64_t>(wanted, std::max<std::int64_t>(whole, 0)));
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
  level_ = std::min(level_, Room());
  CheckBounds();
}

void TokenBucket::Resize(TokenRate size) {
  size_ = size;
  level_ = std::min(level_, Room());
  remainder_ = 0;
}

nanoseconds TokenBucket::UntilWholeToken() const {
  const std::int64_t lacking = kMicroTokensPerToken - level_;
  if (lacking <= 0) return nanoseconds::zero();
  if (size_.rate <= 0) return std::chrono::hours(1);
  const Wide wait = Wide{lacking} * kNanosPerSecond / size_.rate + 1;
  return nanoseconds(static_cast<std::int64_t>(wait));
}

void TokenBucket::CheckBounds() const {
  CheckInvariant(level_ >= 0, "token_level_not_negative");
  CheckInvariant(level_ <= Room(), "token_level_and_given_within_burst");
}

}  // namespace wisteriarill
