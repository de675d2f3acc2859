/// \file
/// Decides how configuration reaches this node and how it is passed on: which
/// nodes watch the platform, what peers push to and pull from each other, and
/// when a node that does not watch the platform reads it as a last resort.
#ifndef WISTERIARILL_VERSION_CONFIG_DISSEMINATOR_H_
#define WISTERIARILL_VERSION_CONFIG_DISSEMINATOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/process/error.h"
#include "wisteriarill/version/manifest_history.h"
#include "wisteriarill/version/version_store.h"

namespace wisteriarill {

/// Settings of a ConfigDisseminator.
struct ConfigDisseminatorOptions {
  std::string self;     ///< Name of this node's backend server.
  std::string address;  ///< IP:port on which this node accepts peers.
  std::string failure_domain;
  /// Addresses of peers to contact before a configuration lists them.
  std::vector<std::string> seeds;
  /// Number of nodes to assume before a configuration lists them.
  std::uint32_t fleet_size = 100;
  microseconds gossip_interval = seconds(1);
  microseconds watch_wait = seconds(1);  ///< How long one watch read may block.
  /// Time after which a manifest is pulled from another peer.
  microseconds pull_timeout = milliseconds(400);
  std::uint32_t watchers_per_domain = 2;  ///< In each failure domain.
  /// Number of peers that are sent gossip as soon as a version is applied or
  /// rejected: in this node's failure domain, and in the whole fleet.
  std::uint32_t same_domain_pushes = 3;
  std::uint32_t any_domain_pushes = 1;
  /// Platform reads per second of all nodes together, excluding watchers, at
  /// startup and as a last resort.
  double fleet_reads_per_second = 500;
  /// Platform reads per second of one watcher for chunks and the VM list.
  double watcher_reads_per_second = 40;
  /// A node that hears neither from a peer nor from the platform for this long
  /// counts as isolated.
  microseconds isolation_timeout = seconds(60);
  /// Whether a chunk that is already being read is not read again, and requests
  /// of peers for it wait for that read. False only to measure the effect.
  bool coalesce_fetches = true;
};

/// The destination of a message: the link that the request came from, or an
/// address.
struct PeerTarget {
  std::optional<LinkId> link;
  std::string address;
};

/// Sends a message to a peer.
struct SendToPeer {
  PeerTarget target;
  PeerMessage message;
};
/// Reads the manifest. Waits up to `wait` for a revision higher than `after`.
struct WatchManifest {
  std::uint64_t after = 0;
  microseconds wait{};
};
/// Reads a chunk from the platform.
struct ReadChunk {
  std::string digest;
};
/// Reads the list of VMs from the platform.
struct ReadVmList {};
/// A new version is in force.
struct VersionApplied {
  std::shared_ptr<const Snapshot> snapshot;
};
/// The list of VMs that are leaving or have left changed.
struct VmViewChanged {
  std::vector<std::string> leaving;
};
/// What the owner of a ConfigDisseminator has to do for it.
using ConfigDisseminatorAction =
    std::variant<SendToPeer, WatchManifest, ReadChunk, ReadVmList,
                 VersionApplied, VmViewChanged>;

/// The platform's response to WatchManifest.
struct ManifestRead {
  bool changed = false;        ///< Whether the revision is higher than `after`.
  std::uint64_t revision = 0;  ///< The platform's current revision.
  microseconds published_age{};
  std::string bytes;
};

/// Decides for one node how configuration is disseminated. Uses neither I/O nor
/// a clock: it is told the results of its actions and the time. Not
/// thread-safe.
class ConfigDisseminator {
 public:
  ConfigDisseminator(ConfigDisseminatorOptions options, std::uint64_t seed,
                     Instant started);

  void OnTick(Instant now);
  /// Handles a peer's message about configuration. Ignores other messages.
  void OnPeerMessage(const PeerTarget& from, const PeerMessage& message,
                     Instant now);
  /// Handles the result of a WatchManifest that started at `began`.
  void OnManifestRead(const Result<ManifestRead>& read, Instant began,
                      Instant now);
  void OnChunkRead(const std::string& digest, Result<std::string> bytes,
                   Instant now);
  /// Handles the platform's VM list: the VMs that are leaving, and the names of
  /// all VMs.
  void OnVmList(std::uint64_t revision, const std::vector<std::string>& leaving,
                const std::set<std::string>& listed, Instant now);

