#include "wisteriarill/process/log_limiter.h"

namespace wisteriarill {

bool LogLimiter::Allow(std::string_view event, Instant now) {
  auto found = counters_.find(event);
  if (found == counters_.end()) {
    found = counters_.emplace(std::string(event), EventCounter()).first;
  }
  EventCounter& counter = found->second;
  if (counter.window_start == kNever ||
      now >= counter.window_start + seconds(1)) {
    counter.window_start = now;
    counter.written_in_window = 0;
  }
  if (counter.written_in_window >= lines_per_second_) {
    ++counter.suppressed;
    return false;
  }
  ++counter.written_in_window;
  return true;
}

std::map<std::string, std::uint64_t> LogLimiter::TakeSuppressed() {
  std::map<std::string, std::uint64_t> taken;
  for (auto& [event, counter] : counters_) {
    if (counter.suppressed == 0) continue;
    taken.emplace(event, counter.suppressed);
    counter.suppressed = 0;
  }
  return taken;
}

}  // namespace wisteriarill
