/// \file
/// Which nodes read the store for all others, and when this node reads it
/// itself.
#include <algorithm>
#include <utility>

#include "wisteriarill/mesh/proxy.h"

namespace wisteriarill {
namespace {

/// Number of members of the control group that a node asks at a time whether
/// they still read the store.
constexpr std::size_t kAskedMembers = 2;
/// A node that reaches a smaller part of the registered nodes is likely to be
/// cut off from the store, too.
constexpr double kCutOffReach = 0.5;

}  // namespace

void Proxy::UpdateControlGroup() {
  const std::uint64_t epoch = peers_.membership_epoch();
  if (std::exchange(control_group_epoch_, epoch) == epoch) return;
  std::vector<WatchCandidate> nodes = {
      {settings_.ip, settings_.failure_domain, false}};
  domain_node_count_ = 1;
  for (const Peer* peer : peers_.registered()) {
    nodes.push_back({peer->ip, peer->failure_domain, false});
    if (peer->failure_domain == settings_.failure_domain) ++domain_node_count_;
  }
  control_group_ = SelectControlGroup(nodes);
}

std::vector<WatchCandidate> Proxy::LiveControlPeers(Instant now) {
  std::vector<WatchCandidate> live;
  for (const std::string& ip : control_group_) {
    const Peer* peer = peers_.Find(ip);
    if (peer == nullptr || peer->IsLeaving(now)) continue;
    if (!peer->HasStatusWithin(kPeerTimeout, now)) continue;
    live.push_back({ip, peer->failure_domain, peer->status.watching});
  }
  return live;
}

bool Proxy::IsInControlGroup() const {
  return control_group_.empty() ||
         std::find(control_group_.begin(), control_group_.end(),
                   settings_.ip) != control_group_.end();
}

bool Proxy::IsWatchWanted(Instant now) {
  const std::vector<WatchCandidate> live = LiveControlPeers(now);
  const WatchCandidate own{settings_.ip, settings_.failure_domain,
                           registry_.watching()};
  registry_.SetSecondaryWatcher(CountWatchersBefore(own, live) > 0 &&
                                freshness_.Age(now) <= takeover_.peer_time());
  if (IsInControlGroup() && ShouldWatch(own, live)) return true;
  if (registry_.watch_wanted()) return !IsServedByWatchers(live, now);
  // After a standstill, peers first get the time to bring what was missed.
  const bool has_resumed =
      resumed_at_ != kNever && now < resumed_at_ + takeover_.peer_time();
  if (has_resumed) return false;
  const bool takes_over =
      takeover_.ShouldRead(freshness_.Age(now), freshness_.BehindFor(now),
                           freshness_.ReadBegunAge(now), domain_node_count_);
  if (takes_over) TakeOverStoreReads(now);
  return takes_over;
}

void Proxy::TakeOverStoreReads(Instant now) {
  took_over_at_ = now;
  freshness_.OnReadBegun(now);
  peer_service_.PushChange(position_, "", false);
}

void Proxy::OnReadBegunAtPeer(const std::string& ip, const ToldEvent& begun,
                              Instant now) {
  const Peer* peer = peers_.Find(ip);
  const bool same_domain =
      peer != nullptr && peer->failure_domain == settings_.failure_domain;
  if (!same_domain) return;
  const milliseconds age_before = freshness_.ReadBegunAge(now);
  freshness_.OnReadBegunHeard(begun, now);
  if (takeover_.ShouldAnnounce(age_before, freshness_.ReadBegunAge(now)))
    peer_service_.PushChange(position_, "", false);
}

bool Proxy::IsServedByWatchers(const std::vector<WatchCandidate>& live,
                               Instant now) {
  if (took_over_at_ != kNever &&
      now < took_over_at_ + takeover_.min_stand_in_time())
    return false;
  return std::any_of(live.begin(), live.end(),
                     [](const WatchCandidate& peer) { return peer.watching; });
}

// A watch that waits on a silent connection counts as read for seconds. Before
// that, the peers that are gone show the cut.
bool Proxy::IsCutOff(Instant now) const {
  return freshness_.Age(now) > takeover_.max_age() ||
         peer_service_.reach() < kCutOffReach;
}

void Proxy::OnStoreRead(Instant at, Instant now) {
  const milliseconds age_before = freshness_.Age(now);
  freshness_.OnConfirmed(at);
  if (takeover_.ShouldAnnounce(age_before, freshness_.Age(now)))
    peer_service_.PushChange(position_, "", true);
}

std::vector<std::string> Proxy::ControlPeersToProbe(bool watch_wanted,
                                                    Instant now) {
  if (watch_wanted || IsInControlGroup()) return control_group_;
  if (freshness_.Age(now) <= takeover_.ask_age()) return {};
  // The members may be dead, so each tick asks others.
  std::vector<std::string> asked;
  for (std::size_t i = 0; i < kAskedMembers; ++i) {
    asked.push_back(control_group_[next_asked_++ % control_group_.size()]);
  }
  return asked;
}

void Proxy::UpdateWatchRole(Instant now) {
  if (registry_.watching()) {
    OnStoreRead(registry_.StoreReadAt(now), now);
    ConfirmRegistry();
  }
  const bool wanted = IsWatchWanted(now);
  registry_.SetWatchWanted(wanted);
  registry_.SetInControlGroup(IsInControlGroup());
  peer_service_.SetControlPeers(ControlPeersToProbe(wanted, now));
  if (registry_.store_unavailable()) freshness_.OnFailed(now);
  if (freshness_.IsUnreachable(now))
    state_.membership().OnRegistryUnavailable(now);
}

}  // namespace wisteriarill