  std::vector<ConfigDisseminatorAction> TakeActions();

  const VersionStore& store() const { return store_; }
  /// Returns when a platform read last confirmed the version in force.
  Instant confirmed_at() const { return confirmed_at_; }
  /// Returns when the version in force was published, kNever if unknown.
  Instant published_at() const { return published_at_; }
  /// Returns whether this node watches the platform.
  bool is_watcher() const { return is_watcher_; }
  /// Returns whether this node has heard neither from a peer nor from the
  /// platform for the isolation timeout.
  bool IsIsolated(Instant now) const;
  /// Returns whether the version in force is current enough to serve calls: the
  /// platform confirmed it, enough peers replied, or it has been in force for
  /// a while.
  bool IsReady(Instant now) const;
  /// Announces in later gossip that this node is leaving.
  void SetLeaving() { leaving_ = true; }
  std::uint64_t platform_reads() const { return platform_reads_; }

 private:
  void OnGossip(const PeerTarget& from, const Gossip& gossip, Instant now);
  void OnManifestPull(const PeerTarget& from, const ManifestPull& pull);
  void OnManifest(const PeerTarget& from, const Version& version,
                  std::string bytes, Instant now);
  void OnManifestDelta(const PeerTarget& from, const ManifestDelta& delta,
                       Instant now);
  void OnChunkPull(const PeerTarget& from, const ChunkPull& pull);
  void OnChunks(const PeerTarget& from, const ChunkData& data, Instant now);
  void OnVmView(const VmView& view);

  void OnNewManifest(const ManifestRead& manifest, Instant began, Instant now);
  void OfferManifest(const Version& version, std::string bytes, Instant now);
  void HandleOfferResult(OfferResult result, Instant now);
  void OnApplied(Instant now);
  void ServePendingPulls(const std::string& digest);
  void PullChunksFrom(const PeerTarget& peer, Instant now);
  Gossip MakeGossip(bool wants_reply, Instant now) const;
  Version NewestKnownVersion() const;
  std::string RandomPeer(bool same_domain);
  std::string RandomNodeAddress(const std::vector<ServerId>& servers);
  std::uint32_t WatchRank() const;
  void UpdateWatchRole(Instant now);
  void ReadPlatform(Instant now);
  void ReadMissingChunks(Instant now);
  void RefillReadBudget(Instant now);
  bool TakeFromReadBudget();
  void SendTo(const PeerTarget& target, PeerMessage message);
  void PushGossip(Instant now);

  const ConfigDisseminatorOptions options_;
  const Instant started_;
  std::mt19937_64 random_;
  VersionStore store_;
  ManifestHistory history_;
  std::vector<ConfigDisseminatorAction> actions_;

  Instant confirmed_at_ = kNever;
  Instant published_at_ = kNever;
  Version published_version_;
  Instant last_contact_at_;
  Instant applied_at_ = kNever;  ///< When the version came into force.
  std::uint32_t gossip_replies_ = 0;
  bool leaving_ = false;

  std::uint32_t watch_rank_ = UINT32_MAX;  ///< See WatchRank().
  bool is_watcher_ = false;
  bool watch_pending_ = false;
  Instant next_watch_ = kNever;
  std::uint64_t read_revision_ = 0;  ///< Highest revision read.
  std::uint64_t platform_reads_ = 0;
  std::uint32_t consecutive_read_failures_ = 0;
  double read_budget_ = 0;
  Instant read_budget_refilled_at_;
  /// Digests of chunks that are being read from the platform.
  std::set<std::string> chunk_reads_;
  /// When to read a chunk again whose read has failed, by digest.
  std::map<std::string, Instant> chunk_retry_at_;

  Instant next_gossip_ = kNever;
  /// Time of the last pull of a manifest or of chunks, kNever if a manifest
  /// has arrived since.
  Instant pulled_at_ = kNever;
  Instant next_chunk_pull_ = kNever;
  PeerTarget pulled_from_;
  /// Peers that requested a chunk that is being fetched, by digest.
  std::map<std::string, std::vector<PeerTarget>> pending_pulls_;
  VmView vm_view_;
  Instant next_vm_read_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_CONFIG_DISSEMINATOR_H_
