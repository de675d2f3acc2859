/// \file
/// Decides what a node still accepts during a planned stop. The load it answers
/// is traffic that goes on until the node ends: a call accepted too late is cut
/// off by the end of the process.
#ifndef WISTERIARILL_MESH_STOP_SCHEDULE_H_
#define WISTERIARILL_MESH_STOP_SCHEDULE_H_

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// The times of one planned stop. Does no I/O and reads no clock.
class StopSchedule {
 public:
  /// Part of the grace period that is reserved for the process to exit.
  static constexpr milliseconds kExitMargin{400};
  /// A nested call that may be repeated is accepted with this time left.
  /// Refusing it fails the call that made it, which costs more than the few
  /// nested calls that take longer.
  static constexpr milliseconds kMinNestedCallTime{1000};

  StopSchedule(Instant began, nanoseconds grace)
      : began_(began), grace_(grace) {}

  Instant began() const { return began_; }
  /// Returns when the last calls must have ended.
  Instant deadline() const { return began_ + grace_ - kExitMargin; }
  /// Ends the acceptance of requests before its time, because the node is idle
  /// and about to end.
  void Close() { closed_ = true; }
  /// Returns whether requests of callers and peers are accepted. One that is
  /// accepted later might not end in time.
  bool AcceptsRequests(Instant now) const {
    return !closed_ && now < began_ + grace_ / 2;
  }
  /// Returns whether a nested call is accepted, whose deadline is
  /// `call_deadline`. The call that made it was accepted before.
  bool AcceptsNestedCall(Instant now, Instant call_deadline,
                         bool idempotent) const {
    if (AcceptsRequests(now) || call_deadline <= deadline()) return true;
    return idempotent && now + kMinNestedCallTime <= deadline();
  }

 private:
  Instant began_;
  nanoseconds grace_;
  bool closed_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_STOP_SCHEDULE_H_
