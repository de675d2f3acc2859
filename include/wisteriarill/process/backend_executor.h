/// \file
/// The backend duty: a thread that runs the gate and the call ledger, and the
/// workers that exchange admitted calls with the backend server.
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

#include "wisteriarill/connection/answer_stream.h"
#include "wisteriarill/connection/backend_client.h"
#include "wisteriarill/connection/peer_hub.h"
#include "wisteriarill/process/bounded_queue.h"
#include "wisteriarill/process/concurrency_limiter.h"
#include "wisteriarill/process/metrics.h"
#include "wisteriarill/process/node_settings.h"
#include "wisteriarill/request/call_state_table.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// What a nested call inherits from the call that its backend server runs.
struct ParentCall {
  std::string workspace;
  std::uint8_t depth = 0;
  Instant deadline;
};

/// What operators see of the gate.
struct BackendStatus {
  LoadReport load;
  std::uint64_t cold_starts = 0;
  std::size_t remembered_ids = 0;
  std::size_t kept_answers = 0;
};

class BackendExecutor {
 public:
  BackendExecutor(const NodeSettings& settings, InstanceId instance, PeerHub* hub,
              Metrics* metrics);
  ~BackendExecutor();
  BackendExecutor(const BackendExecutor&) = delete;
  BackendExecutor& operator=(const BackendExecutor&) = delete;

  void Start();
  /// Hands over a peer's message; false if the duty can't keep up.
  bool OnPeerMessage(PeerTarget from, PeerMessage message);
  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot);
  void OnTick();
  /// Tells in load reports that this node is leaving.
  void SetLeaving() { leaving_ = true; }

  /// Returns the call `id` if the backend server runs it now. Thread-safe.
  std::optional<ParentCall> FindRunning(const RequestId& id) const;
  /// Returns how many calls wait, run or have answers not yet taken.
  std::size_t unfinished() const { return unfinished_.load(); }
  BackendStatus status() const;

 private:
  /// A call from its acceptance until its answer was taken.
  struct ServedCall {
    CallStart start;
    Instant deadline;
    std::shared_ptr<CallMailbox> mailbox;
    std::unique_ptr<AnswerStream> answer;
    std::atomic<BackendClient*> client{nullptr};
    bool running = false;  ///< With a worker.
    bool settled = false;  ///< Refused, or done at the backend server.
    std::atomic<bool> handed_over{false};
  };
  using ServedPtr = std::shared_ptr<ServedCall>;

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
  void Flush(Instant now);
  void Refuse(const RequestId& id, Refusal refusal, Instant now);
  void SendRefusal(LinkId link, const RequestId& id, Outcome outcome,
                   Refusal refusal, Instant now);
  void ForgetOldAnswers(Instant now);
  void GrowWorkers(std::uint32_t count);
  LoadReport Load(Instant now) const;
  void PublishView(Instant now);

  void RunWorker();
  BackendExchangeResult Exchange(const ServedPtr& call, BackendClient* client);
  std::optional<std::string> NextPiece(const ServedPtr& call,
                                       std::uint64_t* received, bool* ended);
  void AnswerEnd(const ServedPtr& call, const BackendExchangeResult& end);

  const NodeSettings settings_;
  const InstanceId instance_;
  PeerHub* const hub_;
  Metrics* const metrics_;
  Gate gate_;
  CallStateTable ledger_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::unordered_map<RequestId, ServedPtr> served_;
  BoundedQueue<Event> events_;
  BoundedQueue<ServedPtr> work_;
  std::atomic<bool> leaving_{false};
  std::atomic<std::size_t> unfinished_{0};
  mutable std::mutex running_mutex_;
  std::unordered_map<RequestId, ParentCall> running_;
  BackendStatus view_;  ///< Guarded by running_mutex_.
  std::thread thread_;
  std::vector<std::thread> workers_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_BACKEND_EXECUTOR_H_
