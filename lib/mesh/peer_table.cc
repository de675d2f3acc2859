#include "wisteriarill/mesh/peer_table.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// Idle time after which a connection to a peer isn't reused. Open connections
/// may go silent while new ones work, and calls have to pass again three
/// seconds later.
constexpr milliseconds kMaxIdleTime{2800};
/// Time instead of kPeerTimeout for a call whose response has started.
constexpr milliseconds kStartedResponseTimeout{2100};
/// A suspect peer is probed again after this time.
constexpr milliseconds kReprobeInterval{1000};
/// A peer that said that it is leaving is asked after this time whether it is
/// back. Restarts take less than a second.
constexpr milliseconds kLeavingReprobeInterval{300};
/// Time for which a peer that is no longer registered is kept, because its
/// registration may be late.
constexpr milliseconds kUnregisteredTimeout{10000};
/// Bounds of the time for which a rejection by a full server is remembered.
constexpr milliseconds kMinFullTime{5};
constexpr milliseconds kMaxFullTime{200};

}  // namespace

void Peer::OnProbeSent(Instant now) {
  last_probe = now;
  ++unanswered_probes;
  if (unanswered_since == kNever) unanswered_since = now;
}

void Peer::OnHeard(Instant now) {
  last_heard = now;
  unanswered_since = kNever;
  unanswered_probes = 0;
}

void Peer::OnStall(nanoseconds stall, Instant now) {
  for (auto& [connection, call] : calls) {
    call.phase_began = std::min<Instant>(now, call.phase_began + stall);
  }
  if (unanswered_since == kNever) return;
  unanswered_since = std::min<Instant>(now, unanswered_since + stall);
}

void Peer::OnUnreachable(Instant now) {
  last_probe = now;
  if (unanswered_since == kNever) unanswered_since = now - kSuspectTimeout;
}

bool Peer::IsSilent(Instant now, nanoseconds timeout) const {
  return unanswered_since != kNever && now >= unanswered_since + timeout;
}

bool Peer::IsSuspect(Instant now) const {
  return IsSilent(now, kSuspectTimeout) && now < last_probe + kReprobeInterval;
}

bool Peer::IsLeaving(Instant now) const {
  return status.leaving && HasStatusWithin(kReprobeInterval, now);
}

bool Peer::IsReachable(Instant now) const {
  return !status.leaving && !IsSuspect(now);
}

bool Peer::ShouldAskWhetherBack(Instant now) const {
  return status.leaving && !HasStatusWithin(kLeavingReprobeInterval, now) &&
         now >= last_probe + kLeavingReprobeInterval;
}

void Peer::OnBackendFull(std::int32_t urgency, milliseconds wait, Instant now) {
  const bool was_full = now < full_until;
  full_urgency = was_full ? std::min(full_urgency, urgency) : urgency;
  // Use half of the wait: calls that are queued there keep the server busy
  // until then.
  full_until = now + std::clamp(wait / 2, kMinFullTime, kMaxFullTime);
}

Peer* PeerTable::Add(const std::string& ip) {
  std::unique_ptr<Peer>& peer = peers_[ip];
  if (peer != nullptr) return peer.get();
  const auto endpoint = ParseEndpoint(ip + ":" + std::to_string(port_));
  if (!endpoint) {
    peers_.erase(ip);
    return nullptr;
  }
  peer = std::make_unique<Peer>();
  peer->ip = ip;
  peer->pool = std::make_unique<ClientConnectionPool>(loop_, endpoint.value(),
                                                      kMaxIdleTime);
  return peer.get();
}

void PeerTable::OnMembership(const Membership& membership, Instant now) {
  const std::vector<Peer*> before = registered_;
  for (auto& [ip, peer] : peers_) peer->registered = false;
  for (const auto& [instance, entry] : membership.entries()) {
    if (entry.ip == own_ip_ || !membership.IsNamed(entry)) continue;
    Peer* peer = Add(entry.ip);
    if (peer == nullptr) continue;
    peer->registered = true;
    peer->failure_domain = entry.failure_domain;
  }
  std::erase_if(peers_, [now](const auto& item) {
    const Peer& peer = *item.second;
    const bool heard = peer.HeardWithin(kUnregisteredTimeout, now);
    return !peer.registered && peer.calls.empty() && !heard;
  });
  registered_.clear();
  for (auto& [ip, peer] : peers_) {
    if (peer->registered) registered_.push_back(peer.get());
  }
  if (registered_ != before) ++membership_epoch_;
}

