/// \file
/// The part of ConfigDisseminator that concerns the platform: the watch role,
/// timers and platform reads.
#include "wisteriarill/version/config_disseminator.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

// The nodes that rank right after the watchers become watchers, one after
// another, if the version is not confirmed for some time.
constexpr std::uint32_t kStandbyWatchers = 4;
constexpr nanoseconds kStandbyDelay = seconds(2);
constexpr double kMaxWatcherReadBudget = 40;
constexpr nanoseconds kVmReadInterval = seconds(5);
constexpr nanoseconds kChunkRetryInterval = milliseconds(500);
constexpr nanoseconds kMinBackoff = milliseconds(100);
constexpr std::uint32_t kMaxBackoffDoublings = 5;
// A node is ready after any one of: a confirmation of the version by the
// platform, kMinReplies gossip messages, or this time with a version.
constexpr nanoseconds kStartupSettleTime = seconds(2);
constexpr nanoseconds kNonWatcherReadInterval = seconds(20);
constexpr std::uint32_t kMinReplies = 3;  // See kStartupSettleTime.

}  // namespace

ConfigDisseminator::ConfigDisseminator(ConfigDisseminatorOptions options,
                                       std::uint64_t seed, Instant started)
    : options_(std::move(options)),
      started_(started),
      random_(seed),
      last_contact_at_(started),
      read_budget_refilled_at_(started) {
  // If many nodes start at the same time, the random initial budget spreads
  // their first reads over the time in which each node's budget grows by one.
  read_budget_ = std::uniform_real_distribution<double>(0, 1)(random_);
}

std::vector<ConfigDisseminatorAction> ConfigDisseminator::TakeActions() {
  return std::exchange(actions_, {});
}

bool ConfigDisseminator::IsIsolated(Instant now) const {
  return now - last_contact_at_ > options_.isolation_timeout;
}

bool ConfigDisseminator::IsReady(Instant now) const {
  if (store_.current() == nullptr || IsIsolated(now)) return false;
  if (confirmed_at_ != kNever || gossip_replies_ >= kMinReplies) return true;
  return now - applied_at_ > kStartupSettleTime;
}

// Returns the rank of this node in its failure domain by rendezvous hashing,
// without leaving servers. The nodes with the lowest ranks watch the platform.
std::uint32_t ConfigDisseminator::WatchRank() const {
  const auto& current = store_.current();
  if (current == nullptr) return UINT32_MAX;
  const auto self = current->FindServer(options_.self);
  if (!self.has_value()) return UINT32_MAX;
  const FailureDomain& domain =
      current->failure_domain(current->server(*self).domain);
  const std::uint64_t own =
      RendezvousScore(domain.hash, current->server(*self).hash);
  const std::set<std::string> leaving(vm_view_.leaving.begin(),
                                      vm_view_.leaving.end());
  std::uint32_t rank = 0;
  for (const ServerId id : domain.servers) {
    const Server& server = current->server(id);
    if (server.leaving || leaving.count(server.name) > 0) continue;
    if (RendezvousScore(domain.hash, server.hash) > own) ++rank;
  }
  return rank;
}

void ConfigDisseminator::UpdateWatchRole(Instant now) {
  const std::uint32_t rank = watch_rank_;
  bool is_watcher = rank < options_.watchers_per_domain;
  if (!is_watcher && rank < options_.watchers_per_domain + kStandbyWatchers) {
    const Instant last = std::max(confirmed_at_, started_);
    is_watcher =
        now - last > kStandbyDelay * (rank - options_.watchers_per_domain + 2);
  }
  if (is_watcher == is_watcher_) return;
  is_watcher_ = is_watcher;
  if (is_watcher) next_watch_ = now;
  LogEvent(LogLevel::kInfo, "watch_role")
      .With("watches", is_watcher ? "yes" : "no")
      .With("rank", rank);
}

// Each watcher has a fixed rate of reads. All other nodes together share
// fleet_reads_per_second.
void ConfigDisseminator::RefillReadBudget(Instant now) {
  const double elapsed =
      std::chrono::duration<double>(now - read_budget_refilled_at_).count();
  read_budget_refilled_at_ = now;
  std::size_t fleet = options_.fleet_size;
  if (store_.current() != nullptr) fleet = store_.current()->servers().size();
  const double share = options_.fleet_reads_per_second /
                       static_cast<double>(std::max<std::size_t>(1, fleet));
  const double rate = is_watcher_
                          ? options_.watcher_reads_per_second
                          : std::min(share, options_.watcher_reads_per_second);
  read_budget_ =
      std::min(read_budget_ + elapsed * rate,
               is_watcher_ ? kMaxWatcherReadBudget : std::max(1.0, rate));
}

