/// \file
/// The part of ConfigDisseminator that exchanges messages with peers.
#include <algorithm>
#include <utility>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"
#include "wisteriarill/version/config_disseminator.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kMaxDigestsPerPull = 256;
constexpr std::size_t kMaxChunkBytesPerReply = 512U << 10;
constexpr nanoseconds kChunkPullInterval = milliseconds(150);
constexpr std::size_t kMaxPendingPullsPerChunk = 64;

microseconds AgeSince(Instant at, Instant now) {
  if (at == kNever) return microseconds::max();
  return std::chrono::duration_cast<microseconds>(now - at);
}

}  // namespace

void ConfigDisseminator::SendTo(const PeerTarget& target, PeerMessage message) {
  actions_.push_back(SendToPeer{target, std::move(message)});
}

Version ConfigDisseminator::NewestKnownVersion() const {
  Version newest = store_.version();
  if (store_.candidate().has_value()) {
    newest = std::max(newest, *store_.candidate());
  }
  if (store_.rejected().has_value() && !store_.rejected()->reported_by_peer) {
    newest = std::max(newest, store_.rejected()->version);
  }
  return newest;
}

// Returns the node address of a random element of `servers`, or of the next one
// if that is this node. Returns an empty string if both are this node.
std::string ConfigDisseminator::RandomNodeAddress(
    const std::vector<ServerId>& servers) {
  if (servers.empty()) return {};
  const std::size_t first = random_() % servers.size();
  for (std::size_t i = 0; i < 2; ++i) {
    const ServerId id = servers[(first + i) % servers.size()];
    const std::string& node = store_.current()->server(id).node_address;
    if (node != options_.address) return node;
  }
  return {};
}

// Returns the address of a random peer, preferably in this node's failure
// domain if `same_domain` is set. Before the first version, returns a seed.
std::string ConfigDisseminator::RandomPeer(bool same_domain) {
  const auto& current = store_.current();
  if (current == nullptr || current->servers().empty()) {
    if (options_.seeds.empty()) return {};
    return options_.seeds[random_() % options_.seeds.size()];
  }
  const auto domain = current->FindFailureDomain(options_.failure_domain);
  if (same_domain && domain.has_value()) {
    std::string peer =
        RandomNodeAddress(current->failure_domain(*domain).servers);
    if (!peer.empty()) return peer;
  }
  const auto all = static_cast<std::uint32_t>(current->servers().size());
  return RandomNodeAddress(
      {ServerId{static_cast<std::uint32_t>(random_() % all)},
       ServerId{static_cast<std::uint32_t>(random_() % all)}});
}

Gossip ConfigDisseminator::MakeGossip(bool wants_reply, Instant now) const {
  Gossip gossip;
  gossip.version = store_.version();
  gossip.candidate = store_.candidate().value_or(Version{});
  gossip.confirmed_age = AgeSince(confirmed_at_, now);
  const bool known = published_version_ == store_.version();
  gossip.published_age = AgeSince(known ? published_at_ : kNever, now);
  if (store_.rejected().has_value()) {
    gossip.rejected = store_.rejected()->version;
    gossip.rejected_reason = store_.rejected()->reason;
  }
  gossip.vm_revision = vm_view_.revision;
  gossip.leaving = leaving_;
  gossip.wants_reply = wants_reply;
  return gossip;
}

void ConfigDisseminator::OnPeerMessage(const PeerTarget& from,
                                       const PeerMessage& message,
                                       Instant now) {
  last_contact_at_ = now;
  if (const auto* gossip = std::get_if<Gossip>(&message)) {
    OnGossip(from, *gossip, now);
  } else if (const auto* pull = std::get_if<ManifestPull>(&message)) {
    OnManifestPull(from, *pull);
  } else if (const auto* data = std::get_if<ManifestData>(&message)) {
    OnManifest(from, data->version, data->bytes, now);
  } else if (const auto* delta = std::get_if<ManifestDelta>(&message)) {
    OnManifestDelta(from, *delta, now);
  } else if (const auto* chunk_pull = std::get_if<ChunkPull>(&message)) {
    OnChunkPull(from, *chunk_pull);
  } else if (const auto* chunks = std::get_if<ChunkData>(&message)) {
    OnChunks(from, *chunks, now);
  } else if (const auto* view = std::get_if<VmView>(&message)) {
    OnVmView(*view);
  }
}

