#include "wisteriarill/admission/queue_timeout_policy.h"

#include <algorithm>
#include <cmath>

namespace wisteriarill {
namespace {

/// Weight of a new sample in the smoothed values.
constexpr double kSmoothingFactor = 0.05;
/// Bounds of the queue timeout as fractions of the objective.
constexpr double kMinObjectiveFraction = 0.15;
constexpr double kMaxObjectiveFraction = 0.6;
/// Allowance for the network round trip to the server.
constexpr microseconds kRoundTripAllowance{15000};
/// Bounds of a nested call's queue timeout as fractions of its time left.
/// Within the rest, a call that has waited for longest still has time to run.
constexpr double kMinNestedFraction = 0.15;
constexpr double kMaxNestedFraction = 0.75;
constexpr std::size_t kMaxTrackedRoutes = 20000;

}  // namespace

void QueueTimeoutPolicy::OnServiceTime(const std::string& route,
                                       microseconds service_time) {
  if (service_times_.size() > kMaxTrackedRoutes) service_times_.clear();
  const double micros = static_cast<double>(service_time.count());
  const auto [found, is_new] = service_times_.try_emplace(route);
  ServiceTimes& times = found->second;
  if (is_new) {
    times.mean_micros = micros;
    return;
  }
  const double difference = micros - times.mean_micros;
  times.mean_micros += difference * kSmoothingFactor;
  times.deviation_micros +=
      (std::abs(difference) - times.deviation_micros) * kSmoothingFactor;
}

microseconds QueueTimeoutPolicy::NestedQueueTimeout(
    const std::string& route, microseconds time_left) const {
  const double left = static_cast<double>(time_left.count());
  const auto found = service_times_.find(route);
  double needed = 0;
  if (found != service_times_.end()) {
    const ServiceTimes& times = found->second;
    needed = times.mean_micros + 2 * times.deviation_micros +
             static_cast<double>(kRoundTripAllowance.count());
  }
  return microseconds(static_cast<std::int64_t>(std::clamp(
      left - needed, left * kMinNestedFraction, left * kMaxNestedFraction)));
}

microseconds QueueTimeoutPolicy::QueueTimeout(const std::string& route,
                                              milliseconds objective) const {
  const double objective_micros =
      static_cast<double>(microseconds(objective).count());
  const double max_micros = objective_micros * kMaxObjectiveFraction;
  const auto found = service_times_.find(route);
  if (found == service_times_.end()) {
    return microseconds(static_cast<std::int64_t>(max_micros));
  }
  const ServiceTimes& times = found->second;
  const double remaining_micros =
      objective_micros - times.mean_micros - times.deviation_micros -
      static_cast<double>(kRoundTripAllowance.count());
  return microseconds(static_cast<std::int64_t>(std::clamp(
      remaining_micros, objective_micros * kMinObjectiveFraction, max_micros)));
}

}  // namespace wisteriarill
