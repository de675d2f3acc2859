/// \file
/// Roles, timers and platform reads of the spread.
#include "wisteriarill/version/config_disseminator.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

// Nodes of a rank behind the watchers step in, one after another, when no
// confirmation reaches them.
constexpr std::uint32_t kStandIns = 4;
constexpr nanoseconds kStandInDelay = seconds(2);
constexpr double kMostReadsSaved = 40;
constexpr nanoseconds kVmReadInterval = seconds(5);
constexpr nanoseconds kAbsentChunkPause = milliseconds(500);
constexpr nanoseconds kLeastBackoff = milliseconds(100);
constexpr std::uint32_t kMostBackoffDoublings = 5;
constexpr nanoseconds kSettling = seconds(2);
constexpr nanoseconds kRereadPause = seconds(20);
constexpr std::uint32_t kEnoughReplies = 3;

}  // namespace

ConfigDisseminator::ConfigDisseminator(ConfigDisseminatorOptions options, std::uint64_t seed, Instant started)
    : options_(std::move(options)),
      started_(started),
      random_(seed),
      heard_at_(started),
      reads_earned_at_(started) {
  // A herd that starts together spreads its first reads over the time in
  // which each node earns one.
  reads_saved_ = std::uniform_real_distribution<double>(0, 1)(random_);
}

std::vector<ConfigDisseminatorAction> ConfigDisseminator::TakeActions() {
  return std::exchange(actions_, {});
}

bool ConfigDisseminator::IsIsolated(Instant now) const {
  return now - heard_at_ > options_.isolation_timeout;
}

bool ConfigDisseminator::IsReady(Instant now) const {
  if (store_.current() == nullptr || IsIsolated(now)) return false;
  if (confirmed_at_ != kNever || replies_ >= kEnoughReplies) return true;
  return now - applied_at_ > kSettling;
}

std::uint32_t ConfigDisseminator::WatchRank() const {
  const auto& current = store_.current();
  if (current == nullptr) return UINT32_MAX;
  const auto self = current->FindServer(options_.self);
  if (!self.has_value()) return UINT32_MAX;
  const FailureDomain& domain =
      current->failure_domain(current->server(*self).domain);
  const std::uint64_t own =
      RendezvousScore(domain.hash, current->server(*self).hash);
  const std::set<std::string> gone(vm_view_.leaving.begin(),
                                   vm_view_.leaving.end());
  std::uint32_t rank = 0;
  for (const ServerId id : domain.servers) {
    const Server& server = current->server(id);
    if (server.leaving || gone.count(server.name) > 0) continue;
    if (RendezvousScore(domain.hash, server.hash) > own) ++rank;
  }
  return rank;
}

void ConfigDisseminator::UpdateRole(Instant now) {
  const std::uint32_t rank = rank_;
  bool watches = rank < options_.watchers;
  if (!watches && rank < options_.watchers + kStandIns) {
    const Instant last = std::max(confirmed_at_, started_);
    watches = now - last > kStandInDelay * (rank - options_.watchers + 2);
  }
  if (watches == watches_) return;
  watches_ = watches;
  if (watches) next_watch_ = now;
  LogEvent(LogLevel::kInfo, "watch_role")
      .With("watches", watches ? "yes" : "no")
      .With("rank", rank);
}

// Watchers share a fixed number of reads; all others together share
// fleet_reads_per_second.
void ConfigDisseminator::EarnReads(Instant now) {
  const double elapsed =
      std::chrono::duration<double>(now - reads_earned_at_).count();
  reads_earned_at_ = now;
  std::size_t fleet = options_.fleet_size;
  if (store_.current() != nullptr) fleet = store_.current()->servers().size();
  const double share = options_.fleet_reads_per_second /
                       static_cast<double>(std::max<std::size_t>(1, fleet));
  const double rate = watches_ ? options_.watcher_reads
                               : std::min(share, options_.watcher_reads);
  reads_saved_ = std::min(reads_saved_ + elapsed * rate,
                          watches_ ? kMostReadsSaved : std::max(1.0, rate));
}

bool ConfigDisseminator::SpendRead() {
  if (reads_saved_ < 1) return false;
  reads_saved_ -= 1;
  ++platform_reads_;
  return true;
}

void ConfigDisseminator::OnTick(Instant now) {
  EarnReads(now);
  UpdateRole(now);
  ReadPlatform(now);
  ReadMissingChunks(now);
  if (watches_ && now >= next_vm_read_ && SpendRead()) {
    next_vm_read_ = now + kVmReadInterval;
    actions_.push_back(ReadVmList{});
  }
  if (now >= next_gossip_) {
    // Jitter keeps herds that start together from staying together.
    const auto jitter = nanoseconds(options_.gossip_interval) / 4;
    next_gossip_ =
        now + options_.gossip_interval - jitter +
        nanoseconds(static_cast<std::int64_t>(
            random_() % static_cast<std::uint64_t>(2 * jitter.count() + 1)));
    const std::string peer = RandomPeer(random_() % 4 != 0);
    if (!peer.empty()) SendTo({{}, peer}, MakeGossip(true, now));
  }
  if (!store_.missing().empty() && now >= next_chunk_pull_) {
    const std::string peer = RandomPeer(random_() % 2 == 0);
    if (!peer.empty()) PullChunksFrom({{}, peer}, now);
  }
}

