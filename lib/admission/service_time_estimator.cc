#include "wisteriarill/admission/service_time_estimator.h"

#include <algorithm>

namespace wisteriarill {
namespace {

/// Expected before any call has run.
constexpr microseconds kInitialServiceTime{50000};
/// Weight of a new sample in a route's service time.
constexpr double kTimeSmoothing = 1.0 / 16;
/// Weight of a call in the routes' shares. Shares change more slowly than
/// speeds.
constexpr double kShareSmoothing = 1.0 / 128;
/// Calls of further routes count as one.
constexpr std::size_t kMaxRoutes = 32;
/// VMs share processors, whose load changes several times a second.
constexpr milliseconds kWorkFactorLifetime{500};
constexpr double kMinWorkFactor = 0.1;
constexpr double kMaxWorkFactor = 100;

}  // namespace

void ServiceTimeEstimator::OnWorkFactor(double factor, Instant now) {
  work_factor_ = std::clamp(factor, kMinWorkFactor, kMaxWorkFactor);
  work_factor_at_ = now;
}

double ServiceTimeEstimator::WorkFactor(Instant now) const {
  const bool known =
      work_factor_at_ != kNever && now < work_factor_at_ + kWorkFactorLifetime;
  return known ? work_factor_ : 1;
}

void ServiceTimeEstimator::OnServiceTime(const std::string& route,
                                         microseconds service_time,
                                         Instant now) {
  if (service_time.count() <= 0) return;
  const double micros =
      static_cast<double>(service_time.count()) / WorkFactor(now);
  const bool is_tracked =
      routes_.contains(route) || routes_.size() < kMaxRoutes;
  RouteTimes& times = routes_[is_tracked ? route : std::string()];
  if (times.micros <= 0) times.micros = micros;
  times.micros += (micros - times.micros) * kTimeSmoothing;
  for (auto& [name, other] : routes_) other.share *= 1 - kShareSmoothing;
  times.share += kShareSmoothing;
}

microseconds ServiceTimeEstimator::Expected(Instant now) const {
  double shares = 0;
  double weighted_micros = 0;
  for (const auto& [name, times] : routes_) {
    shares += times.share;
    weighted_micros += times.share * times.micros;
  }
  if (shares <= 0) return kInitialServiceTime;
  return microseconds(
      static_cast<std::int64_t>(weighted_micros / shares * WorkFactor(now)));
}

}  // namespace wisteriarill
