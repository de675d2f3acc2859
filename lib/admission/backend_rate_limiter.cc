#include "wisteriarill/admission/backend_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace wisteriarill {
namespace {

/// A server that takes fewer requests per second still gets this many: only its
/// responses tell that it takes more again.
constexpr double kMinRate = 0.5;
/// Time for which unused requests are kept.
constexpr std::chrono::duration<double> kMaxUnused{0.25};
/// Tolerance for the rounding of a wait to whole microseconds.
constexpr double kRoundingTolerance = 1e-3;

double SecondsBetween(Instant from, Instant to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

double MaxTokens(double rate) {
  return std::max(1.0, rate * kMaxUnused.count());
}

}  // namespace

void BackendRateLimiter::SetRate(std::optional<double> rate, Instant now) {
  const double new_rate = rate ? std::max(*rate, kMinRate) : 0;
  if (new_rate == rate_) return;
  const double tokens = limited() ? TokensAt(now) : 0;
  rate_ = new_rate;
  tokens_ = std::min(tokens, MaxTokens(new_rate));
  tokens_at_ = now;
}

double BackendRateLimiter::TokensAt(Instant now) const {
  return std::min(MaxTokens(rate_),
                  tokens_ + rate_ * SecondsBetween(tokens_at_, now));
}

void BackendRateLimiter::OnSent(Instant now) {
  if (!limited()) return;
  tokens_ = TokensAt(now) - 1;
  tokens_at_ = std::max(tokens_at_, now);
}

microseconds BackendRateLimiter::WaitBehind(std::uint32_t before,
                                            Instant now) const {
  if (!limited()) return microseconds(0);
  const double missing = before + 1 - TokensAt(now);
  if (missing <= kRoundingTolerance) return microseconds(0);
  return microseconds(
      static_cast<std::int64_t>(std::ceil(1e6 * missing / rate_)));
}

microseconds BackendRateLimiter::interval() const {
  if (!limited()) return microseconds(0);
  return microseconds(static_cast<std::int64_t>(1e6 / rate_));
}

}  // namespace wisteriarill
