#include "wisteriarill/registry/store_takeover.h"

#include <algorithm>
#include <cmath>

#include "wisteriarill/process/hashing.h"

namespace wisteriarill {
namespace {

/// Returns a number in (0, 1] that is uniform over the nodes' addresses.
double UniformRank(std::string_view node) {
  constexpr int kMantissaBits = 53;
  const std::uint64_t bits = Hash64(node) >> (64 - kMantissaBits);
  return std::ldexp(static_cast<double>(bits + 1), -kMantissaBits);
}

milliseconds PartOf(milliseconds time, double part) {
  return milliseconds(
      static_cast<std::int64_t>(part * static_cast<double>(time.count())));
}

}  // namespace

StoreTakeover::StoreTakeover(milliseconds bound, std::string_view node)
    : bound_(std::max(bound, kMinBound)),
      max_age_(bound_ - kReadTime - kSpreadTime),
      peer_time_(std::min(bound_ / 4, max_age_ / 2)),
      rank_(UniformRank(node)) {}

double StoreTakeover::StartingPart(std::size_t node_count) const {
  const double nodes =
      static_cast<double>(std::max<std::size_t>(node_count, 2));
  return std::clamp(1 + std::log(rank_) / std::log(nodes), 0., 1.);
}

milliseconds StoreTakeover::TakeoverAge(std::size_t node_count) const {
  const milliseconds window = max_age_ / 3;
  return max_age_ - window + PartOf(window, StartingPart(node_count));
}

milliseconds StoreTakeover::MaxPeerWait(std::size_t node_count) const {
  return peer_time_ + PartOf(peer_time_, StartingPart(node_count));
}

bool StoreTakeover::ShouldRead(milliseconds age, milliseconds behind,
                               milliseconds read_begun_age,
                               std::size_t node_count) const {
  const bool waits = read_begun_age <= kReadTime + kSpreadTime;
  if (waits) return age > max_waiting_age();
  return age > TakeoverAge(node_count) || behind > MaxPeerWait(node_count);
}

}  // namespace wisteriarill
