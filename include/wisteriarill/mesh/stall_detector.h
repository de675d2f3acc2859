/// \file
/// Notices when this process didn't run for a while, for example because its VM
/// was suspended or had used up its processor share.
#ifndef WISTERIARILL_MESH_STALL_DETECTOR_H_
#define WISTERIARILL_MESH_STALL_DETECTOR_H_

#include <utility>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Compares the times of periodic ticks with their interval. Does no I/O, reads
/// no clock, and is used from one thread.
class StallDetector {
 public:
  /// Lateness of a tick that a busy event loop causes, too.
  static constexpr milliseconds kTolerance{20};

  explicit StallDetector(nanoseconds interval) : interval_(interval) {}

  /// Returns for how long the process didn't run before this tick; zero if the
  /// tick is on time.
  nanoseconds OnTick(Instant now) {
    const Instant before = std::exchange(last_tick_, now);
    if (before == kNever) return nanoseconds(0);
    const nanoseconds late = now - before - interval_;
    return late > kTolerance ? late : nanoseconds(0);
  }

 private:
  nanoseconds interval_;
  Instant last_tick_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_STALL_DETECTOR_H_
