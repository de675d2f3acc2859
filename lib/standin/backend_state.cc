#include "wisteriarill/standin/backend_state.h"

#include <algorithm>

#include "wisteriarill/process/ids.h"

namespace wisteriarill {
namespace {

// Load beyond this multiple of what a backend server bears makes it collapse.
constexpr double kCollapse = 1.5;
constexpr double kOverloadSlowdown = 4;
constexpr nanoseconds kReportLag = seconds(1);

std::string DrawInstance() {
  return ToString(RequestId{GenerateInstanceId(), 0}).substr(0, 16);
}

}  // namespace

BackendState::BackendState(BackendStateOptions options)
    : options_(options),
      cold_since_(BootClock::now()),
      instance_(DrawInstance()) {}

double BackendState::Bears(Instant now) const {
  const double slots = options_.slots;
  const double cold = std::max(1.0, slots * options_.cold_share);
  if (options_.warmup <= microseconds::zero()) return slots;
  const double passed = std::chrono::duration<double>(now - cold_since_) /
                        std::chrono::duration<double>(options_.warmup);
  return cold + (slots - cold) * std::min(1.0, passed);
}

BackendState::StartResult BackendState::TryStart(const Execution& execution,
                                                 microseconds work,
                                                 Instant now) {
  const std::lock_guard lock(mutex_);
  const double bears = Bears(now);
  const double load = stats_.in_flight + 1;
  const bool cold = bears < options_.slots;
  if (draining_ || load > 2 * static_cast<double>(options_.slots)) {
    ++stats_.shed;
    return {};
  }
  double slowdown = cold ? options_.cold_slowdown : 1.0;
  if (load > bears) {
    ++stats_.overloaded;
    slowdown *= kOverloadSlowdown;
  }
  if (cold && load > kCollapse * bears) {
    ++stats_.collapses;
    cold_since_ = now;
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
  cold_since_ = now;
  if (announced) instance_ = DrawInstance();
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
  if (reported_at_ == kNever || now - reported_at_ > kReportLag) {
    reported_ = stats_.in_flight;
    reported_at_ = now;
  }
  return reported_;
}

}  // namespace wisteriarill
