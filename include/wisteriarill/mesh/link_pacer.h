/// \file
/// Paces long responses on a VM's link. Without it, long responses on a slow
/// link fill the link's queue, and short responses, probes and rate-limit
/// tokens wait behind them for as long as a second.
#ifndef WISTERIARILL_MESH_LINK_PACER_H_
#define WISTERIARILL_MESH_LINK_PACER_H_

#include <algorithm>
#include <cstdint>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Schedules pieces of responses below the rate of the link, in order of
/// arrival. Does no I/O, reads no clock, and is used from one thread.
class LinkPacer {
 public:
  /// `megabits` is the link's rate in Mbit/s. With zero, the rate is unknown
  /// and nothing is paced.
  explicit LinkPacer(double megabits) : megabits_(megabits * kPacedFraction) {}

  /// Reserves the announced length of a response that is going to be sent.
  void ReserveBytes(std::uint64_t bytes) { reserved_ += bytes; }
  /// Releases reserved bytes that are not going to be sent.
  void ReleaseBytes(std::uint64_t bytes) { reserved_ -= bytes; }

  /// Schedules reserved bytes that are ready to be sent; returns how long the
  /// sender has to wait before it writes them.
  nanoseconds ScheduleSend(std::uint64_t bytes, Instant now) {
    reserved_ -= bytes;
    const Instant start = std::max(link_free_at_, now);
    link_free_at_ = start + TransmitTime(bytes);
    return std::max<nanoseconds>(nanoseconds(0), start - now - kMaxSendAhead);
  }

  /// Returns the expected wait of a response whose bytes start to arrive at
  /// `now`.
  microseconds QueueDelay(Instant now) const {
    const microseconds reserved = TransmitTime(reserved_);
    if (link_free_at_ <= now) return reserved;
    return reserved +
           std::chrono::duration_cast<microseconds>(link_free_at_ - now);
  }

 private:
  /// Fraction of the link's rate that paced responses use; the rest is left for
  /// other traffic.
  static constexpr double kPacedFraction = 0.9;
  /// Bytes are written up to this long ahead of schedule, so that the link
  /// never idles.
  static constexpr milliseconds kMaxSendAhead{40};

  microseconds TransmitTime(std::uint64_t bytes) const {
    if (megabits_ <= 0) return microseconds(0);
    const double micros = static_cast<double>(bytes) * 8 / megabits_;
    return microseconds(static_cast<std::int64_t>(micros));
  }

  double megabits_;
  std::uint64_t reserved_ = 0;
  Instant link_free_at_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_LINK_PACER_H_
