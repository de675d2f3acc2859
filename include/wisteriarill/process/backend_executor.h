/// \file
/// The backend executor: a thread that runs the concurrency limiter and the
/// call state table, and workers that exchange admitted calls with the backend
/// server.
#ifndef WISTERIARILL_PROCESS_BACKEND_EXECUTOR_H_
#define WISTERIARILL_PROCESS_BACKEND_EXECUTOR_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

#include "wisteriarill/connection/backend_client.h"
#include "wisteriarill/connection/peer_hub.h"
#include "wisteriarill/connection/response_stream.h"
#include "wisteriarill/process/bounded_queue.h"
#include "wisteriarill/process/concurrency_limiter.h"
#include "wisteriarill/process/metrics.h"
#include "wisteriarill/process/node_settings.h"
#include "wisteriarill/request/call_state_table.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// What a nested call inherits from its parent, the call that the backend
/// server runs.
struct ParentCall {
  std::string workspace;
  std::uint8_t depth = 0;
  Instant deadline;
};

/// State of the backend server and of its calls, for operators.
struct BackendStatus {
  LoadReport load;
  std::uint64_t cold_starts = 0;
  std::size_t remembered_ids = 0;
  std::size_t kept_responses = 0;
};

/// Runs the calls of peers at the backend server. Public functions post events
/// to the queue of the executor's own thread, which makes all decisions;
/// workers exchange the admitted calls with the backend server.
class BackendExecutor {
 public:
  BackendExecutor(const NodeSettings& settings, InstanceId instance,
                  PeerHub* hub, Metrics* metrics);
  ~BackendExecutor();
  BackendExecutor(const BackendExecutor&) = delete;
  BackendExecutor& operator=(const BackendExecutor&) = delete;

  void Start();
  /// Queues a peer's message; returns false if the queue is full.
  bool OnPeerMessage(PeerTarget from, PeerMessage message);
  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot);
  void OnTick();
  /// Reports in load reports that this node is leaving.
  void SetLeaving() { leaving_ = true; }

  /// Returns the call `id` if the backend server is running it. Thread-safe.
  std::optional<ParentCall> FindRunning(const RequestId& id) const;
  /// Returns the number of calls that are queued or running. Thread-safe.
  std::size_t unfinished() const { return unfinished_.load(); }
  BackendStatus status() const;

 private:
  /// A call from its acceptance until the ingress acknowledged the response or
  /// the response was kept for long enough.
  struct ServedCall {
    CallStart start;
    Instant deadline;
    std::shared_ptr<CallMailbox> mailbox;
    std::unique_ptr<ResponseStream> answer;
    std::atomic<BackendClient*> client{nullptr};
    bool running = false;  ///< Admitted and given to a worker.
    bool done = false;     ///< The exchange with the backend server ended.
    std::atomic<bool> handed_over{false};
  };
  using ServedCallPtr = std::shared_ptr<ServedCall>;

  struct PeerEvent {
    PeerTarget from;
    PeerMessage message;
  };
  struct FinishedEvent {
    RequestId id;
    BackendExchangeResult end;
    microseconds latency;
  };
  struct SnapshotEvent {
    std::shared_ptr<const Snapshot> snapshot;
  };
  struct TickEvent {};
  using Event =
      std::variant<PeerEvent, FinishedEvent, SnapshotEvent, TickEvent>;

  void Run();
  void Handle(Event event);
  void HandlePeer(PeerEvent event, Instant now);
  void OnStart(LinkId link, CallStart start, Instant now);
  Refusal CheckStart(const CallStart& start, Instant now) const;
  void OnCancel(const RequestId& id, Instant now);
  void OnQuery(LinkId link, const ResultQuery& query, Instant now);
  void OnFinished(const FinishedEvent& event, Instant now);
  void ApplySnapshot(std::shared_ptr<const Snapshot> snapshot);
  void ApplyLimiterDecisions(Instant now);
  void Refuse(const RequestId& id, Refusal refusal, Instant now);
  void SendRefusal(LinkId link, const RequestId& id, Outcome outcome,
                   Refusal refusal, Instant now);
  void DropOldResponses(Instant now);
  void GrowWorkers(std::uint32_t count);
  LoadReport CurrentLoad(Instant now) const;
  void PublishStatus(Instant now);

  void RunWorker();
  BackendExchangeResult RunExchange(const ServedCallPtr& call,
                                    BackendClient* client);
  std::optional<std::string> NextBodyPiece(const ServedCallPtr& call,
                                           std::uint64_t* received,
                                           bool* ended);
  void FinishResponse(const ServedCallPtr& call,
                      const BackendExchangeResult& end);

  const NodeSettings settings_;
  const InstanceId instance_;
  PeerHub* const hub_;
  Metrics* const metrics_;
  ConcurrencyLimiter limiter_;
  CallStateTable call_states_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::unordered_map<RequestId, ServedCallPtr> calls_;
  BoundedQueue<Event> events_;
  BoundedQueue<ServedCallPtr> work_queue_;
  std::atomic<bool> leaving_{false};
  std::atomic<std::size_t> unfinished_{0};
  mutable std::mutex running_mutex_;
  std::unordered_map<RequestId, ParentCall> running_;
  BackendStatus status_;  ///< Guarded by running_mutex_.
  std::thread thread_;
  std::vector<std::thread> workers_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_BACKEND_EXECUTOR_H_