void ConfigDisseminator::ReadPlatform(Instant now) {
  if (watch_running_ || now < next_watch_) return;
  const bool starting = store_.current() == nullptr;
  const bool last_resort =
      !watches_ && now - std::max(confirmed_at_, started_) > seconds(15) &&
      now - heard_at_ > seconds(5);
  if (!watches_ && !starting && !last_resort) return;
  if (!watches_ && !SpendRead()) return;
  watch_running_ = true;
  if (watches_) ++platform_reads_;
  const microseconds wait = watches_ ? options_.watch_wait : microseconds(0);
  read_revision_ = std::max(read_revision_, store_.version().revision);
  actions_.push_back(WatchManifest{read_revision_, wait});
}

void ConfigDisseminator::OnManifestRead(const Result<ManifestRead>& read, Instant began,
                            Instant now) {
  watch_running_ = false;
  if (!read) {
    const std::uint32_t doublings =
        std::min(failed_reads_++, kMostBackoffDoublings);
    const nanoseconds backoff = kLeastBackoff * (1U << doublings);
    next_watch_ = now + backoff / 2 +
                  nanoseconds(static_cast<std::int64_t>(
                      random_() % static_cast<std::uint64_t>(backoff.count())));
    LogEvent(LogLevel::kWarning, "platform_read_failed").With(read.error());
    return;
  }
  failed_reads_ = 0;
  heard_at_ = now;
  // A node that is starting keeps its reads for chunks.
  if (!watches_) next_watch_ = now + kRereadPause;
  const ManifestRead& manifest = read.value();
  // A stale replica answers with an older revision; it confirms nothing.
  if (manifest.revision < read_revision_) {
    next_watch_ = now + options_.watch_wait;
    return;
  }
  if (!manifest.changed) {
    if (!store_.candidate().has_value()) {
      confirmed_at_ = std::max(confirmed_at_, began);
    }
    return;
  }
  read_revision_ = manifest.revision;
  OnNewManifest(manifest, began, now);
}

void ConfigDisseminator::OnNewManifest(const ManifestRead& manifest, Instant began,
                           Instant now) {
  const Result<Manifest> decoded = DecodeManifest(manifest.bytes);
  const std::uint64_t number = decoded ? decoded.value().number : 0;
  const Version version{number, manifest.revision};
  if (decoded && version < store_.version()) {
    LogEvent(LogLevel::kWarning, "version_superseded")
        .With("offered", ToString(version))
        .With("in_force", ToString(store_.version()));
    return;
  }
  published_version_ = version;
  published_at_ = now - manifest.published_age;
  OfferManifest(version, manifest.bytes, now);
  if (store_.version() == version) {
    confirmed_at_ = std::max(confirmed_at_, began);
  }
}

void ConfigDisseminator::ReadMissingChunks(Instant now) {
  if (store_.missing().empty()) {
    absent_chunks_.clear();
    return;
  }
  const bool may_read =
      watches_ || store_.current() == nullptr || now - pulled_at_ > seconds(2);
  if (!may_read) return;
  std::vector<std::string> wanted;
  for (const std::string& digest : store_.missing()) {
    if (options_.coalesce_fetches && chunk_reads_.count(digest) > 0) continue;
    const auto absent = absent_chunks_.find(digest);
    if (absent != absent_chunks_.end() && now < absent->second) continue;
    wanted.push_back(digest);
  }
  std::shuffle(wanted.begin(), wanted.end(), random_);
  for (const std::string& digest : wanted) {
    if (!SpendRead()) return;
    chunk_reads_.insert(digest);
    actions_.push_back(ReadChunk{digest});
  }
}

void ConfigDisseminator::OnChunkRead(const std::string& digest, Result<std::string> bytes,
                         Instant now) {
  chunk_reads_.erase(digest);
  if (!bytes) {
    absent_chunks_[digest] = now + kAbsentChunkPause;
    LogEvent(LogLevel::kWarning, "chunk_read_failed")
        .With("digest", ToHex(digest))
        .With(bytes.error());
    return;
  }
  heard_at_ = now;
  const OfferResult verdict = store_.OfferChunk(std::move(bytes).value());
  AnswerWaitingPulls(digest);
  AfterVerdict(verdict, now);
}

void ConfigDisseminator::OnVmList(std::uint64_t revision,
                      const std::vector<std::string>& leaving,
                      const std::set<std::string>& listed, Instant now) {
  heard_at_ = now;
  if (revision <= vm_view_.revision) return;
  vm_view_.revision = revision;
  vm_view_.leaving = leaving;
  if (store_.current() != nullptr && !listed.empty()) {
    for (const Server& server : store_.current()->servers()) {
      // The list lags: a server that was just added is not gone.
      const bool known = listed.count(server.name) > 0;
      const bool settled = now - applied_at_ > kVmReadInterval * 2;
      if (!known && settled) vm_view_.leaving.push_back(server.name);
    }
  }
  rank_ = WatchRank();
  actions_.push_back(VmViewChanged{vm_view_.leaving});
}

}  // namespace wisteriarill
