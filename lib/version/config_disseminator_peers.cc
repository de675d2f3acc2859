/// \file
/// What the spread says to peers and takes from them.
#include <algorithm>
#include <utility>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"
#include "wisteriarill/version/config_disseminator.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kDigestsPerPull = 256;
constexpr std::size_t kMostChunkBytes = 512U << 10;
constexpr nanoseconds kChunkPullInterval = milliseconds(150);
constexpr std::size_t kMostWaitingPulls = 64;

microseconds AgeSince(Instant at, Instant now) {
  if (at == kNever) return microseconds::max();
  return std::chrono::duration_cast<microseconds>(now - at);
}

}  // namespace

void ConfigDisseminator::SendTo(const PeerTarget& target, PeerMessage message) {
  actions_.push_back(SendToPeer{target, std::move(message)});
}

Version ConfigDisseminator::NewestKnown() const {
  Version newest = store_.version();
  if (store_.candidate().has_value()) {
    newest = std::max(newest, *store_.candidate());
  }
  if (store_.rejected().has_value() && !store_.rejected()->heard) {
    newest = std::max(newest, store_.rejected()->version);
  }
  return newest;
}

// Returns a node of `servers` other than this one; empty if there is none.
std::string ConfigDisseminator::RandomOf(const std::vector<ServerId>& servers) {
  if (servers.empty()) return {};
  const std::size_t first = random_() % servers.size();
  for (std::size_t i = 0; i < 2; ++i) {
    const ServerId id = servers[(first + i) % servers.size()];
    const std::string& node = store_.current()->server(id).node_address;
    if (node != options_.address) return node;
  }
  return {};
}

