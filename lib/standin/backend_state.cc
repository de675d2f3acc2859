#include "wisteriarill/standin/backend_state.h"

#include <algorithm>

#include "wisteriarill/process/ids.h"

namespace wisteriarill {
namespace {

// A load above this multiple of the capacity restarts an unfinished warm-up.
constexpr double kCollapseRatio = 1.5;
// Factor on the service time of a request started beyond the capacity.
constexpr double kOverloadSlowdown = 4;
constexpr nanoseconds kLoadReportInterval = seconds(1);

std::string GenerateInstanceName() {
  return ToString(RequestId{GenerateInstanceId(), 0}).substr(0, 16);
}

}  // namespace

BackendState::BackendState(BackendStateOptions options)
    : options_(options),
      warmup_start_(BootClock::now()),
      instance_(GenerateInstanceName()) {}

double BackendState::Capacity(Instant now) const {
  const double slots = options_.slots;
  const double cold_capacity =
      std::max(1.0, slots * options_.cold_capacity_share);
  if (options_.warmup <= microseconds::zero()) return slots;
  const double warmup_progress =
      std::chrono::duration<double>(now - warmup_start_) /
      std::chrono::duration<double>(options_.warmup);
  return cold_capacity +
         (slots - cold_capacity) * std::min(1.0, warmup_progress);
}

BackendState::StartResult BackendState::TryStart(const Execution& execution,
                                                 microseconds work,
                                                 Instant now) {
  const std::lock_guard lock(mutex_);
  const double capacity = Capacity(now);
  const double load = stats_.in_flight + 1;
  const bool warming_up = capacity < options_.slots;
  if (draining_ || load > 2 * static_cast<double>(options_.slots)) {
    ++stats_.shed;
    return {};
  }
  double slowdown = warming_up ? options_.cold_slowdown : 1.0;
  if (load > capacity) {
    ++stats_.overloaded;
    slowdown *= kOverloadSlowdown;
  }
  if (warming_up && load > kCollapseRatio * capacity) {
    ++stats_.collapses;
    warmup_start_ = now;
  }
  ++stats_.started;
  ++stats_.in_flight;
  stats_.max_in_flight = std::max(stats_.max_in_flight, stats_.in_flight);
  log_.push_back(execution);
  return {true, microseconds(static_cast<std::int64_t>(
                    static_cast<double>(work.count()) * slowdown))};
}

void BackendState::Finish() {
  const std::lock_guard lock(mutex_);
  --stats_.in_flight;
  ++stats_.finished;
}

void BackendState::ResetToCold(bool announced, Instant now) {
  const std::lock_guard lock(mutex_);
  warmup_start_ = now;
  if (announced) instance_ = GenerateInstanceName();
}

void BackendState::SetDraining(bool draining) {
  const std::lock_guard lock(mutex_);
  draining_ = draining;
}

std::string BackendState::instance() const {
  const std::lock_guard lock(mutex_);
  return instance_;
}

BackendStats BackendState::stats() const {
  const std::lock_guard lock(mutex_);
  return stats_;
}

std::vector<Execution> BackendState::log() const {
  const std::lock_guard lock(mutex_);
  return log_;
}

std::uint32_t BackendState::lagging_load(Instant now) {
  const std::lock_guard lock(mutex_);
  if (reported_at_ == kNever || now - reported_at_ > kLoadReportInterval) {
    reported_load_ = stats_.in_flight;
    reported_at_ = now;
  }
  return reported_load_;
}

}  // namespace wisteriarill
