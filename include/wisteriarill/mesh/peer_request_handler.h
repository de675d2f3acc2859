/// \file
/// What a node does for its peers: runs their calls at the backend server
/// beside it, and hands out its copy of the registry.
#ifndef WISTERIARILL_MESH_PEER_REQUEST_HANDLER_H_
#define WISTERIARILL_MESH_PEER_REQUEST_HANDLER_H_

#include "wisteriarill/mesh/backend_dispatcher.h"
#include "wisteriarill/mesh/registry_synchronizer.h"

namespace wisteriarill {

class PeerRequestHandler : public RequestHandler {
 public:
  PeerRequestHandler(BackendDispatcher* backend, const RegistrySynchronizer* registry)
      : backend_(backend), registry_(registry) {}

  Task<void> Handle(ServerExchange* exchange) override;
  /// Refuses peers' calls from now on, so that they go to other nodes.
  void StopTaking() { taking_ = false; }

 private:
  Task<void> AnswerMirror(ServerExchange* exchange);
  Task<void> RunCall(ServerExchange* exchange);

  /// Copies that are handed out at the same time: those who have one hand it
  /// on, so that no node's link is filled by all others.
  static constexpr int kMostCopies = 2;

  BackendDispatcher* backend_;
  const RegistrySynchronizer* registry_;
  int copies_ = 0;  ///< That are being handed out.
  bool taking_ = true;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PEER_REQUEST_HANDLER_H_
