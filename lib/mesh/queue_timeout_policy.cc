#include "wisteriarill/mesh/queue_timeout_policy.h"

#include <algorithm>
#include <cmath>

namespace wisteriarill {
namespace {

/// Weight of a new run in the smoothed figures.
constexpr double kSampleShare = 0.05;
/// Parts of the objective that a call waits at least and at most.
constexpr double kLeastPart = 0.15;
constexpr double kMostPart = 0.6;
/// For the ways to the server and back.
constexpr microseconds kWays{15000};
constexpr std::size_t kMostRoutes = 20000;

}  // namespace

void QueueTimeoutPolicy::OnServiceTime(const std::string& route, microseconds ran) {
  if (runs_.size() > kMostRoutes) runs_.clear();
  const double micros = static_cast<double>(ran.count());
  const auto [found, is_new] = runs_.try_emplace(route);
  Runs& runs = found->second;
  if (is_new) {
    runs.mean_micros = micros;
    return;
  }
  const double off = micros - runs.mean_micros;
  runs.mean_micros += off * kSampleShare;
  runs.deviation_micros +=
      (std::abs(off) - runs.deviation_micros) * kSampleShare;
}

microseconds QueueTimeoutPolicy::QueueTimeout(const std::string& route,
                                     milliseconds objective) const {
  const double whole = static_cast<double>(microseconds(objective).count());
  const double most = whole * kMostPart;
  const auto found = runs_.find(route);
  if (found == runs_.end()) {
    return microseconds(static_cast<std::int64_t>(most));
  }
  const Runs& runs = found->second;
  const double left = whole - runs.mean_micros - runs.deviation_micros -
                      static_cast<double>(kWays.count());
  return microseconds(
      static_cast<std::int64_t>(std::clamp(left, whole * kLeastPart, most)));
}

}  // namespace wisteriarill
