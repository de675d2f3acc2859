/// \file
/// The way to the backend server beside this node: gate, connections, and
/// what is known of the server's present instance.
#ifndef WISTERIARILL_MESH_BACKEND_DISPATCHER_H_
#define WISTERIARILL_MESH_BACKEND_DISPATCHER_H_

#include <map>
#include <memory>
#include <string>

#include "wisteriarill/mesh/response_relay.h"
#include "wisteriarill/mesh/backend_admission_queue.h"
#include "wisteriarill/mesh/call.h"
#include "wisteriarill/mesh/http_client.h"
#include "wisteriarill/mesh/http_server.h"
#include "wisteriarill/mesh/link_pacer.h"
#include "wisteriarill/mesh/membership.h"
#include "wisteriarill/mesh/proxy_settings.h"
#include "wisteriarill/process/metrics.h"

namespace wisteriarill {

/// Checks once more, at the moment of handing over, whether the backend
/// server may get work; returns a reason if not.
class DispatchCheck {
 public:
  virtual ~DispatchCheck() = default;
  virtual std::string DispatchRefusalReason(const MeshCall& call) const = 0;
};

class BackendDispatcher {
 public:
  BackendDispatcher(asio::io_context* loop, const ProxySettings& settings,
              const PlatformFieldNames& dialect, const DispatchCheck* check,
              Metrics* metrics);

  /// Takes the registry's newest entry at the server's address; null if there
  /// is none.
  void OnEntry(const BackendEntry* entry, const MeshService* service,
               Instant now);

  /// Asks the server who it is and whether it is cold; calls wait meanwhile.
  void Verify();
  /// Lets waiting calls go on whose turn has come.
  void OnTick(Instant now);

  /// Runs `call` and carries its answer to `sink`.
  Task<AttemptResult> Run(const MeshCall& call, ServerExchange* sink,
                          const RelayOptions& relay);

  /// Returns the known instance; empty before any is known.
  const std::string& instance() const { return instance_; }
  BackendLoad load(Instant now) const;
  /// Returns the clock of this VM's link.
  LinkPacer* link() { return &link_; }
  const BackendAdmissionQueue& gate() const { return gate_; }

 private:
  class Turn;

  /// Returns kDelivered once the call may run, otherwise why it may not.
  Task<AttemptResult> WaitForTurn(const MeshCall& call, ServerExchange* sink);
  Task<bool> AwaitAdmission(BackendAdmissionTicket ticket, const MeshCall& call,
                            ServerExchange* sink);
  Task<AttemptResult> Exchange(const MeshCall& call, ServerExchange* sink,
                               const RelayOptions& relay);
  Task<AttemptResult> Converse(const MeshCall& call, ServerExchange* sink,
                               const RelayOptions& relay,
                               std::shared_ptr<ClientConnection> connection,
                               Turn* turn);
  Task<Result<HttpResponseHead>> ReadOwnAnswer(const MeshCall& call,
                                             ClientConnection* connection);
  AttemptResult JudgeRefusal(const HttpResponseHead& head);
  HttpRequest MakeRequest(const MeshCall& call) const;
  Task<void> AskHealth();
  Task<bool> AskHealthOnce();
  void OnHealth(const HttpResponseHead& head);
  void AdmitWaiting(Instant now);

  asio::io_context* loop_;
  const ProxySettings& settings_;
  const PlatformFieldNames& dialect_;
  const DispatchCheck* check_;
  Metrics* metrics_;
  ClientConnectionPool pool_;
  BackendAdmissionQueue gate_;
  LinkPacer link_;
  std::string instance_;
  std::string health_path_;
  std::string registered_;  ///< The newest instance in the registry.
  std::uint64_t entry_revision_ = 0;
  bool verifying_ = false;
  Instant verified_ = kNever;
  bool away_ = false;  ///< Nothing accepts connections at its address.
  std::uint64_t last_ticket_ = 0;
  std::map<BackendAdmissionTicket, asio::steady_timer*> waiting_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_BACKEND_DISPATCHER_H_
