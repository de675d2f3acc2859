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

}  // namespace

void Proxy::UpdateControlGroup() {
  const std::uint64_t epoch = peers_.membership_epoch();
  if (std::exchange(control_group_epoch_, epoch) == epoch) return;
  std::vector<WatchCandidate> nodes = {
      {settings_.ip, settings_.failure_domain, false}};
  for (const Peer* peer : peers_.registered()) {
    nodes.push_back({peer->ip, peer->failure_domain, false});
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
  registry_.SetSecondaryWatcher(CountWatchersBefore(own, live) > 0);
  if (IsInControlGroup() && ShouldWatch(own, live)) return true;
  // This node stands in for the control group until a member watches again.
  if (registry_.watch_wanted()) {
    return std::none_of(
        live.begin(), live.end(),
        [](const WatchCandidate& peer) { return peer.watching; });
  }
  return store_freshness_.Age(now) > takeover_.TakeoverAge(peers_.NodeCount());
}

void Proxy::OnStoreRead(Instant now) {
  const milliseconds age_before = store_freshness_.Age(now);
  store_freshness_.OnConfirmed(now);
  if (takeover_.ShouldAnnounce(age_before, milliseconds(0)))
    peer_service_.PushChange(revision_, "", true);
}

std::vector<std::string> Proxy::ControlPeersToProbe(bool watch_wanted,
                                                    Instant now) {
  if (watch_wanted || IsInControlGroup()) return control_group_;
  if (store_freshness_.Age(now) <= takeover_.ask_age()) return {};
  // The members may be dead, so each tick asks others.
  std::vector<std::string> asked;
  for (std::size_t i = 0; i < kAskedMembers; ++i) {
    asked.push_back(control_group_[next_asked_++ % control_group_.size()]);
  }
  return asked;
}

void Proxy::UpdateWatchRole(Instant now) {
  if (registry_.watching()) {
    OnStoreRead(now);
    ConfirmRegistry();
  }
  const bool wanted = IsWatchWanted(now);
  registry_.SetWatchWanted(wanted);
  registry_.SetInControlGroup(IsInControlGroup());
  peer_service_.SetControlPeers(ControlPeersToProbe(wanted, now));
  if (registry_.store_unavailable()) store_freshness_.OnFailed(now);
  if (store_freshness_.IsUnreachable(now))
    state_.membership().OnRegistryUnavailable(now);
}

}  // namespace wisteriarill
