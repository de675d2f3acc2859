#include "wisteriarill/mesh/peer_table.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// Idle time after which a connection to a peer isn't reused.
constexpr milliseconds kMaxIdleTime{10000};
/// A newly listed peer gets calls for this long before its first heartbeat.
constexpr milliseconds kFirstContactTimeout{1500};
/// A call whose response has started is ended when its peer is unresponsive for
/// this long.
constexpr milliseconds kStartedResponseTimeout{2100};
/// Bounds of the time for which a rejection by a full server is remembered.
constexpr milliseconds kMinFullTime{5};
constexpr milliseconds kMaxFullTime{200};

}  // namespace

bool Peer::IsReachable(Instant now) const {
  if (heartbeat.leaving) return false;
  if (last_heard == kNever)
    return first_listed != kNever && now < first_listed + kFirstContactTimeout;
  return now < last_heard + kPeerTimeout;
}

void Peer::OnBackendFull(std::int32_t urgency, milliseconds wait, Instant now) {
  const bool was_full = now < full_until;
  full_urgency = was_full ? std::min(full_urgency, urgency) : urgency;
  // Use half of the wait: calls that are queued there keep the server busy
  // until then.
  full_until = now + std::clamp(wait / 2, kMinFullTime, kMaxFullTime);
}

bool Peer::IsKnown(Instant now) const {
  return registered ||
         (last_heard != kNever && now < last_heard + kPeerTimeout);
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
  for (auto& [ip, peer] : peers_) peer->registered = false;
  for (const auto& [instance, entry] : membership.entries()) {
    if (entry.ip == own_ip_) continue;
    Peer* peer = Add(entry.ip);
    if (peer == nullptr) continue;
    peer->registered = true;
    peer->failure_domain = entry.failure_domain;
    if (peer->first_listed == kNever) peer->first_listed = now;
  }
}

void PeerTable::OnHeartbeat(const std::string& ip,
                            const PeerHeartbeat& heartbeat, Instant now) {
  if (ip == own_ip_) return;
  Peer* peer = Add(ip);
  if (peer == nullptr) return;
  if (peer->last_heard == kNever || now >= peer->last_heard + kPeerTimeout) {
    LogEvent(LogLevel::kInfo, "peer_regained").With("peer", ip);
  }
  peer->heartbeat = heartbeat;
  peer->last_heard = now;
  peer->calls_since_heartbeat = 0;
}

void PeerTable::OnTick(Instant now) {
  for (auto& [ip, peer] : peers_) {
    if (peer->last_heard == kNever) continue;
    for (const auto& [call, retryable] : peer->calls) {
      peer->last_heard = std::max(peer->last_heard, call->last_read());
    }
    if (now >= peer->last_heard + kPeerTimeout)
      EndRetryableCalls(peer.get(), now);
  }
}

void PeerTable::EndRetryableCalls(Peer* peer, Instant now) {
  const nanoseconds time_since_heard = now - peer->last_heard;
  std::vector<ClientConnection*> ended;
  for (const auto& [call, retryable] : peer->calls) {
    // If the response has started, the client may already have a part of it,
    // and the call can't be retried. Such a response gets more time.
    const bool give_up = !call->has_response_bytes() ||
                         time_since_heard >= kStartedResponseTimeout;
    if (retryable && give_up) ended.push_back(call);
  }
  if (ended.empty()) return;
  LogEvent(LogLevel::kWarning, "peer_lost")
      .With("peer", peer->ip)
      .With("silent_ms", ToMillis(time_since_heard))
      .With("repeated_calls", ended.size());
  for (ClientConnection* call : ended) {
    peer->calls.erase(call);
    call->Close();
  }
  peer->pool->Clear();
}

Peer* PeerTable::Find(const std::string& ip) {
  const auto found = peers_.find(ip);
  return found == peers_.end() ? nullptr : found->second.get();
}

std::vector<std::string> PeerTable::LiveNodes(Instant now) const {
  std::vector<std::string> live = {own_ip_};
  for (const auto& [ip, peer] : peers_) {
    if (peer->last_heard == kNever || peer->heartbeat.leaving) continue;
    if (now < peer->last_heard + kPeerTimeout) live.push_back(ip);
  }
  return live;
}

std::vector<std::string> PeerTable::Addresses(Instant now) const {
  std::vector<std::string> addresses;
  for (const auto& [ip, peer] : peers_) {
    if (peer->IsKnown(now)) addresses.push_back(ip);
  }
  return addresses;
}

std::size_t PeerTable::NodeCount(Instant now) const {
  std::size_t count = 1;
  for (const auto& [ip, peer] : peers_) {
    if (peer->IsKnown(now) && !peer->heartbeat.leaving) ++count;
  }
  return count;
}

}  // namespace wisteriarill
