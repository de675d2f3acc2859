#include "wisteriarill/mesh/reach_estimator.h"

#include <algorithm>

namespace wisteriarill {

void ReachEstimator::OnProbeSent(const std::string& ip, Instant now) {
  std::erase_if(probes_, [&ip](const Probe& probe) { return probe.ip == ip; });
  probes_.push_back({ip, now, false});
  if (probes_.size() > kMaxProbes) probes_.pop_front();
  if (sweep_left_ > 0) --sweep_left_;
}

std::string ReachEstimator::PeerToRetest(Instant now) const {
  const Probe* oldest = nullptr;
  for (const Probe& probe : probes_) {
    if (probe.answered || now < probe.sent + kRetestInterval) continue;
    if (oldest == nullptr || probe.sent < oldest->sent) oldest = &probe;
  }
  return oldest == nullptr ? "" : oldest->ip;
}

void ReachEstimator::OnRetestSent(const std::string& ip, Instant now) {
  for (Probe& probe : probes_) {
    if (probe.ip == ip) probe.sent = now;
  }
}

void ReachEstimator::OnHeard(const std::string& ip) {
  for (Probe& probe : probes_) probe.answered |= probe.ip == ip;
}

void ReachEstimator::OnPeersChanged(const std::set<std::string>& ips) {
  std::erase_if(probes_,
                [&ips](const Probe& probe) { return !ips.contains(probe.ip); });
}

std::size_t ReachEstimator::CountSilent(Instant now) const {
  return static_cast<std::size_t>(std::count_if(
      probes_.begin(), probes_.end(),
      [now](const Probe& probe) { return IsSilent(probe, now); }));
}

Instant ReachEstimator::BeginSweep(std::size_t peer_count, Instant now) {
  const bool has_estimate = measured_since_ == sweep_began_;
  if (!has_estimate && now < sweep_began_ + kMaxSweepStart) return sweep_began_;
  sweep_began_ = now;
  sweep_left_ = std::min(peer_count, kMaxProbes);
  probes_.clear();
  return sweep_began_;
}

std::size_t ReachEstimator::ProbesWanted(std::size_t peer_count, Instant now) {
  const std::size_t silent = CountSilent(now);
  const std::size_t change =
      std::max(silent, settled_silent_) - std::min(silent, settled_silent_);
  if (sweep_left_ == 0 && change >= kMinChange) BeginSweep(peer_count, now);
  if (sweep_left_ == 0) return std::min<std::size_t>(peer_count, 1);
  settled_silent_ = silent;
  return std::min(sweep_left_, kSweepProbes);
}

double ReachEstimator::Update(std::size_t peer_count, Instant now) {
  if (peer_count == 0) {  // Nothing has to be measured.
    measured_since_ = sweep_began_;
    return reach_ = 1;
  }
  std::size_t counted = 0;
  for (const Probe& probe : probes_) {
    if (probe.answered || IsSilent(probe, now)) ++counted;
  }
  if (counted < std::min(kMinProbes, peer_count)) return reach_;
  const double silent_part =
      static_cast<double>(CountSilent(now)) / static_cast<double>(counted);
  const double peers = static_cast<double>(peer_count);
  reach_ = (1 + peers * (1 - silent_part)) / (1 + peers);
  measured_since_ = sweep_began_;
  return reach_;
}

}  // namespace wisteriarill
