/// \file
/// The gate of one backend server. Its node alone sends to the backend server,
/// so the gate knows exactly what is in flight without asking anyone.
#ifndef WISTERIARILL_PROCESS_CONCURRENCY_LIMITER_H_
#define WISTERIARILL_PROCESS_CONCURRENCY_LIMITER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/process/ids.h"
#include "wisteriarill/process/time.h"
#include "wisteriarill/request/outcome.h"

namespace wisteriarill {

struct GateOptions {
  std::uint32_t slots = 1;  ///< In flight at most, when warm.
  std::uint32_t cold_slots =
      1;  ///< In flight at most, right after a cold start.
  microseconds warmup = seconds(5);
  /// Calls that wait, for each slot.
  std::uint32_t queue_per_slot = 8;
  /// Pause before a backend server that can't be reached is tried again.
  microseconds retry_pause = milliseconds(200);
  /// False admits everything at once: the baseline without a gate.
  bool enabled = true;
};

/// A call as the gate sees it.
struct GateCall {
  RequestId id;
  std::string workspace;
  CallClass call_class = CallClass::kInteractive;
  std::uint8_t depth = 0;
  Instant deadline;
};

/// How the backend server took a call.
enum class BackendResult : std::uint8_t {
  kAnswered,
  kShed,          ///< It refused for load.
  kBroken,        ///< The connection broke under the call.
  kNotConnected,  ///< No connection; the call did not run.
  kWithdrawn,     ///< Cancelled or late before it was sent.
  kTimedOut,
};

/// What the gate decided on a call.
struct GateAction {
  RequestId id;
  bool admitted = false;
  Refusal refusal = Refusal::kNone;  ///< Why not; the call did not run.
};

/// The gate decision. No I/O, no clock, one thread.
class Gate {
 public:
  Gate(GateOptions options, Instant now);

  /// Takes changed settings of a new version.
  void Configure(const GateOptions& options);
  /// Takes a call that wants to run.
  void OnOffer(const GateCall& call, Instant now);
  /// Takes the end of an admitted call. `instance` is the backend server's
  /// life as it reports it, empty if it does not.
  void OnFinished(const RequestId& id, BackendResult result,
                  microseconds latency, const std::string& instance,
                  Instant now);
  /// Forgets a call that still waits; returns whether it did.
  bool OnCancelled(const RequestId& id);
  /// Drops calls whose deadline passed and raises the limit.
  void OnTick(Instant now);
  /// Refuses everything that waits and all that comes.
  void Close(Refusal reason);
  /// Admits calls again after Close.
  void Open();

  std::vector<GateAction> TakeActions();

  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t queued() const { return queued_; }
  /// Returns how many calls may be in flight at `now`.
  std::uint32_t limit(Instant now) const;
  LoadReport load(Instant now) const;
  /// Returns how often the backend server was found cold.
  std::uint64_t cold_starts() const { return cold_starts_; }

 private:
  // Calls of one band wait by workspace; bands go in strict order.
  static constexpr std::size_t kBands = 4;
  struct Band {
    std::map<std::string, std::deque<GateCall>> queues;
    std::string last_served;
  };

  static std::size_t BandOf(const GateCall& call);
  void Refuse(const RequestId& id, Refusal refusal);
  void Admit(const GateCall& call);
  bool IsDown(Instant now) const;
  bool WouldMissDeadline(const GateCall& call, Instant now) const;
  void DropFromLongestQueue();
  void Pump(Instant now);
  bool PopNext(GateCall* call);
  void NoteCold(Instant now);
  void NoteLatency(microseconds latency, Instant now);
  void Lower(Instant now);
  void Raise();

  GateOptions options_;
  std::array<Band, kBands> bands_;
  std::uint32_t in_flight_ = 0;
  std::uint32_t queued_ = 0;
  bool closed_ = false;
  Refusal close_reason_ = Refusal::kNone;
  double ceiling_;  ///< Learned from refusals.
  Instant cold_since_;
  bool answered_since_cold_ = false;
  std::string instance_;
  std::uint64_t cold_starts_ = 0;
  Instant down_until_ = kNever;
  Instant lowered_at_ = kNever;
  double usual_micros_ = 0;   ///< Slow average of latency.
  double recent_micros_ = 0;  ///< Fast average of latency.
  std::uint32_t samples_ = 0;
  std::vector<GateAction> actions_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_CONCURRENCY_LIMITER_H_
