/// \file
/// The ingress: accepts callers' requests, checks route, API key and rate
/// limit, and tries backend servers until one answers or no further attempt is
/// allowed.
#ifndef WISTERIARILL_MESH_INGRESS_H_
#define WISTERIARILL_MESH_INGRESS_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "wisteriarill/admission/queue_timeout_policy.h"
#include "wisteriarill/admission/service_retry_budget.h"
#include "wisteriarill/mesh/mesh_state.h"
#include "wisteriarill/mesh/peer_datagram_service.h"
#include "wisteriarill/mesh/server_subsets.h"
#include "wisteriarill/mesh/stop_schedule.h"
#include "wisteriarill/routing/backend_statement_table.h"
#include "wisteriarill/routing/server_selector.h"

namespace wisteriarill {

/// Objects that the ingress uses. All of them outlive it.
struct IngressDependencies {
  asio::io_context* loop = nullptr;
  const ProxySettings* settings = nullptr;
  const PlatformFieldNames* field_names = nullptr;
  MeshState* state = nullptr;
  BackendDispatcher* backend = nullptr;
  PeerTable* peers = nullptr;
  PeerDatagramService* peer_service = nullptr;
  Metrics* metrics = nullptr;
};

/// Handles callers' requests.
class Ingress : public RequestHandler {
 public:
  explicit Ingress(const IngressDependencies& dependencies);

  Task<void> Handle(ServerExchange* exchange) override;
  /// From now on, accepts only what `schedule` allows.
  void OnStop(const StopSchedule& schedule) { stop_ = schedule; }

 private:
  struct CallState;

  /// Maximum number of attempts per call, including those that never reached a
  /// server.
  static constexpr int kMaxAttempts = 4;
  /// Bytes of a response that are buffered before any are sent to the caller.
  /// Until then, a truncated response can be replaced by another server's.
  static constexpr std::size_t kMaxBufferedResponseBytes = 64U << 10;
  /// Maximum size of failure_rates_, which is cleared beyond it.
  static constexpr std::size_t kMaxFailureRates = 20000;

  static RetryRequester RetryRequesterOf(const CallState& call_state);
  /// Reads the request id and the caller's deadline and finds the route.
  /// Returns false if there is no id or no route.
  bool MatchRoute(CallState* call_state);
  /// Sets whether the local server makes the request while it runs another
  /// call.
  void FindParentCall(CallState* call_state) const;
  /// Returns whether the node still accepts the request during its stop.
  bool IsAccepted(const CallState& call_state) const;
  /// Finds the workspace by the API key. Returns false if the route needs a key
  /// and the request has no known one.
  bool Authenticate(CallState* call_state);
  /// Takes a token of the workspace. Without one, refuses the request and
  /// returns false.
  Task<bool> CheckRateLimit(CallState* call_state);
  /// Logs and counts the refusal of a request and responds with `status`.
  Task<void> Refuse(CallState* call_state, int status, std::string reason,
                    milliseconds retry_after);
  /// Returns the earlier of the caller's deadline and the route's timeout.
  static Instant CallDeadline(const CallState& call_state);
  /// Makes the call from the request: service, urgency and deadlines.
  void PrepareCall(CallState* call_state);
  /// Returns the service that gets the next request of `route`.
  std::string PickService(const MeshRoute& route);
  Task<void> TryServers(CallState* call_state);
  /// Sets the server of the next attempt. Returns false if there is none.
  Task<bool> ChooseServer(CallState* call_state);
  /// Returns the servers that may take the call: those of this node's subset,
  /// else any, else those whose nodes are stopping but may still accept it.
  std::vector<ServerCandidate> FindCandidates(CallState* call_state);
  /// Returns the servers among `instances` that may take the call.
  std::vector<ServerCandidate> CollectCandidates(
      CallState* call_state, const std::vector<std::string>& instances);
  /// Returns whether the server is known to be leaving.
  bool IsLeaving(const BackendEntry& entry);
  /// Sets what is known of a server; returns false if it can't take the call.
  bool DescribeServer(CallState* call_state, const BackendEntry& entry,
                      ServerCandidate* candidate);
  /// Returns the index of the best of a few servers, of whatever failure
  /// domain.
  Task<std::size_t> ChooseAnywhere(CallState* call_state,
                                   std::vector<ServerCandidate>* candidates);
  /// Returns the index of the best of a few servers of the own failure domain,
  /// or of others if those don't take the call well. `typical` is the service
  /// time of a typical server.
  Task<std::size_t> ChooseNearby(CallState* call_state, microseconds typical,
                                 std::vector<ServerCandidate>* candidates);
  /// Returns whether the call can't start in time even at `best`, and records
  /// the wait if so.
  bool IsKnownFull(CallState* call_state, const ServerCandidate& best) const;
  static CallProfile ProfileOf(const CallState& call_state);
  /// Asks the nodes beside the servers of `sample` for their load, unless it is
  /// known, and updates the candidates.
  Task<void> RefreshLoad(CallState* call_state,
                         const std::vector<std::size_t>& sample,
                         std::vector<ServerCandidate>* candidates);
  Task<AttemptResult> Attempt(CallState* call_state);
  /// Attempts the call at the backend server of `peer`.
  Task<AttemptResult> ForwardToPeer(CallState* call_state, Peer* peer);
  /// Reads the response to a call that was sent to `peer`, and relays it if it
  /// is the server's.
  Task<AttemptResult> ReadPeerResponse(CallState* call_state, Peer* peer,
                                       ClientConnection* connection);
  /// Records what the server of the current attempt says of itself in a
  /// response that its node relays.
  void RecordStatements(const CallState& call_state,
                        const HttpResponseHead& head);
  /// Returns `retry_after` or up to half as much more.
  milliseconds Spread(milliseconds retry_after);
  /// Returns whether the request still waits for a response, and may be
  /// attempted again.
  static bool HasTimeForRetry(const CallState& call_state, Instant now);
  /// Takes a retry from the budget for a call whose attempt is under way at a
  /// silent peer. Returns false if the call can't run at another server.
  bool TakeRetryElsewhere(CallState* call_state);
  /// Returns whether another attempt is allowed. Spends a retry of the budget
  /// if the last attempt reached a server.
  bool MayRetry(CallState* call_state, const AttemptResult& result);
  /// Records the end of a call, and responds if no response was started.
  Task<void> FinishCall(CallState* call_state, const AttemptResult& result);
  /// Takes the result of an attempt into service times and failure rates.
  void UpdateStatistics(CallState* call_state, const AttemptResult& result);
  void RecordFailedAttempt(CallState* call_state, const AttemptResult& result);
  void LogAttempt(const CallState& call_state, const AttemptResult& result);

  IngressDependencies dependencies_;
  ServerSelector server_selector_;
  ServerSubsets server_subsets_;
  ServiceRetryBudget retry_budget_;
  QueueTimeoutPolicy queue_timeout_policy_;
  BackendStatementTable backend_statements_;
  std::mt19937_64 random_;
  std::optional<StopSchedule> stop_;             ///< Set during a planned stop.
  std::map<std::string, double> failure_rates_;  ///< EWMA, by instance.
  /// Credits of the weighted round robin of split routes, by route and service.
  std::map<std::string, std::map<std::string, double>> split_credit_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_INGRESS_H_
