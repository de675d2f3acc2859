/// \file
/// One node on a platform that publishes its configuration and backend servers.
/// All traffic runs on one event loop; configuration is read on another thread
/// and passed to it.
#ifndef WISTERIARILL_MESH_PROXY_H_
#define WISTERIARILL_MESH_PROXY_H_

#include <memory>
#include <string>
#include <vector>

#include "wisteriarill/mesh/http_server.h"
#include "wisteriarill/mesh/ingress.h"
#include "wisteriarill/mesh/peer_request_handler.h"
#include "wisteriarill/mesh/registry_puller.h"
#include "wisteriarill/mesh/watcher_selection.h"
#include "wisteriarill/registry/registry_freshness.h"
#include "wisteriarill/registry/store_takeover.h"

namespace wisteriarill {

/// Connects all parts of a node: servers for callers, peers, readiness checks
/// and operators, the local backend server, and the exchange with peers.
class Proxy {
 public:
  Proxy(asio::io_context* loop, const ProxySettings& settings,
        const PlatformFieldNames& field_names, const ItemDecoder* decoder);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// Starts to listen and to exchange datagrams with peers.
  Status Start();
  /// Begins a planned stop. The event loop stops when all calls have ended, or
  /// shortly before the grace period is over.
  void Stop();
  /// Returns the synchronizer to which the reader of the store passes items.
  RegistrySynchronizer* registry() { return &registry_; }
  /// Returns the metrics of this node. Thread-safe.
  Metrics* metrics() { return &metrics_; }

 private:
  class ReadyPage;
  class OperatorPages;

  /// Applies all updates that are queued by the thread that reads the store.
  void ApplyPendingUpdates();
  void ApplyUpdate(const RegistryUpdate& update);
  /// Sends the changes after position `after` to a few peers.
  void PushChanges(StorePosition after, bool from_store);
  PeerStatus MakeStatus() const;
  Task<void> TickLoop();
  /// Decides whether this node watches the store, and notes if the store is
  /// unreachable.
  void UpdateWatchRole(Instant now);
  bool IsInControlGroup() const;
  /// Returns whether this node should watch the store.
  bool IsWatchWanted(Instant now);
  /// Returns the members of the control group that were heard from lately.
  std::vector<WatchCandidate> LiveControlPeers(Instant now);
  /// Records that this node had the newest state of the store at `at`. If
  /// nobody had read it for long, tells a few peers at once.
  void OnStoreRead(Instant at, Instant now);
  /// Begins to read the store in the place of others, and tells a few peers.
  void TakeOverStoreReads(Instant now);
  /// Records that the peer `ip` told of such a read in its failure domain.
  void OnReadBegunAtPeer(const std::string& ip, const ToldEvent& begun,
                         Instant now);
  /// Returns whether nodes that read the store bring their reads here, so that
  /// this one needn't.
  bool IsServedByWatchers(const std::vector<WatchCandidate>& live, Instant now);
  /// Returns the members of the control group to which probes are sent: all if
  /// this node is one of them or `watch_wanted`, and a few if it has not heard
  /// lately that the store is read.
  std::vector<std::string> ControlPeersToProbe(bool watch_wanted, Instant now);
  /// Selects the control group from the registered nodes.
  void UpdateControlGroup();
  void OnPeerStatus(const std::string& ip, const PeerStatus& status);
  void OnPeerDelta(const std::string& ip, const RegistryDelta& delta);
  /// Returns whether `delta` brings changes that follow from what this node
  /// holds.
  bool AppliesHere(const RegistryDelta& delta) const;
  /// Starts to serve if the registry is confirmed; see
  /// RegistrySynchronizer::SetConfirmed.
  void ConfirmRegistry();
  /// Returns whether changes of the registry may pass this node unheard.
  bool IsCutOff(Instant now) const;
  /// Returns whether a peer may know something of an earlier era that the store
  /// has lost, and this node has not heard of.
  bool AwaitsPeersKnowledge(Instant now) const;
  /// Logs once that this node serves callers.
  void LogReadiness();
  /// Logs which position this node lacks, if it has lacked it for long.
  void LogRegistryLag(Instant now) const;
  /// Waits for calls to end and stops the event loop.
  Task<void> FinishStop(StopSchedule schedule);
  /// Returns whether a request of a caller or a peer runs or has arrived.
  bool HasRequests();
  /// Stops listening and serves what has arrived until then, if need be a
  /// little past the deadline of the stop.
  Task<void> ServeLastRequests(StopSchedule schedule);
  std::string StatusText() const;
  bool ready() const { return state_.serving() && !stopping_; }

  asio::io_context* loop_;
  const ProxySettings settings_;
  const PlatformFieldNames field_names_;
  Metrics metrics_;
  RegistrySynchronizer registry_;
  MeshState state_;
  BackendDispatcher backend_;
  PeerTable peers_;
  PeerDatagramService peer_service_;
  MemoryBudget body_memory_;
  std::unique_ptr<Ingress> ingress_;
  std::unique_ptr<PeerRequestHandler> peer_handler_;
  std::unique_ptr<ReadyPage> ready_page_;
  std::unique_ptr<OperatorPages> operator_pages_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> peer_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> operator_server_;
  RegistryPuller puller_;
  StorePosition position_;
  /// Newest position at confirmed peers, until this node is confirmed.
  StorePosition confirmed_position_;
  /// Until then, this node waits for what peers know of an earlier era.
  Instant awaits_peers_until_ = kNever;
  RegistryFreshness freshness_;
  const StoreTakeover takeover_;
  std::vector<std::string> control_group_;  ///< Addresses; may include its own.
  std::uint64_t control_group_epoch_ = 0;   ///< Of the peer table.
  std::size_t domain_node_count_ = 1;  ///< Nodes of its own failure domain.
  Instant resumed_at_ = kNever;  ///< When it last ran again after a standstill.
  Instant took_over_at_ = kNever;  ///< When it began to stand in.
  std::size_t next_asked_ = 0;     ///< Rotates through the control group.
  bool was_evacuated_ = false;
  bool stopping_ = false;
  bool logged_ready_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PROXY_H_
