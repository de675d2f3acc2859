/// \file
/// Decides how configuration reaches this node and goes on to others: who
/// watches the platform, what is pushed and pulled between peers, and when
/// the platform is read as a last resort.
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

struct ConfigDisseminatorOptions {
  std::string self;     ///< Name of the backend server.
  std::string address;  ///< Where this node accepts peers.
  std::string failure_domain;
  std::vector<std::string> seeds;  ///< Addresses of peers to begin with.
  std::uint32_t fleet_size = 100;  ///< Nodes, until a version tells.
  microseconds gossip_interval = seconds(1);
  microseconds watch_wait = seconds(1);
  microseconds pull_timeout = milliseconds(400);
  std::uint32_t watchers = 2;  ///< In each failure domain.
  std::uint32_t near_pushes = 3;
  std::uint32_t far_pushes = 1;
  /// Platform reads a second that all nodes together may spend at start-up
  /// and as a last resort.
  double fleet_reads_per_second = 500;
  /// Platform reads a second that one watcher may spend on chunks.
  double watcher_reads = 40;
  /// Without word from a peer or the platform for so long, a node is isolated.
  microseconds isolation_timeout = seconds(60);
  /// False fetches a chunk that is on its way once more: the comparison.
  bool coalesce_fetches = true;
};

/// Whom a message goes to: the link it answers on, or an address.
struct PeerTarget {
  std::optional<LinkId> link;
  std::string address;
};

struct SendToPeer {
  PeerTarget target;
  PeerMessage message;
};
/// Reads the manifest; waits up to `wait` for one above revision `after`.
struct WatchManifest {
  std::uint64_t after = 0;
  microseconds wait{};
};
struct ReadChunk {
  std::string digest;
};
struct ReadVmList {};
/// A new version came in force.
struct VersionApplied {
  std::shared_ptr<const Snapshot> snapshot;
};
/// The view of leaving VMs changed.
struct VmViewChanged {
  std::vector<std::string> leaving;
};
using ConfigDisseminatorAction = std::variant<SendToPeer, WatchManifest, ReadChunk,
                                  ReadVmList, VersionApplied, VmViewChanged>;

/// The platform's answer to WatchManifest.
struct ManifestRead {
  bool changed = false;        ///< False: still the revision asked about.
  std::uint64_t revision = 0;  ///< What the platform has.
  microseconds published_age{};
  std::string bytes;
};

/// The spread decision of one node. No I/O, no clock, one thread.
class ConfigDisseminator {
 public:
  ConfigDisseminator(ConfigDisseminatorOptions options, std::uint64_t seed, Instant started);

  void OnTick(Instant now);
  /// Takes a message of the spread from a peer; others are ignored.
  void OnPeerMessage(const PeerTarget& from, const PeerMessage& message,
                     Instant now);
  /// Takes the end of a WatchManifest that began at `began`.
  void OnManifestRead(const Result<ManifestRead>& read, Instant began,
                      Instant now);
  void OnChunkRead(const std::string& digest, Result<std::string> bytes,
                   Instant now);
  /// Takes the platform's VMs that leave, and all that it lists.
  void OnVmList(std::uint64_t revision, const std::vector<std::string>& leaving,
                const std::set<std::string>& listed, Instant now);

  std::vector<ConfigDisseminatorAction> TakeActions();

  const VersionStore& store() const { return store_; }
  /// Returns when a platform read last confirmed the version in force.
  Instant confirmed_at() const { return confirmed_at_; }
  /// Returns when the version in force was published, kNever if not known.
  Instant published_at() const { return published_at_; }
  /// Returns whether this node watches the platform.
  bool watches() const { return watches_; }
  /// Returns whether neither peers nor the platform were heard for long.
  bool IsIsolated(Instant now) const;
  /// Returns whether enough was asked to serve with what is in force.
  bool IsReady(Instant now) const;
  /// Marks this node as leaving in what it tells peers.
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
  void AfterVerdict(OfferResult verdict, Instant now);
  void OnApplied(Instant now);
  void AnswerWaitingPulls(const std::string& digest);
  void PullChunksFrom(const PeerTarget& peer, Instant now);
  Gossip MakeGossip(bool wants_reply, Instant now) const;
  Version NewestKnown() const;
  std::string RandomPeer(bool near);
  std::string RandomOf(const std::vector<ServerId>& servers);
  std::uint32_t WatchRank() const;
  void UpdateRole(Instant now);
  void ReadPlatform(Instant now);
  void ReadMissingChunks(Instant now);
  void EarnReads(Instant now);
  bool SpendRead();
  void SendTo(const PeerTarget& target, PeerMessage message);
  void Push(Instant now);

  const ConfigDisseminatorOptions options_;
  const Instant started_;
  std::mt19937_64 random_;
  VersionStore store_;
  ManifestHistory history_;
  std::vector<ConfigDisseminatorAction> actions_;

  Instant confirmed_at_ = kNever;
  Instant published_at_ = kNever;
  Version published_version_;
  Instant heard_at_;
  Instant applied_at_ = kNever;
  std::uint32_t replies_ = 0;
  bool leaving_ = false;

  std::uint32_t rank_ = UINT32_MAX;  ///< For watching, in the domain.
  bool watches_ = false;
  bool watch_running_ = false;
  Instant next_watch_ = kNever;
  std::uint64_t read_revision_ = 0;  ///< Highest that a read returned.
  std::uint64_t platform_reads_ = 0;
  std::uint32_t failed_reads_ = 0;
  double reads_saved_ = 0;
  Instant reads_earned_at_;
  std::set<std::string> chunk_reads_;
  std::map<std::string, Instant> absent_chunks_;

  Instant next_gossip_ = kNever;
  Instant pulled_at_ = kNever;
  Instant next_chunk_pull_ = kNever;
  PeerTarget pulled_from_;
  std::map<std::string, std::vector<PeerTarget>> waiting_pulls_;
  VmView vm_view_;
  Instant next_vm_read_ = kNever;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_CONFIG_DISSEMINATOR_H_
