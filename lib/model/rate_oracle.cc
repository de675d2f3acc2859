#include "wisteriarill/model/rate_oracle.h"

#include <algorithm>

#include "wisteriarill/version/deployment.h"

namespace wisteriarill {
namespace {

// Tolerance in tokens for floating-point rounding errors of the bucket levels.
constexpr double kRoundingTolerance = 1e-6;

double Tokens(std::int64_t micro_tokens) {
  return static_cast<double>(micro_tokens) / kMicroTokensPerToken;
}

}  // namespace

RateOracle::RateOracle(TokenRate size, Instant now)
    : size_(size),
      charged_{Tokens(size.burst), now},
      ideal_{Tokens(size.burst), now} {}

void RateOracle::Advance(Bucket* bucket, Instant now) const {
  const double elapsed =
      std::chrono::duration<double>(now - bucket->at).count();
  bucket->tokens = std::min(Tokens(size_.burst),
                            bucket->tokens + elapsed * Tokens(size_.rate));
  bucket->at = now;
}

void RateOracle::Resize(TokenRate size, Instant now) {
  Advance(&charged_, now);
  Advance(&ideal_, now);
  // The tokens that a full bucket of the new size holds beyond a full bucket of
  // the old size.
  const double growth = std::max(0.0, Tokens(size.burst) - Tokens(size_.burst));
  charged_.tokens += growth;
  ideal_.tokens += growth;
  size_ = size;
}

void RateOracle::OnOffered(Instant now) {
  ++tally_.offered;
  Advance(&ideal_, now);
  if (ideal_.tokens < 1) return;
  ideal_.tokens -= 1;
  ++tally_.ideal;
}

void RateOracle::OnAdmitted(Instant now) {
  ++tally_.admitted;
  Advance(&charged_, now);
  charged_.tokens -= 1;
  if (charged_.tokens < -kRoundingTolerance) ++tally_.overshoot;
}

void RateOracle::OnRefused(Instant now) {
  ++tally_.refused;
  Advance(&charged_, now);
  if (charged_.tokens >= 1) ++tally_.wrongly_refused;
}

}  // namespace wisteriarill
