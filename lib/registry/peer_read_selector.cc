#include "wisteriarill/registry/peer_read_selector.h"

#include <algorithm>
#include <vector>

namespace wisteriarill {

void PeerReadSelector::OnPeerPosition(const std::string& ip,
                                      StorePosition position,
                                      std::uint32_t lacked, bool same_domain,
                                      Instant now) {
  if (position <= held_ && lacked == 0) return;
  if (ahead_.empty()) {
    behind_since_ = now;
    std::uniform_int_distribution<std::int64_t> delay(
        0, kMaxCrossDomainDelay.count());
    cross_domain_delay_ = milliseconds(delay(random_));
  }
  ahead_[ip] = {position, lacked, same_domain};
}

void PeerReadSelector::OnHeld(StorePosition position,
                              const LacksCarried& lacks_carried) {
  held_ = std::max(held_, position);
  std::erase_if(ahead_, [&](const auto& item) {
    const AheadPeer& peer = item.second;
    if (peer.position > held_) return false;
    return peer.position.era < held_.era || !lacks_carried(peer.lacked);
  });
}

bool PeerReadSelector::IsAnyReadActive(Instant now) const {
  return std::any_of(reads_.begin(), reads_.end(), [now](const auto& read) {
    return now < read.second.last_progress + kStallTime;
  });
}

bool PeerReadSelector::HasRoom(bool same_domain) const {
  const auto reads = std::count_if(
      reads_.begin(), reads_.end(),
      [&](const auto& read) { return read.second.same_domain == same_domain; });
  return static_cast<std::size_t>(reads) < kMaxReadsPerSide;
}

std::optional<std::string> PeerReadSelector::ChoosePeer(
    bool same_domain, Instant now, const IsReachable& is_reachable) {
  std::vector<const std::string*> peers;
  for (const auto& [ip, peer] : ahead_) {
    if (peer.same_domain != same_domain || reads_.contains(ip)) continue;
    const auto aside = set_aside_.find(ip);
    if (aside != set_aside_.end() && now < aside->second) continue;
    if (is_reachable(ip)) peers.push_back(&ip);
  }
  if (peers.empty()) return std::nullopt;
  // Pick at random, so that not all nodes read from the same peer.
  std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
  return *peers[any(random_)];
}

std::optional<std::string> PeerReadSelector::StartRead(
    Instant now, const IsReachable& is_reachable) {
  std::erase_if(set_aside_,
                [now](const auto& peer) { return now >= peer.second; });
  if (ahead_.empty() || IsAnyReadActive(now)) return std::nullopt;
  std::optional<std::string> ip;
  bool same_domain = true;
  if (HasRoom(true)) ip = ChoosePeer(true, now, is_reachable);
  if (!ip && HasRoom(false) && now >= behind_since_ + cross_domain_delay_) {
    same_domain = false;
    ip = ChoosePeer(false, now, is_reachable);
  }
  if (ip) reads_[*ip] = {same_domain, now};
  return ip;
}

void PeerReadSelector::OnProgress(const std::string& ip, Instant now) {
  const auto read = reads_.find(ip);
  if (read != reads_.end()) read->second.last_progress = now;
}

void PeerReadSelector::OnReadEnded(const std::string& ip, PeerReadEnd end,
                                   Instant now) {
  reads_.erase(ip);
  if (end == PeerReadEnd::kFailed) set_aside_[ip] = now + kSetAsideTime;
  if (end == PeerReadEnd::kBusy) set_aside_[ip] = now + kBusyTime;
}

}  // namespace wisteriarill
