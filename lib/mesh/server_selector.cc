#include "wisteriarill/mesh/server_selector.h"

#include <algorithm>

namespace wisteriarill {
namespace {

constexpr microseconds kNearWay{1000};
constexpr microseconds kFarWay{12000};
constexpr microseconds kFarDownloadWay{40000};
/// A server that is less busy than this runs calls at full speed.
constexpr double kBusyShare = 0.5;
/// How much longer a call runs at a server whose slots are all taken.
constexpr double kBusySlowdown = 0.5;
/// Added for a server that is cold.
constexpr milliseconds kColdTime{40};
/// Time that a failed call costs its caller.
constexpr milliseconds kFailureTime{600};

microseconds WayTo(const ServerCandidate& view, bool download) {
  if (view.local) return microseconds(0);
  if (view.same_failure_domain) return kNearWay;
  return download ? kFarDownloadWay : kFarWay;
}

}  // namespace

microseconds ServerSelector::ExpectedTime(const ServerCandidate& view, bool download) {
  const std::uint32_t slots = std::max(1U, view.load.slots);
  const std::uint32_t ahead =
      view.load.running + view.load.waiting + view.calls_since_heartbeat;
  const microseconds one = view.load.service_time;
  const double busy = std::min(1.0, static_cast<double>(ahead) / slots);
  const double over = std::max(0.0, busy - kBusyShare) / (1 - kBusyShare);
  microseconds expected(static_cast<std::int64_t>(
      static_cast<double>(one.count()) * (1 + kBusySlowdown * over)));
  if (ahead >= slots) expected += one * (ahead - slots + 1) / slots;
  expected += WayTo(view, download);
  if (!view.local) expected += view.load.link_delay;
  if (view.load.cold) expected += kColdTime;
  expected += microseconds(
      static_cast<std::int64_t>(view.failure_rate * ToMicros(kFailureTime)));
  return expected;
}

std::size_t ServerSelector::PickFrom(const std::vector<std::size_t>& indexes) {
  std::uniform_int_distribution<std::size_t> any(0, indexes.size() - 1);
  return indexes[any(random_)];
}

std::size_t ServerSelector::Choose(const std::vector<ServerCandidate>& views,
                                 bool download) {
  std::vector<std::size_t> all;
  std::vector<std::size_t> near;
  std::vector<std::size_t> candidates;
  for (std::size_t i = 0; i < views.size(); ++i) {
    all.push_back(i);
    if (views[i].same_failure_domain) near.push_back(i);
    if (views[i].local) candidates.push_back(i);
  }
  if (!near.empty()) candidates.push_back(PickFrom(near));
  for (std::size_t i = 0; i < kFarCandidates; ++i) {
    candidates.push_back(PickFrom(all));
  }
  return *std::min_element(candidates.begin(), candidates.end(),
                           [&views, download](std::size_t a, std::size_t b) {
                             return ExpectedTime(views[a], download) <
                                    ExpectedTime(views[b], download);
                           });
}

}  // namespace wisteriarill
