#include "wisteriarill/process/reachability_prober.h"

#include <algorithm>
#include <utility>

namespace wisteriarill {
namespace {

constexpr std::size_t kLocalProbesPerRound = 2;
constexpr std::size_t kSampleCount = 100;
// If the mesh is partitioned into two equal halves, both sides reach this share
// by chance with a probability of three in a million: each must reach 65 of 100
// samples with a probability of one half for each sample.
constexpr double kMajorityShare = 0.65;
constexpr nanoseconds kProbeTimeout = seconds(2);

}  // namespace

ReachabilityProber::ReachabilityProber(std::string self, std::uint64_t seed)
    : self_(std::move(self)), random_(seed), last_nonce_(seed) {}

void ReachabilityProber::AddSample(bool reached, Instant now) {
  samples_.push_back({now, reached});
  if (samples_.size() > kSampleCount) samples_.pop_front();
}

bool ReachabilityProber::HasMajority(Instant now) const {
  if (samples_.size() < kSampleCount) return false;
  if (now - samples_.front().at > kMajorityWindow) return false;
  const auto reached =
      std::count_if(samples_.begin(), samples_.end(),
                    [](const Sample& sample) { return sample.reached; });
  return static_cast<double>(reached) >= kMajorityShare * kSampleCount;
}

std::vector<OutgoingProbe> ReachabilityProber::StartRound(
    const Snapshot& snapshot, Instant now) {
  std::erase_if(probes_, [&](const auto& entry) {
    if (now - entry.second.at < kProbeTimeout) return false;
    if (entry.second.sample) AddSample(false, now);
    return true;
  });
  std::vector<OutgoingProbe> probes;
  const auto self = snapshot.FindServer(self_);
  if (!self.has_value()) return probes;
  const auto add = [&](ServerId target, bool sample) {
    if (target == *self && snapshot.servers().size() > 1) return;
    probes_[++last_nonce_] = Probe{now, sample};
    probes.push_back({snapshot.server(target).node_address,
                      ProbeRequest{last_nonce_, self_}});
  };
  const auto& local =
      snapshot.failure_domain(snapshot.server(*self).domain).servers;
  for (std::size_t i = 0; i < kLocalProbesPerRound; ++i) {
    add(local[random_() % local.size()], false);
  }
  const auto all = static_cast<std::uint32_t>(snapshot.servers().size());
  add(ServerId{static_cast<std::uint32_t>(random_() % all)}, true);
  return probes;
}

std::optional<ProbeResult> ReachabilityProber::OnEcho(const ProbeEcho& echo,
                                                      const Version& version,
                                                      Instant now) {
  const auto found = probes_.find(echo.nonce);
  if (found == probes_.end() || echo.version > version) return std::nullopt;
  const Probe probe = found->second;
  probes_.erase(found);
  if (probe.sample) AddSample(echo.version == version, now);
  return ProbeResult{probe.at, probe.sample && HasMajority(now)};
}

}  // namespace wisteriarill
