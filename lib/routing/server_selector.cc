#include "wisteriarill/routing/server_selector.h"

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
/// Expected cost of a call to a server whose node left a probe unanswered.
constexpr milliseconds kUnansweredPenalty{300};
/// Above this failure rate, or this many times slower than others, the local
/// server is compared with others even if it is idle.
constexpr double kMaxIdleFailureRate = 0.1;
constexpr int kMaxIdleSlowness = 2;

microseconds NetworkTime(const ServerCandidate& server,
                         const CallProfile& profile) {
  if (server.local) return microseconds(0);
  if (server.same_failure_domain) return kSameDomainNetworkTime;
  const microseconds network =
      profile.download ? kOtherDomainDownloadTime : kOtherDomainNetworkTime;
  return std::max(network, profile.min_saving);
}

}  // namespace

microseconds ServerSelector::ExpectedWait(const ServerCandidate& server,
                                          const CallProfile& profile) {
  const BackendLoad& load = server.load;
  const std::uint32_t slots = std::max(1U, load.slots);
  microseconds wait{0};
  if (profile.urgency) {
    for (const LevelWait& level : load.waits) {
      if (level.urgency <= *profile.urgency) wait = level.wait;
    }
    wait += load.service_time * server.calls_since_status / slots;
  } else {
    const std::uint32_t ahead =
        load.running + load.waiting + server.calls_since_status;
    if (ahead >= slots) wait = load.service_time * (ahead - slots + 1) / slots;
  }
  const microseconds rate_wait =
      load.rate_wait + load.rate_interval * server.calls_since_status;
  wait = std::max(wait, rate_wait);
  if (!server.local && profile.upload) wait += load.receive_delay;
  return wait;
}

microseconds ServerSelector::ExpectedLatency(const ServerCandidate& server,
                                             const CallProfile& profile) {
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
  expected += ExpectedWait(server, profile);
  expected += NetworkTime(server, profile);
  if (!server.local) expected += server.load.link_delay;
  if (server.load.cold) expected += kColdPenalty;
  if (server.unanswered) expected += kUnansweredPenalty;
  expected += microseconds(static_cast<std::int64_t>(
      server.failure_rate * ToMicros(kFailurePenalty)));
  return expected;
}

std::size_t ServerSelector::PickRandom(
    const std::vector<std::size_t>& indexes) {
  std::uniform_int_distribution<std::size_t> any(0, indexes.size() - 1);
  return indexes[any(random_)];
}

std::vector<std::size_t> ServerSelector::Sample(
    const std::vector<ServerCandidate>& servers) {
  std::vector<std::size_t> all;
  std::vector<std::size_t> same_domain;
  std::vector<std::size_t> sample;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    all.push_back(i);
    if (servers[i].same_failure_domain) same_domain.push_back(i);
    if (servers[i].local) sample.push_back(i);
  }
  AddRandom(same_domain, 1, &sample);
  AddRandom(all, kRandomCandidates, &sample);
  return sample;
}

std::vector<std::size_t> ServerSelector::SampleOwnDomain(
    const std::vector<ServerCandidate>& servers) {
  std::vector<std::size_t> same_domain;
  std::vector<std::size_t> sample;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (servers[i].local) {
      sample.push_back(i);
    } else if (servers[i].same_failure_domain) {
      same_domain.push_back(i);
    }
  }
  AddRandom(same_domain, kRandomCandidates, &sample);
  return sample;
}

std::vector<std::size_t> ServerSelector::SampleOtherDomains(
    const std::vector<ServerCandidate>& servers) {
  std::vector<std::size_t> other_domains;
  std::vector<std::size_t> sample;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (!servers[i].same_failure_domain) other_domains.push_back(i);
  }
  AddRandom(other_domains, kRandomCandidates, &sample);
  return sample;
}

void ServerSelector::AddRandom(const std::vector<std::size_t>& indexes,
                               std::size_t count,
                               std::vector<std::size_t>* sample) {
  if (indexes.empty()) return;
  for (std::size_t i = 0; i < count; ++i) {
    sample->push_back(PickRandom(indexes));
  }
  std::sort(sample->begin(), sample->end());
  sample->erase(std::unique(sample->begin(), sample->end()), sample->end());
}

std::size_t ServerSelector::Best(const std::vector<ServerCandidate>& servers,
                                 const std::vector<std::size_t>& sample,
                                 const CallProfile& profile) {
  return *std::min_element(sample.begin(), sample.end(),
                           [&servers, &profile](std::size_t a, std::size_t b) {
                             return ExpectedLatency(servers[a], profile) <
                                    ExpectedLatency(servers[b], profile);
                           });
}

bool ServerSelector::TakesCallWell(const ServerCandidate& server,
                                   microseconds typical_service_time,
                                   const CallProfile& profile) {
  ServerCandidate idle_elsewhere;
  idle_elsewhere.load.service_time = typical_service_time;
  return ExpectedLatency(server, profile) <=
         ExpectedLatency(idle_elsewhere, profile);
}

bool ServerSelector::IsIdleLocal(const ServerCandidate& server,
                                 microseconds typical_service_time) {
  if (!server.local || server.load.cold) return false;
  if (server.load.rate_wait.count() > 0) return false;
  if (server.failure_rate > kMaxIdleFailureRate) return false;
  if (server.load.service_time > typical_service_time * kMaxIdleSlowness)
    return false;
  const std::uint32_t ahead = server.load.running + server.load.waiting;
  return ahead < std::max(1U, server.load.slots) * kBusyFraction;
}

}  // namespace wisteriarill
