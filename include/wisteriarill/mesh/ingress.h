/// \file
/// The ingress: takes callers' requests, checks route, key and rate, and
/// tries servers until one answers or the call can't be served.
#ifndef WISTERIARILL_MESH_INGRESS_H_
#define WISTERIARILL_MESH_INGRESS_H_

#include <map>
#include <memory>
#include <set>
#include <string>

#include "wisteriarill/mesh/service_retry_budget.h"
#include "wisteriarill/mesh/mesh_state.h"
#include "wisteriarill/mesh/peer_datagram_service.h"
#include "wisteriarill/mesh/queue_timeout_policy.h"
#include "wisteriarill/mesh/server_selector.h"

namespace wisteriarill {

/// The parts of a node that the ingress uses. All outlive it.
struct IngressParts {
  asio::io_context* loop = nullptr;
  const ProxySettings* settings = nullptr;
  const PlatformFieldNames* dialect = nullptr;
  MeshState* state = nullptr;
  BackendDispatcher* backend = nullptr;
  PeerTable* peers = nullptr;
  PeerDatagramService* peer_service = nullptr;
  Metrics* metrics = nullptr;
};

class Ingress : public RequestHandler {
 public:
  explicit Ingress(const IngressParts& parts);

  Task<void> Handle(ServerExchange* exchange) override;
  /// Refuses callers from now on; calls of the server beside still go.
  void StopTaking() { taking_ = false; }

 private:
  struct Serving;

  /// Attempts at most, those that never reached a server included.
  static constexpr int kMostAttempts = 4;
  /// Bytes of an answer that are held back, so that a broken one can be
  /// fetched from another server.
  static constexpr std::size_t kHeldAnswer = 64U << 10;
  static constexpr std::size_t kMostFailureShares = 20000;

  static RetryRequester ClaimOf(const Serving& serving);
  bool CheckRequest(Serving* serving);
  bool CheckKey(Serving* serving);
  Task<bool> CheckRate(Serving* serving);
  Task<void> Refuse(Serving* serving, int status, std::string reason,
                    milliseconds retry_after);
  void PrepareCall(Serving* serving);
  std::string PickService(const MeshRoute& route);
  Task<void> TryServers(Serving* serving);
  bool ChooseServer(Serving* serving);
  Task<AttemptResult> Attempt(Serving* serving);
  Task<AttemptResult> AttemptRemote(Serving* serving, Peer* peer);
  bool MayTryAgain(Serving* serving, const AttemptResult& result);
  Task<void> Conclude(Serving* serving, const AttemptResult& result);
  void NoteOutcome(Serving* serving, const AttemptResult& result);
  void NoteTrail(Serving* serving, const AttemptResult& result);
  void Record(const Serving& serving, const AttemptResult& result);

  IngressParts parts_;
  ServerSelector choice_;
  ServiceRetryBudget budget_;
  QueueTimeoutPolicy patience_;
  bool taking_ = true;
  std::map<std::string, double> failure_share_;  ///< By instance.
  /// Weighted turns of split routes: credit by route and service.
  std::map<std::string, std::map<std::string, double>> split_credit_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_INGRESS_H_
