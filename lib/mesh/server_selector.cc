#include "wisteriarill/mesh/server_selector.h"

#include <algorithm>
#include <utility>

namespace wisteriarill {
namespace {

/// Network time of a call to a server in the same failure domain, to one in
/// another failure domain, and of a large response from another failure domain.
constexpr microseconds kSameDomainNetworkTime{1000};
constexpr microseconds kOtherDomainNetworkTime{12000};
constexpr microseconds kOtherDomainDownloadTime{40000};
/// A call leaves its failure domain only if it is expected to be answered
/// sooner by this fraction of the service time. Bytes between domains are
/// expensive, and a little time is of no use to a caller whose objective is met
/// anyway.
constexpr double kOtherDomainServiceFraction = 0.5;
/// Up to this fraction of used slots, a server runs calls at full speed.
constexpr double kBusyFraction = 0.5;
/// Fraction by which a call takes longer at a server whose slots are all used.
constexpr double kBusySlowdown = 0.5;
/// Added to the expected latency at a cold server.
constexpr milliseconds kColdPenalty{40};
/// Expected cost of a failed call, as latency.
constexpr milliseconds kFailurePenalty{600};
/// Expected cost of a call to a server whose node left a probe unanswered.
constexpr milliseconds kUnansweredPenalty{300};
/// Above this failure rate, or this many times slower than others, the local
/// server is compared with others even if it is idle.
constexpr double kMaxIdleFailureRate = 0.1;
constexpr int kMaxIdleSlowness = 2;

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
      server.load.running + server.load.waiting + server.calls_since_status;
  const microseconds service_time = server.load.service_time;
  const double busy = std::min(1.0, static_cast<double>(ahead) / slots);
  const double overload =
      std::max(0.0, busy - kBusyFraction) / (1 - kBusyFraction);
  microseconds expected(
      static_cast<std::int64_t>(static_cast<double>(service_time.count()) *
                                (1 + kBusySlowdown * overload)));
  if (ahead >= slots) expected += service_time * (ahead - slots + 1) / slots;
  expected += NetworkTime(server, download);
  if (!server.same_failure_domain && !server.local) {
    expected += microseconds(
        static_cast<std::int64_t>(static_cast<double>(service_time.count()) *
                                  kOtherDomainServiceFraction));
  }
  if (!server.local) expected += server.load.link_delay;
  if (server.load.cold) expected += kColdPenalty;
  if (server.unanswered) expected += kUnansweredPenalty;
  expected += microseconds(static_cast<std::int64_t>(
      server.failure_rate * ToMicros(kFailurePenalty)));
  return expected;
}

void ServerSelector::Draw(std::vector<std::size_t>* from,
                          std::vector<std::size_t>* to) {
  if (from->empty()) return;
  std::uniform_int_distribution<std::size_t> any(0, from->size() - 1);
  std::swap((*from)[any(random_)], from->back());
  to->push_back(from->back());
  from->pop_back();
}

std::vector<std::size_t> ServerSelector::Sample(
    const std::vector<ServerCandidate>& servers) {
  std::vector<std::size_t> same_domain;
  std::vector<std::size_t> others;
  std::vector<std::size_t> sample;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (servers[i].local) {
      sample.push_back(i);
    } else {
      (servers[i].same_failure_domain ? same_domain : others).push_back(i);
    }
  }
  for (std::size_t i = 0; i < kSameDomainCandidates; ++i) {
    Draw(&same_domain, &sample);
  }
  others.insert(others.end(), same_domain.begin(), same_domain.end());
  const bool near = sample.size() >= kSameDomainCandidates;
  const std::size_t random_candidates = near ? 1 : kMaxRandomCandidates;
  for (std::size_t i = 0; i < random_candidates; ++i) Draw(&others, &sample);
  std::sort(sample.begin(), sample.end());
  return sample;
}

std::size_t ServerSelector::Best(const std::vector<ServerCandidate>& servers,
                                 const std::vector<std::size_t>& sample,
                                 bool download) {
  return *std::min_element(sample.begin(), sample.end(),
                           [&servers, download](std::size_t a, std::size_t b) {
                             return ExpectedLatency(servers[a], download) <
                                    ExpectedLatency(servers[b], download);
                           });
}

bool ServerSelector::IsIdleLocal(const ServerCandidate& server,
                                 microseconds typical_service_time) {
  if (!server.local || server.load.cold) return false;
  if (server.failure_rate > kMaxIdleFailureRate) return false;
  if (server.load.service_time > typical_service_time * kMaxIdleSlowness)
    return false;
  const std::uint32_t ahead = server.load.running + server.load.waiting;
  return ahead < std::max(1U, server.load.slots) * kBusyFraction;
}

}  // namespace wisteriarill
