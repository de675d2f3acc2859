/// \file
/// When bytes may go out on a VM's link. Answers the load of long answers on a
/// slow link: sent as fast as they come, they fill its queue, and short
/// answers, beats and tokens wait behind them for a second.
#ifndef WISTERIARILL_MESH_LINK_PACER_H_
#define WISTERIARILL_MESH_LINK_PACER_H_

#include <algorithm>
#include <cstdint>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Paces long answers below the rate of the link, first come first served by
/// piece. No I/O, no clock, one thread.
class LinkPacer {
 public:
  /// `megabits` a second; zero: not known, nothing ever waits.
  explicit LinkPacer(double megabits) : megabits_(megabits * kPacedPart) {}

  /// Takes the announced length of an answer that is going to be sent.
  void ReserveBytes(std::uint64_t bytes) { promised_ += bytes; }
  /// Takes back what of a promise is not going to be sent.
  void ReleaseBytes(std::uint64_t bytes) { promised_ -= bytes; }

  /// Takes promised bytes that are ready to go out; returns how long their
  /// sender waits before it writes them.
  nanoseconds ScheduleSend(std::uint64_t bytes, Instant now) {
    promised_ -= bytes;
    const Instant starts = std::max(idle_at_, now);
    idle_at_ = starts + TimeOf(bytes);
    return std::max<nanoseconds>(nanoseconds(0), starts - now - kAhead);
  }

  /// Returns how long an answer waits whose bytes begin to come at `now`.
  microseconds QueueDelay(Instant now) const {
    const microseconds promised = TimeOf(promised_);
    if (idle_at_ <= now) return promised;
    return promised + std::chrono::duration_cast<microseconds>(idle_at_ - now);
  }

 private:
  /// Part of the link's rate that answers use; the rest is for all else.
  static constexpr double kPacedPart = 0.9;
  /// What is written ahead of the clock, so that the link never idles.
  static constexpr milliseconds kAhead{40};

  microseconds TimeOf(std::uint64_t bytes) const {
    if (megabits_ <= 0) return microseconds(0);
    const double micros = static_cast<double>(bytes) * 8 / megabits_;
    return microseconds(static_cast<std::int64_t>(micros));
  }

  double megabits_;
  std::uint64_t promised_ = 0;
  Instant idle_at_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_LINK_PACER_H_
