#include "wisteriarill/mesh/peer_table.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// Idle time after which a connection to a peer is not used again.
constexpr milliseconds kMostIdle{10000};
/// A node that was never heard of is tried for this long after its listing.
constexpr milliseconds kFirstContact{1500};
/// An answer that has begun is given up when its peer is silent for this long.
constexpr milliseconds kBrokenAnswer{2100};
/// How long a refusal for want of room is remembered.
constexpr milliseconds kLeastFull{5};
constexpr milliseconds kMostFull{200};

}  // namespace

bool Peer::IsReachable(Instant now) const {
  if (heartbeat.leaving) return false;
  if (last_heard == kNever) return listed != kNever && now < listed + kFirstContact;
  return now < last_heard + kPeerSilence;
}

void Peer::OnBackendFull(std::int32_t urgency, milliseconds wait, Instant now) {
  const bool was_full = now < full_until;
  full_urgency = was_full ? std::min(full_urgency, urgency) : urgency;
  // Half of the wait: calls that are queued there keep it busy until then.
  full_until = now + std::clamp(wait / 2, kLeastFull, kMostFull);
}

bool Peer::IsKnown(Instant now) const {
  return registered || (last_heard != kNever && now < last_heard + kPeerSilence);
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
  peer->pool = std::make_unique<ClientConnectionPool>(loop_, endpoint.value(), kMostIdle);
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
    if (peer->listed == kNever) peer->listed = now;
  }
}

void PeerTable::OnBeat(const std::string& ip, const PeerHeartbeat& beat,
                       Instant now) {
  if (ip == own_ip_) return;
  Peer* peer = Add(ip);
  if (peer == nullptr) return;
  if (peer->last_heard == kNever || now >= peer->last_heard + kPeerSilence) {
    LogEvent(LogLevel::kInfo, "peer_regained").With("peer", ip);
  }
  peer->heartbeat = beat;
  peer->last_heard = now;
  peer->calls_since_heartbeat = 0;
}

void PeerTable::OnTick(Instant now) {
  for (auto& [ip, peer] : peers_) {
    if (peer->last_heard == kNever) continue;
    for (const auto& [call, repeatable] : peer->calls) {
      peer->last_heard = std::max(peer->last_heard, call->last_read());
    }
    if (now >= peer->last_heard + kPeerSilence) EndCalls(peer.get(), now);
  }
}

void PeerTable::EndCalls(Peer* peer, Instant now) {
  const nanoseconds silent = now - peer->last_heard;
  std::vector<ClientConnection*> ended;
  for (const auto& [call, repeatable] : peer->calls) {
    // The reader may have a part of an answer that has begun, which can't be
    // taken back.
    const bool hopeless = !call->has_response_bytes() || silent >= kBrokenAnswer;
    if (repeatable && hopeless) ended.push_back(call);
  }
  if (ended.empty()) return;
  LogEvent(LogLevel::kWarning, "peer_lost")
      .With("peer", peer->ip)
      .With("silent_ms", ToMillis(silent))
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
    if (now < peer->last_heard + kPeerSilence) live.push_back(ip);
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
