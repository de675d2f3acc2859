#include "wisteriarill/process/time.h"

#include <ctime>

namespace wisteriarill {

BootClock::time_point BootClock::now() noexcept {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return time_point(seconds(ts.tv_sec) + nanoseconds(ts.tv_nsec));
}

}  // namespace wisteriarill
