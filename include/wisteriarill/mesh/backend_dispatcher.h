/// \file
/// Sends calls to the local backend server, the one on this node's VM:
/// admission control, connections, health checks, and the server's current
/// instance.
#ifndef WISTERIARILL_MESH_BACKEND_DISPATCHER_H_
#define WISTERIARILL_MESH_BACKEND_DISPATCHER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "wisteriarill/admission/backend_admission_queue.h"
#include "wisteriarill/admission/backend_statements.h"
#include "wisteriarill/admission/link_admission.h"
#include "wisteriarill/admission/running_call_table.h"
#include "wisteriarill/mesh/call.h"
#include "wisteriarill/mesh/http_client.h"
#include "wisteriarill/mesh/http_server.h"
#include "wisteriarill/mesh/link_pacer.h"
#include "wisteriarill/mesh/membership.h"
#include "wisteriarill/mesh/proxy_settings.h"
#include "wisteriarill/mesh/response_relay.h"
#include "wisteriarill/process/metrics.h"

namespace wisteriarill {

/// Checks right before a call is sent whether the backend server may still get
/// work. The state may have changed since the server was chosen.
class DispatchCheck {
 public:
  virtual ~DispatchCheck() = default;
  /// Returns why `call` must not be sent; empty if it may be sent.
  virtual std::string DispatchRefusalReason(const MeshCall& call) const = 0;
};

/// Runs calls at the local backend server. Calls wait in an admission queue
/// that limits concurrency, and while the server's health is being checked.
class BackendDispatcher {
 public:
  BackendDispatcher(asio::io_context* loop, const ProxySettings& settings,
                    const PlatformFieldNames& field_names,
                    const DispatchCheck* check, Metrics* metrics);

  /// Applies the newest registry entry at the server's address, null if there
  /// is none, and the configuration of its service, null if there is none.
  /// Starts a health check when the entry names a new instance.
  /// `controls_overload` is MeshConfig::controls_overload().
  void OnRegistryEntry(const BackendEntry* entry, const MeshService* service,
                       bool controls_overload, Instant now);

  /// Starts to request the server's health page until the server accepts a
  /// connection, and takes its instance and whether it is cold from the
  /// response. Calls wait until then. Does nothing while a check is under way.
  void StartHealthCheck();
  /// Requests the server's health page now and then, without a pause of the
  /// calls. To be called while the registry has no news, in which the server
  /// may become cold unnoticed.
  void AskWhetherCold(Instant now);
  /// Admits queued calls that may run at `now`.
  void OnTick(Instant now);

  /// Runs `call` at the server and relays the response to `sink`.
  Task<AttemptResult> Run(const MeshCall& call, ServerExchange* sink,
                          const RelayOptions& relay);

  /// Returns the server's current instance; empty until one is known.
  const std::string& instance() const { return instance_; }
  /// Returns the start of that instance.
  BackendStart start() const { return {instance_, registered_start_millis_}; }
  /// Returns whether `server` is the local one and said that it is leaving.
  bool IsLeaving(const BackendStart& server) const;
  BackendLoad load(Instant now) const;
  /// Returns the fraction of the running calls that are retries. A nested call
  /// of the server comes from one of them.
  double RetryFraction() const;
  /// Returns the running call that makes the request with this id, or null.
  const RunningCall* FindParent(std::string_view id) const {
    return running_calls_.FindParent(id);
  }
  /// Returns the pacer of this VM's network link.
  LinkPacer* link_pacer() { return &link_pacer_; }
  /// Returns the admission of request bodies to this VM's network link.
  LinkAdmission* link_admission() { return &link_admission_; }
  const BackendAdmissionQueue& admission_queue() const {
    return admission_queue_;
  }

 private:
  class AdmissionSlot;

