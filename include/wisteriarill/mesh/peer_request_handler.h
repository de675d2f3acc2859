/// \file
/// Serves requests of peer nodes: runs the calls that they forward at the local
/// backend server, and sends this node's registry replica.
#ifndef WISTERIARILL_MESH_PEER_REQUEST_HANDLER_H_
#define WISTERIARILL_MESH_PEER_REQUEST_HANDLER_H_

#include <map>
#include <optional>

#include "wisteriarill/mesh/backend_dispatcher.h"
#include "wisteriarill/mesh/registry_synchronizer.h"
#include "wisteriarill/mesh/stop_schedule.h"

namespace wisteriarill {

/// Handles the requests of all peers on the event loop. While a call runs, the
/// peer that forwarded it is sent interim responses. They show that this node
/// is alive even where datagrams are lost.
class PeerRequestHandler : public RequestHandler, public BodyAdmission {
 public:
  PeerRequestHandler(BackendDispatcher* backend,
                     const RegistrySynchronizer* registry)
      : backend_(backend), registry_(registry) {}

  Task<void> Handle(ServerExchange* exchange) override;
  /// Admits the body of a forwarded call when this VM's link has room for it.
  BodyDecision AdmitBody(const HttpFields& fields,
                         std::uint64_t bytes) override;
  /// Sends the interim responses that are due.
  void OnTick(Instant now);
  /// From now on, accepts only the calls that `schedule` allows. Peers send the
  /// others to other nodes.
  void OnStop(const StopSchedule& schedule) { stop_ = schedule; }

 private:
  /// Interval of the interim responses of a call. With the interval of OnTick,
  /// two of them fit into kPeerTimeout.
  static constexpr milliseconds kInterimInterval{200};

  class RunningCall;

  Task<void> SendRegistryReplica(ServerExchange* exchange);
  Task<void> RunForwardedCall(ServerExchange* exchange);

  /// Maximum number of registry replicas that are sent at the same time. Nodes
  /// pass replicas on to each other, so the limit keeps concurrent readers from
  /// saturating the link of one node.
  static constexpr int kMaxConcurrentReplicaReads = 2;

  BackendDispatcher* backend_;
  const RegistrySynchronizer* registry_;
  /// When the next interim response is due, by running call.
  std::map<ServerExchange*, Instant> next_interim_;
  int active_replica_reads_ = 0;  ///< Registry replicas that are being sent.
  std::optional<StopSchedule> stop_;  ///< Set during a planned stop.
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PEER_REQUEST_HANDLER_H_
