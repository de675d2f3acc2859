#include "wisteriarill/model/rate_oracle.h"

#include <algorithm>

#include "wisteriarill/version/deployment.h"

namespace wisteriarill {
namespace {

// Rounding of the floating-point levels here, far below one token.
constexpr double kTolerance = 1e-6;

double Tokens(std::int64_t micro) {
  return static_cast<double>(micro) / kMicroTokensPerToken;
}

}  // namespace

RateOracle::RateOracle(TokenRate size, Instant now)
    : size_(size),
      charged_{Tokens(size.burst), now},
      ideal_{Tokens(size.burst), now} {}

void RateOracle::Advance(Level* level, Instant now) const {
  const double elapsed = std::chrono::duration<double>(now - level->at).count();
  level->tokens = std::min(Tokens(size_.burst),
                           level->tokens + elapsed * Tokens(size_.rate));
  level->at = now;
}

void RateOracle::Resize(TokenRate size, Instant now) {
  Advance(&charged_, now);
  Advance(&ideal_, now);
  // What the larger of two buckets may hold beyond the smaller one.
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
  if (charged_.tokens < -kTolerance) ++tally_.overshoot;
}

void RateOracle::OnRefused(Instant now) {
  ++tally_.refused;
  Advance(&charged_, now);
  if (charged_.tokens >= 1) ++tally_.wrongly_refused;
}

}  // namespace wisteriarill
