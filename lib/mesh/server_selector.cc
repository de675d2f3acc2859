#include "wisteriarill/mesh/server_selector.h"

#include <algorithm>

namespace wisteriarill {
namespace {

/// Network time of a call to a server in the same failure domain, to one in
/// another failure domain, and of a large response from another failure domain.
constexpr microseconds kSameDomainNetworkTime{1000};
constexpr microseconds kOtherDomainNetworkTime{12000};
constexpr microseconds kOtherDomainDownloadTime{40000};
/// Up to this fraction of used slots, a server runs calls at full speed.
constexpr double kBusyFraction = 0.5;
/// Fraction by which a call takes longer at a server whose slots are all used.
constexpr double kBusySlowdown = 0.5;
/// Added to the expected latency at a cold server.
constexpr milliseconds kColdPenalty{40};
/// Expected cost of a failed call, as latency.
constexpr milliseconds kFailurePenalty{600};

microseconds NetworkTime(const ServerCandidate& server, bool download) {
  if (server.local) return microseconds(0);
  if (server.same_failure_domain) return kSameDomainNetworkTime;
  return download ? kOtherDomainDownloadTime : kOtherDomainNetworkTime;
}

}  // namespace

microseconds ServerSelector::ExpectedLatency(const ServerCandidate& server,
                                             bool download) {
  const std::uint32_t slots = std::max(1U, server.load.slots);
  const std::uint32_t ahead =
      server.load.running + server.load.waiting + server.calls_since_heartbeat;
  const microseconds service_time = server.load.service_time;
  const double busy = std::min(1.0, static_cast<double>(ahead) / slots);
  const double overload =
      std::max(0.0, busy - kBusyFraction) / (1 - kBusyFraction);
  microseconds expected(
      static_cast<std::int64_t>(static_cast<double>(service_time.count()) *
                                (1 + kBusySlowdown * overload)));
  if (ahead >= slots) expected += service_time * (ahead - slots + 1) / slots;
  expected += NetworkTime(server, download);
  if (!server.local) expected += server.load.link_delay;
  if (server.load.cold) expected += kColdPenalty;
  expected += microseconds(static_cast<std::int64_t>(
      server.failure_rate * ToMicros(kFailurePenalty)));
  return expected;
}

std::size_t ServerSelector::PickRandom(
    const std::vector<std::size_t>& indexes) {
  std::uniform_int_distribution<std::size_t> any(0, indexes.size() - 1);
  return indexes[any(random_)];
}

std::size_t ServerSelector::Choose(const std::vector<ServerCandidate>& servers,
                                   bool download) {
  std::vector<std::size_t> all;
  std::vector<std::size_t> same_domain;
  std::vector<std::size_t> candidates;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    all.push_back(i);
    if (servers[i].same_failure_domain) same_domain.push_back(i);
    if (servers[i].local) candidates.push_back(i);
  }
  if (!same_domain.empty()) candidates.push_back(PickRandom(same_domain));
  for (std::size_t i = 0; i < kRandomCandidates; ++i) {
    candidates.push_back(PickRandom(all));
  }
  return *std::min_element(candidates.begin(), candidates.end(),
                           [&servers, download](std::size_t a, std::size_t b) {
                             return ExpectedLatency(servers[a], download) <
                                    ExpectedLatency(servers[b], download);
                           });
}

}  // namespace wisteriarill