std::string ConfigDisseminator::RandomPeer(bool near) {
  const auto& current = store_.current();
  if (current == nullptr || current->servers().empty()) {
    if (options_.seeds.empty()) return {};
    return options_.seeds[random_() % options_.seeds.size()];
  }
  const auto domain = current->FindFailureDomain(options_.failure_domain);
  if (near && domain.has_value()) {
    std::string peer = RandomOf(current->failure_domain(*domain).servers);
    if (!peer.empty()) return peer;
  }
  const auto all = static_cast<std::uint32_t>(current->servers().size());
  return RandomOf({ServerId{static_cast<std::uint32_t>(random_() % all)},
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

void ConfigDisseminator::OnPeerMessage(const PeerTarget& from, const PeerMessage& message,
                           Instant now) {
  heard_at_ = now;
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
  if (!gossip.wants_reply) ++replies_;
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
  store_.NoteRejectedElsewhere(gossip.rejected, gossip.rejected_reason);
  const Version offered = std::max(gossip.version, gossip.candidate);
  if (offered <= NewestKnown()) {
    const bool useful = offered == NewestKnown() && !store_.missing().empty();
    if (useful) PullChunksFrom(from, now);
    return;
  }
  if (pulled_at_ != kNever && now - pulled_at_ < options_.pull_timeout) return;
  pulled_at_ = now;
  SendTo(from, ManifestPull{store_.version()});
}

void ConfigDisseminator::OnManifestPull(const PeerTarget& from, const ManifestPull& pull) {
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

void ConfigDisseminator::OnManifest(const PeerTarget& from, const Version& version,
                        std::string bytes, Instant now) {
  pulled_at_ = kNever;
  OfferManifest(version, std::move(bytes), now);
  if (!store_.missing().empty()) PullChunksFrom(from, now);
}

void ConfigDisseminator::OnManifestDelta(const PeerTarget& from, const ManifestDelta& delta,
                             Instant now) {
  const Manifest* base = history_.Find(delta.base);
  if (base == nullptr) return;
  ManifestDifference changes;
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

void ConfigDisseminator::OfferManifest(const Version& version, std::string bytes,
                           Instant now) {
  AfterVerdict(store_.OfferManifest(version, std::move(bytes)), now);
}

void ConfigDisseminator::PullChunksFrom(const PeerTarget& peer, Instant now) {
  if (now < next_chunk_pull_) return;
  next_chunk_pull_ = now + kChunkPullInterval;
  pulled_at_ = now;
  std::vector<std::string> wanted(store_.missing().begin(),
                                  store_.missing().end());
  // A random part: peers that load together then have different chunks.
  if (wanted.size() > kDigestsPerPull) {
    std::shuffle(wanted.begin(), wanted.end(), random_);
    wanted.resize(kDigestsPerPull);
  }
  SendTo(peer, ChunkPull{std::move(wanted)});
}

void ConfigDisseminator::OnChunkPull(const PeerTarget& from, const ChunkPull& pull) {
  ChunkData data;
  std::size_t bytes = 0;
  for (const std::string& digest : pull.digests) {
    const std::string* chunk = store_.FindChunk(digest);
    if (chunk == nullptr) {
      auto& waiting = waiting_pulls_[digest];
      const bool coming = store_.missing().count(digest) > 0;
      const bool known = std::any_of(
          waiting.begin(), waiting.end(), [&](const PeerTarget& target) {
            return target.link == from.link && target.address == from.address;
          });
      if (options_.coalesce_fetches && coming && !known &&
          waiting.size() < kMostWaitingPulls) {
        waiting.push_back(from);
      }
      if (waiting.empty()) waiting_pulls_.erase(digest);
      continue;
    }
    if (bytes + chunk->size() > kMostChunkBytes && bytes > 0) break;
    bytes += chunk->size();
    data.chunks.push_back(*chunk);
  }
  if (!data.chunks.empty()) SendTo(from, std::move(data));
}

void ConfigDisseminator::AnswerWaitingPulls(const std::string& digest) {
  const auto waiting = waiting_pulls_.find(digest);
  if (waiting == waiting_pulls_.end()) return;
  const std::string* chunk = store_.FindChunk(digest);
  if (chunk == nullptr) return;
  for (const PeerTarget& target : waiting->second) {
    SendTo(target, ChunkData{{*chunk}});
  }
  waiting_pulls_.erase(waiting);
}

void ConfigDisseminator::OnChunks(const PeerTarget& from, const ChunkData& data,
                      Instant now) {
  std::size_t bytes = 0;
  for (const std::string& chunk : data.chunks) {
    bytes += chunk.size();
    const OfferResult verdict = store_.OfferChunk(chunk);
    AnswerWaitingPulls(Sha256(chunk));
    AfterVerdict(verdict, now);
  }
  if (store_.missing().empty()) return;
  // A full answer means that the peer has more; a short one that it does not.
  if (bytes >= kMostChunkBytes / 2) next_chunk_pull_ = now;
  PullChunksFrom(from, now);
}

void ConfigDisseminator::OnVmView(const VmView& view) {
  if (view.revision <= vm_view_.revision) return;
  vm_view_ = view;
  rank_ = WatchRank();
  actions_.push_back(VmViewChanged{vm_view_.leaving});
}

void ConfigDisseminator::AfterVerdict(OfferResult verdict, Instant now) {
  if (verdict == OfferResult::kApplied) OnApplied(now);
  if (verdict == OfferResult::kRejected) Push(now);
}

void ConfigDisseminator::OnApplied(Instant now) {
  applied_at_ = now;
  pulled_at_ = kNever;
  rank_ = WatchRank();
  waiting_pulls_.clear();
  absent_chunks_.clear();
  const Version version = store_.version();
  Result<Manifest> manifest = DecodeManifest(store_.manifest_bytes());
  if (manifest) history_.Add(version, std::move(manifest).value());
  // What confirmed the former version says nothing of this one.
  confirmed_at_ = kNever;
  LogEvent(LogLevel::kInfo, "version_in_force")
      .With("version", ToString(version));
  actions_.push_back(VersionApplied{store_.current()});
  Push(now);
}

// Tells a few peers at once, so that a change need not wait for gossip.
void ConfigDisseminator::Push(Instant now) {
  std::set<std::string> targets;
  for (std::uint32_t i = 0; i < options_.near_pushes; ++i) {
    targets.insert(RandomPeer(true));
  }
  for (std::uint32_t i = 0; i < options_.far_pushes; ++i) {
    targets.insert(RandomPeer(false));
  }
  targets.erase(std::string());
  for (const std::string& target : targets) {
    SendTo({{}, target}, MakeGossip(false, now));
  }
}

}  // namespace wisteriarill