void ConfigDisseminator::OnGossip(const PeerTarget& from, const Gossip& gossip,
                                  Instant now) {
  if (!gossip.wants_reply) ++gossip_replies_;
  if (gossip.wants_reply) SendTo(from, MakeGossip(false, now));
  if (gossip.vm_revision < vm_view_.revision) SendTo(from, vm_view_);
  if (gossip.version == store_.version()) {
    if (gossip.confirmed_age != microseconds::max()) {
      confirmed_at_ = std::max(confirmed_at_, now - gossip.confirmed_age);
    }
    const bool known = published_version_ == store_.version();
    if (!known && gossip.published_age != microseconds::max()) {
      published_version_ = gossip.version;
      published_at_ = now - gossip.published_age;
    }
  }
  store_.RecordPeerRejection(gossip.rejected, gossip.rejected_reason);
  const Version offered = std::max(gossip.version, gossip.candidate);
  if (offered <= NewestKnownVersion()) {
    const bool useful =
        offered == NewestKnownVersion() && !store_.missing().empty();
    if (useful) PullChunksFrom(from, now);
    return;
  }
  if (pulled_at_ != kNever && now - pulled_at_ < options_.pull_timeout) return;
  pulled_at_ = now;
  SendTo(from, ManifestPull{store_.version()});
}

void ConfigDisseminator::OnManifestPull(const PeerTarget& from,
                                        const ManifestPull& pull) {
  if (store_.candidate().has_value()) {
    SendTo(from, ManifestData{*store_.candidate(), store_.candidate_bytes()});
    return;
  }
  const Version version = store_.version();
  if (version <= pull.base) return;
  const Manifest* base = history_.Find(pull.base);
  const Manifest* target = history_.Find(version);
  if (base == nullptr || target == nullptr) {
    SendTo(from, ManifestData{version, store_.manifest_bytes()});
    return;
  }
  ManifestDelta delta{pull.base, version, Sha256(store_.manifest_bytes()), {}};
  for (ManifestEntry& entry : DiffManifests(*base, *target)) {
    delta.changes.push_back({static_cast<std::uint8_t>(entry.kind),
                             std::move(entry.name), std::move(entry.digest)});
  }
  SendTo(from, std::move(delta));
}

void ConfigDisseminator::OnManifest(const PeerTarget& from,
                                    const Version& version, std::string bytes,
                                    Instant now) {
  pulled_at_ = kNever;
  OfferManifest(version, std::move(bytes), now);
  if (!store_.missing().empty()) PullChunksFrom(from, now);
}

void ConfigDisseminator::OnManifestDelta(const PeerTarget& from,
                                         const ManifestDelta& delta,
                                         Instant now) {
  const Manifest* base = history_.Find(delta.base);
  if (base == nullptr) return;
  ManifestDiff changes;
  for (const ManifestChange& change : delta.changes) {
    changes.push_back(
        {static_cast<ChunkKind>(change.kind), change.name, change.digest});
  }
  std::string bytes =
      EncodeManifest(PatchManifest(*base, delta.version.number, changes));
  if (Sha256(bytes) != delta.digest) {
    LogEvent(LogLevel::kWarning, "manifest_delta_mismatch")
        .With("base", ToString(delta.base))
        .With("version", ToString(delta.version));
    SendTo(from, ManifestPull{});
    return;
  }
  OnManifest(from, delta.version, std::move(bytes), now);
}

void ConfigDisseminator::OfferManifest(const Version& version,
                                       std::string bytes, Instant now) {
  HandleOfferResult(store_.OfferManifest(version, std::move(bytes)), now);
}

void ConfigDisseminator::PullChunksFrom(const PeerTarget& peer, Instant now) {
  if (now < next_chunk_pull_) return;
  next_chunk_pull_ = now + kChunkPullInterval;
  pulled_at_ = now;
  std::vector<std::string> wanted(store_.missing().begin(),
                                  store_.missing().end());
  // A random subset, so that peers that fetch at the same time get different
  // chunks and can exchange them.
  if (wanted.size() > kMaxDigestsPerPull) {
    std::shuffle(wanted.begin(), wanted.end(), random_);
    wanted.resize(kMaxDigestsPerPull);
  }
  SendTo(peer, ChunkPull{std::move(wanted)});
}