void PeerTable::OnHeard(const std::string& ip, Instant now) {
  if (ip == own_ip_) return;
  Peer* peer = Add(ip);
  if (peer == nullptr) return;
  if (peer->IsSilent(now, kPeerTimeout)) {
    LogEvent(LogLevel::kInfo, "peer_regained").With("peer", ip);
  }
  peer->OnHeard(now);
}

void PeerTable::OnStatus(const std::string& ip, const PeerStatus& status,
                         Instant now) {
  OnHeard(ip, now);
  Peer* peer = Find(ip);
  if (peer == nullptr) return;
  peer->status = status;
  peer->status_at = now;
  peer->calls_since_status = 0;
}

void PeerTable::OnStall(nanoseconds stall, Instant now) {
  for (auto& [ip, peer] : peers_) peer->OnStall(stall, now);
}

void PeerTable::OnTick(Instant now) {
  for (Peer* peer : PeersWithCalls()) {
    for (const auto& [call, state] : peer->calls) {
      const bool heard = peer->unanswered_since != kNever &&
                         call->last_read() > peer->unanswered_since;
      if (heard) peer->unanswered_since = call->last_read();
    }
    if (peer->IsSilent(now, kPeerTimeout)) EndRetryableCalls(peer, now);
  }
}

bool PeerTable::HasTimedOut(const Peer& peer,
                            const ClientConnection& connection,
                            const PeerCall& call, Instant now) {
  switch (call.phase) {
    case PeerCall::Phase::kConnecting:
      return peer.IsSilent(now, kPeerTimeout) &&
             now >= call.phase_began + kSuspectTimeout;
    case PeerCall::Phase::kSending:
      // A long body may take a while. The operating system ends a connection
      // to which nothing can be sent.
      return false;
    case PeerCall::Phase::kWaiting:
      break;
  }
  // A response that has started gets more time: it can be retried only while
  // all of it is still buffered here.
  const milliseconds timeout =
      connection.has_response_bytes() ? kStartedResponseTimeout : kPeerTimeout;
  // A probe that was lost before the call says nothing about the call.
  return now >= std::max(peer.unanswered_since, call.phase_began) + timeout;
}

void PeerTable::EndRetryableCalls(Peer* peer, Instant now) {
  nanoseconds shortest_wait = nanoseconds::max();
  std::vector<ClientConnection*> ended;
  for (const auto& [connection, call] : peer->calls) {
    const bool is_ending = connection->closed();
    if (is_ending || !HasTimedOut(*peer, *connection, call, now)) continue;
    // A call that is not sent yet has not run, so it needs no retry.
    const bool waiting = call.phase == PeerCall::Phase::kWaiting;
    if (waiting && !call.take_retry()) continue;
    ended.push_back(connection);
    if (waiting) {
      shortest_wait =
          std::min<nanoseconds>(shortest_wait, now - call.phase_began);
    }
  }
  if (ended.empty()) return;
  LogEvent event(LogLevel::kWarning, "peer_lost");
  event.With("peer", peer->ip)
      .With("silent_ms", ToMillis(now - peer->unanswered_since))
      .With("probes", peer->unanswered_probes)
      .With("last_probe_ms", ToMillis(now - peer->last_probe))
      .With("ended_calls", ended.size());
  if (shortest_wait != nanoseconds::max())
    event.With("shortest_wait_ms", ToMillis(shortest_wait));
  // The calls stay listed until they have ended, so that the peer does, too.
  for (ClientConnection* connection : ended) connection->Close();
  peer->pool->Clear();
}

Peer* PeerTable::Find(const std::string& ip) {
  const auto found = peers_.find(ip);
  return found == peers_.end() ? nullptr : found->second.get();
}

std::vector<Peer*> PeerTable::PeersWithCalls() const {
  std::vector<Peer*> with_calls;
  for (const auto& [ip, peer] : peers_) {
    if (!peer->calls.empty()) with_calls.push_back(peer.get());
  }
  return with_calls;
}

}  // namespace wisteriarill
