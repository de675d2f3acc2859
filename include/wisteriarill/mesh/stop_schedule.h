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
  /// Time from the start of the stop in which callers may not have noticed that
  /// the node is no longer ready: two readiness checks a second apart, and the
  /// time until callers are told.
  static constexpr milliseconds kNoticeTime{2600};

  StopSchedule(Instant began, nanoseconds grace)
      : began_(began), grace_(grace) {}

  Instant began() const { return began_; }
  /// Returns when the last calls must have ended.
  Instant deadline() const { return began_ + grace_ - kExitMargin; }
  /// Ends the acceptance of requests before its time, because the node is idle
  /// and about to end.
  void Close() { closed_ = true; }
  /// Returns whether a caller's request is accepted that arrived at `received`
  /// and may take until `call_deadline`. Callers that can't go elsewhere yet
  /// are served even if the request may outlast the stop: most take a fraction
  /// of their time.
  bool AcceptsRequest(Instant received, Instant call_deadline) const {
    return !closed_ && (IsUnnoticed(received) || EndsInTime(call_deadline));
  }
  /// Same for a nested call. The call that made it was accepted before and
  /// fails without it, so it is accepted until the end.
  bool AcceptsNestedCall(Instant received, Instant call_deadline) const {
    return AcceptsRequest(received, call_deadline) || EndsInTime(call_deadline);
  }
  /// Same for a call that a peer forwards. Peers know other nodes, so the node
  /// accepts none that may outlast the stop, and none in its second half.
  bool AcceptsPeerCall(Instant received, Instant call_deadline) const {
    return !closed_ && received < began_ + grace_ / 2 &&
           EndsInTime(call_deadline);
  }

 private:
  bool IsUnnoticed(Instant received) const {
    return received < began_ + kNoticeTime;
  }
  bool EndsInTime(Instant call_deadline) const {
    return call_deadline <= deadline();
  }

  Instant began_;
  nanoseconds grace_;
  bool closed_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_STOP_SCHEDULE_H_
