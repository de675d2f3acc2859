#include "wisteriarill/process/reachability_prober.h"

#include <algorithm>
#include <utility>

namespace wisteriarill {
namespace {

constexpr std::size_t kNearProbes = 2;
constexpr std::size_t kSamples = 100;
// Both sides of an even cut reach this share with a chance of three in a
// million: 65 of 100 samples at one half, twice.
constexpr double kMajorityShare = 0.65;
constexpr nanoseconds kProbeTimeout = seconds(2);

}  // namespace

ReachabilityProber::ReachabilityProber(std::string self, std::uint64_t seed)
    : self_(std::move(self)), random_(seed), last_nonce_(seed) {}

void ReachabilityProber::AddSample(bool reached, Instant now) {
  samples_.push_back({now, reached});
  if (samples_.size() > kSamples) samples_.pop_front();
}

bool ReachabilityProber::HasMajority(Instant now) const {
  if (samples_.size() < kSamples) return false;
  if (now - samples_.front().at > kMajorityWindow) return false;
  const auto reached =
      std::count_if(samples_.begin(), samples_.end(),
                    [](const Sample& sample) { return sample.reached; });
  return static_cast<double>(reached) >= kMajorityShare * kSamples;
}

std::vector<OutgoingProbe> ReachabilityProber::StartRound(const Snapshot& snapshot,
                                                Instant now) {
  std::erase_if(probes_, [&](const auto& entry) {
    if (now - entry.second.at < kProbeTimeout) return false;
    if (entry.second.sample) AddSample(false, now);
    return true;
  });
  std::vector<OutgoingProbe> actions;
  const auto self = snapshot.FindServer(self_);
  if (!self.has_value()) return actions;
  const auto add = [&](ServerId target, bool sample) {
    if (target == *self && snapshot.servers().size() > 1) return;
    probes_[++last_nonce_] = Probe{now, sample};
    actions.push_back(
        {snapshot.server(target).node_address, ProbeRequest{last_nonce_, self_}});
  };
  const auto& near =
      snapshot.failure_domain(snapshot.server(*self).domain).servers;
  for (std::size_t i = 0; i < kNearProbes; ++i) {
    add(near[random_() % near.size()], false);
  }
  const auto all = static_cast<std::uint32_t>(snapshot.servers().size());
  add(ServerId{static_cast<std::uint32_t>(random_() % all)}, true);
  return actions;
}

std::optional<ProbeProof> ReachabilityProber::OnEcho(const ProbeEcho& echo,
                                             const Version& version,
                                             Instant now) {
  const auto found = probes_.find(echo.nonce);
  if (found == probes_.end() || echo.version > version) return std::nullopt;
  const Probe probe = found->second;
  probes_.erase(found);
  if (probe.sample) AddSample(echo.version == version, now);
  return ProbeProof{probe.at, probe.sample && HasMajority(now)};
}

}  // namespace wisteriarill