bool ConfigDisseminator::TakeFromReadBudget() {
  if (read_budget_ < 1) return false;
  read_budget_ -= 1;
  ++platform_reads_;
  return true;
}

void ConfigDisseminator::OnTick(Instant now) {
  RefillReadBudget(now);
  UpdateWatchRole(now);
  ReadPlatform(now);
  ReadMissingChunks(now);
  if (is_watcher_ && now >= next_vm_read_ && TakeFromReadBudget()) {
    next_vm_read_ = now + kVmReadInterval;
    actions_.push_back(ReadVmList{});
  }
  if (now >= next_gossip_) {
    // Without jitter, nodes that start together would gossip at the same time.
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
  if (watch_pending_ || now < next_watch_) return;
  const bool starting = store_.current() == nullptr;
  const bool last_resort =
      !is_watcher_ && now - std::max(confirmed_at_, started_) > seconds(15) &&
      now - last_contact_at_ > seconds(5);
  if (!is_watcher_ && !starting && !last_resort) return;
  if (!is_watcher_ && !TakeFromReadBudget()) return;
  watch_pending_ = true;
  if (is_watcher_) ++platform_reads_;
  const microseconds wait = is_watcher_ ? options_.watch_wait : microseconds(0);
  read_revision_ = std::max(read_revision_, store_.version().revision);
  actions_.push_back(WatchManifest{read_revision_, wait});
}

void ConfigDisseminator::OnManifestRead(const Result<ManifestRead>& read,
                                        Instant began, Instant now) {
  watch_pending_ = false;
  if (!read) {
    const std::uint32_t doublings =
        std::min(consecutive_read_failures_++, kMaxBackoffDoublings);
    const nanoseconds backoff = kMinBackoff * (1U << doublings);
    next_watch_ = now + backoff / 2 +
                  nanoseconds(static_cast<std::int64_t>(
                      random_() % static_cast<std::uint64_t>(backoff.count())));
    LogEvent(LogLevel::kWarning, "platform_read_failed").With(read.error());
    return;
  }
  consecutive_read_failures_ = 0;
  last_contact_at_ = now;
  // A node that is starting saves its read budget for chunks.
  if (!is_watcher_) next_watch_ = now + kNonWatcherReadInterval;
  const ManifestRead& manifest = read.value();
  // A stale replica of the platform answers with an older revision, which does
  // not confirm the version in force.
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

void ConfigDisseminator::OnNewManifest(const ManifestRead& manifest,
                                       Instant began, Instant now) {
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
    chunk_retry_at_.clear();
    return;
  }
  const bool may_read = is_watcher_ || store_.current() == nullptr ||
                        now - pulled_at_ > seconds(2);
  if (!may_read) return;
  std::vector<std::string> wanted;
  for (const std::string& digest : store_.missing()) {
    if (options_.coalesce_fetches && chunk_reads_.count(digest) > 0) continue;
    const auto retry_at = chunk_retry_at_.find(digest);
    if (retry_at != chunk_retry_at_.end() && now < retry_at->second) continue;
    wanted.push_back(digest);
  }
  std::shuffle(wanted.begin(), wanted.end(), random_);
  for (const std::string& digest : wanted) {
    if (!TakeFromReadBudget()) return;
    chunk_reads_.insert(digest);
    actions_.push_back(ReadChunk{digest});
  }
}

void ConfigDisseminator::OnChunkRead(const std::string& digest,
                                     Result<std::string> bytes, Instant now) {
  chunk_reads_.erase(digest);
  if (!bytes) {
    chunk_retry_at_[digest] = now + kChunkRetryInterval;
    LogEvent(LogLevel::kWarning, "chunk_read_failed")
        .With("digest", ToHex(digest))
        .With(bytes.error());
    return;
  }
  last_contact_at_ = now;
  const OfferResult result = store_.OfferChunk(std::move(bytes).value());
  ServePendingPulls(digest);
  HandleOfferResult(result, now);
}

void ConfigDisseminator::OnVmList(std::uint64_t revision,
                                  const std::vector<std::string>& leaving,
                                  const std::set<std::string>& listed,
                                  Instant now) {
  last_contact_at_ = now;
  if (revision <= vm_view_.revision) return;
  vm_view_.revision = revision;
  vm_view_.leaving = leaving;
  if (store_.current() != nullptr && !listed.empty()) {
    for (const Server& server : store_.current()->servers()) {
      // The list lags behind, so it may not contain a server yet that the
      // current version has added.
      const bool known = listed.count(server.name) > 0;
      const bool settled = now - applied_at_ > kVmReadInterval * 2;
      if (!known && settled) vm_view_.leaving.push_back(server.name);
    }
  }
  watch_rank_ = WatchRank();
  actions_.push_back(VmViewChanged{vm_view_.leaving});
}

}  // namespace wisteriarill