  /// Waits until the admission queue admits `call`. Returns kDelivered if it
  /// may run, and the reason otherwise.
  Task<AttemptResult> WaitForAdmission(const MeshCall& call,
                                       ServerExchange* sink);
  /// Returns why `call` must not be sent to the server now, or an empty string.
  std::string RefusalReason(const MeshCall& call) const;
  /// Counts a call that is refused for what the server stated.
  void CountStatedRefusal(const std::string& reason);
  /// Returns the result of a call that admission control rejects at `now`.
  AttemptResult MakeFullResult(const MeshCall& call, Instant now) const;
  /// Returns whether the call was admitted before its start deadline and before
  /// the client disconnected.
  Task<bool> WaitInQueue(BackendAdmissionTicket ticket, const MeshCall& call,
                         ServerExchange* sink);
  /// Runs a call that holds a slot, after a last check that it may be sent.
  Task<AttemptResult> RunAdmitted(const MeshCall& call, ServerExchange* sink,
                                  const RelayOptions& relay);
  /// Sends the request on `connection`, checks the response and relays it.
  Task<AttemptResult> ExchangeWithServer(
      const MeshCall& call, ServerExchange* sink, const RelayOptions& relay,
      std::shared_ptr<ClientConnection> connection, AdmissionSlot* slot);
  /// Reads the head of the response to `call`. Discards responses that carry
  /// the id of another request.
  Task<Result<HttpResponseHead>> ReadMatchingResponse(
      const MeshCall& call, ClientConnection* connection);
  /// Returns the result for a response by which the server refused the call.
  AttemptResult HandleRefusal(const HttpResponseHead& head);
  HttpRequest MakeRequest(const MeshCall& call) const;
  Task<void> CheckHealth();
  Task<void> RequestColdTime();
  /// Returns whether the server accepted a connection.
  Task<bool> RequestHealthPage();
  void OnHealthResponse(const HttpResponseHead& head);
  /// Takes over what the server says of itself in the response to `call`,
  /// whose request was sent at `sent`.
  void OnCallReport(const HttpResponseHead& head, const MeshCall& call,
                    Instant sent);
  /// Forgets what an earlier start of the server stated.
  void OnRegisteredStart(const BackendEntry& entry, Instant now);
  void OnHealthReport(const BackendReport& report, Instant now);
  void OnReport(const BackendReport& report, std::string_view source,
                const std::string& call_id, Instant now);
  /// Applies and logs what the server states now, if that has changed. `source`
  /// says where from it is known.
  void OnStatementsChanged(std::string_view source, const std::string& call_id);
  /// Wakes the queued calls that may run at `now`.
  void AdmitWaiting(Instant now);
  /// Lets queued calls run once the rate that the server takes allows it.
  void ScheduleRateTurn(Instant now);
  /// Takes over what the ingress node of `call` was told by the server.
  void OnToldByPeer(const MeshCall& call);
  /// Applies what the server states now to the queue: calls that can't start in
  /// time any more are woken, to be tried elsewhere or refused.
  void ApplyStatements(Instant now);

  asio::io_context* loop_;
  const ProxySettings& settings_;
  const PlatformFieldNames& field_names_;
  const DispatchCheck* dispatch_check_;
  Metrics* metrics_;
  ClientConnectionPool pool_;
  BackendAdmissionQueue admission_queue_;
  BackendStatements statements_;
  std::optional<double> applied_rate_limit_;
  bool applied_leaving_ = false;
  LinkPacer link_pacer_;
  LinkAdmission link_admission_;
  asio::steady_timer rate_timer_;
  std::string instance_;
  std::string health_path_;
  std::string registered_instance_;  ///< Newest instance in the registry.
  std::uint64_t registered_start_millis_ = 0;
  StorePosition entry_position_;
  bool checking_health_ = false;
  bool asking_whether_cold_ = false;
  Instant asked_whether_cold_ = kNever;
  Instant health_check_began_ = kNever;
  RunningCallTable running_calls_;
  std::uint32_t running_retries_ = 0;
  bool unreachable_ = false;  ///< The last health check could not connect.
  std::uint64_t last_ticket_ = 0;
  std::map<BackendAdmissionTicket, asio::steady_timer*> queued_calls_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_BACKEND_DISPATCHER_H_