void ConfigDisseminator::OnChunkPull(const PeerTarget& from,
                                     const ChunkPull& pull) {
  ChunkData data;
  std::size_t bytes = 0;
  for (const std::string& digest : pull.digests) {
    const std::string* chunk = store_.FindChunk(digest);
    if (chunk == nullptr) {
      auto& waiting = pending_pulls_[digest];
      const bool fetching = store_.missing().count(digest) > 0;
      const bool known = std::any_of(
          waiting.begin(), waiting.end(), [&](const PeerTarget& target) {
            return target.link == from.link && target.address == from.address;
          });
      if (options_.coalesce_fetches && fetching && !known &&
          waiting.size() < kMaxPendingPullsPerChunk) {
        waiting.push_back(from);
      }
      if (waiting.empty()) pending_pulls_.erase(digest);
      continue;
    }
    if (bytes + chunk->size() > kMaxChunkBytesPerReply && bytes > 0) break;
    bytes += chunk->size();
    data.chunks.push_back(*chunk);
  }
  if (!data.chunks.empty()) SendTo(from, std::move(data));
}

void ConfigDisseminator::ServePendingPulls(const std::string& digest) {
  const auto waiting = pending_pulls_.find(digest);
  if (waiting == pending_pulls_.end()) return;
  const std::string* chunk = store_.FindChunk(digest);
  if (chunk == nullptr) return;
  for (const PeerTarget& target : waiting->second) {
    SendTo(target, ChunkData{{*chunk}});
  }
  pending_pulls_.erase(waiting);
}

void ConfigDisseminator::OnChunks(const PeerTarget& from, const ChunkData& data,
                                  Instant now) {
  std::size_t bytes = 0;
  for (const std::string& chunk : data.chunks) {
    bytes += chunk.size();
    const OfferResult result = store_.OfferChunk(chunk);
    ServePendingPulls(Sha256(chunk));
    HandleOfferResult(result, now);
  }
  if (store_.missing().empty()) return;
  // A full reply means that the peer probably has more chunks, a small one that
  // it does not.
  if (bytes >= kMaxChunkBytesPerReply / 2) next_chunk_pull_ = now;
  PullChunksFrom(from, now);
}

void ConfigDisseminator::OnVmView(const VmView& view) {
  if (view.revision <= vm_view_.revision) return;
  vm_view_ = view;
  watch_rank_ = WatchRank();
  actions_.push_back(VmViewChanged{vm_view_.leaving});
}

void ConfigDisseminator::HandleOfferResult(OfferResult result, Instant now) {
  if (result == OfferResult::kApplied) OnApplied(now);
  if (result == OfferResult::kRejected) PushGossip(now);
}

void ConfigDisseminator::OnApplied(Instant now) {
  applied_at_ = now;
  pulled_at_ = kNever;
  watch_rank_ = WatchRank();
  pending_pulls_.clear();
  chunk_retry_at_.clear();
  const Version version = store_.version();
  Result<Manifest> manifest = DecodeManifest(store_.manifest_bytes());
  if (manifest) history_.Add(version, std::move(manifest).value());
  // The confirmation of the previous version does not apply to this one.
  confirmed_at_ = kNever;
  LogEvent(LogLevel::kInfo, "version_in_force")
      .With("version", ToString(version));
  actions_.push_back(VersionApplied{store_.current()});
  PushGossip(now);
}

// Sends gossip to a few random peers right away, so that a change does not wait
// for the next periodic gossip.
void ConfigDisseminator::PushGossip(Instant now) {
  std::set<std::string> targets;
  for (std::uint32_t i = 0; i < options_.same_domain_pushes; ++i) {
    targets.insert(RandomPeer(true));
  }
  for (std::uint32_t i = 0; i < options_.any_domain_pushes; ++i) {
    targets.insert(RandomPeer(false));
  }
  targets.erase(std::string());
  for (const std::string& target : targets) {
    SendTo({{}, target}, MakeGossip(false, now));
  }
}

}  // namespace wisteriarill
