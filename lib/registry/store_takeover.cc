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

}  // namespace

StoreTakeover::StoreTakeover(milliseconds bound, std::string_view node)
    : max_age_(std::max(bound, kMinBound) - kReadTime - kSpreadTime),
      rank_(UniformRank(node)) {}

milliseconds StoreTakeover::TakeoverAge(std::size_t node_count) const {
  const double nodes =
      static_cast<double>(std::max<std::size_t>(node_count, 2));
  const double delay =
      std::clamp(1 + std::log(rank_) / std::log(nodes), 0., 1.);
  const milliseconds window = max_age_ / 3;
  const milliseconds waited(
      static_cast<std::int64_t>(delay * static_cast<double>(window.count())));
  return max_age_ - window + waited;
}

}  // namespace wisteriarill
