/// \file
/// The concurrency limiter of one backend server. Only the node beside a
/// backend server sends calls to it, so the limiter counts the calls in flight
/// exactly, without messages to other nodes.
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

struct ConcurrencyLimiterOptions {
  std::uint32_t slots = 1;  ///< Maximum number of calls in flight, when warm.
  /// Maximum number of calls in flight, right after a cold start.
  std::uint32_t cold_slots = 1;
  microseconds warmup = seconds(5);
  /// Maximum number of queued calls for each slot.
  std::uint32_t max_queued_per_slot = 8;
  /// How long the limiter refuses calls after the backend server could not be
  /// connected to.
  microseconds reconnect_delay = milliseconds(200);
  /// If false, every call is admitted at once: a baseline for comparison.
  bool enabled = true;
};

/// What the limiter knows of a call.
struct LimiterCall {
  RequestId id;
  std::string workspace;
  CallClass call_class = CallClass::kInteractive;
  std::uint8_t depth = 0;
  Instant deadline;
};

/// How the exchange of a call with the backend server ended.
enum class BackendResult : std::uint8_t {
  kAnswered,
  kShed,          ///< The backend server refused the call because of its load.
  kBroken,        ///< The connection broke during the call.
  kNotConnected,  ///< No connection could be made; the call did not run.
  kWithdrawn,     ///< Cancelled or past its deadline before it was sent.
  kTimedOut,
};

/// The limiter's decision on a call.
struct LimiterDecision {
  RequestId id;
  bool admitted = false;
  Refusal refusal =
      Refusal::kNone;  ///< Why the call was refused; it did not run.
};

/// Decides when calls may run at the backend server. Limits the number of calls
/// in flight, queues further calls by priority and workspace, and lowers the
/// limit when the backend server sheds load or was restarted. Does no I/O,
/// reads no clock, and is used by one thread.
class ConcurrencyLimiter {
 public:
  ConcurrencyLimiter(ConcurrencyLimiterOptions options, Instant now);

  /// Applies the options of a new configuration version.
  void Configure(const ConcurrencyLimiterOptions& options);
  /// Admits, queues or refuses a call.
  void Submit(const LimiterCall& call, Instant now);
  /// Records the end of an admitted call. `instance` identifies the run of the
  /// backend server's process as its response reports it; it is empty if the
  /// response does not.
  void OnFinished(const RequestId& id, BackendResult result,
                  microseconds latency, const std::string& instance,
                  Instant now);
  /// Removes a call from its queue; returns false if it is not queued.
  bool CancelQueued(const RequestId& id);
  /// Refuses queued calls whose deadline passed and admits calls if the limit
  /// has grown.
  void OnTick(Instant now);
  /// Refuses every queued call, and further calls until Open.
  void Close(Refusal reason);
  /// Admits calls again after Close.
  void Open();

  std::vector<LimiterDecision> TakeDecisions();

  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t queued() const { return queued_; }
  /// Returns the current limit of calls in flight.
  std::uint32_t limit(Instant now) const;
  LoadReport load(Instant now) const;
  /// Returns the number of detected cold starts of the backend server.
  std::uint64_t cold_starts() const { return cold_starts_; }

 private:
  // Queued calls of one priority level, by workspace. A call is taken from a
  // level only if all more urgent levels are empty.
  static constexpr std::size_t kPriorityLevels = 4;
  struct PriorityLevel {
    std::map<std::string, std::deque<LimiterCall>> queues;
    std::string last_served;
  };

  static std::size_t PriorityOf(const LimiterCall& call);
  void Refuse(const RequestId& id, Refusal refusal);
  void Admit(const LimiterCall& call);
  bool IsUnreachable(Instant now) const;
  bool WouldMissDeadline(const LimiterCall& call, Instant now) const;
  void DropFromLongestQueue();
  void AdmitQueued(Instant now);
  bool PopNext(LimiterCall* call);
  void OnColdStart(Instant now);
  void UpdateLatency(microseconds latency, Instant now);
  void DecreaseLimit(Instant now);
  void IncreaseLimit();

  ConcurrencyLimiterOptions options_;
  std::array<PriorityLevel, kPriorityLevels> priority_levels_;
  std::uint32_t in_flight_ = 0;
  std::uint32_t queued_ = 0;
  bool closed_ = false;
  Refusal close_reason_ = Refusal::kNone;
  double learned_limit_;  ///< Lowered on shed and timed-out calls.
  Instant ramp_start_;
  bool answered_since_cold_ = false;
  std::string instance_;
  std::uint64_t cold_starts_ = 0;
  Instant unreachable_until_ = kNever;
  Instant last_decrease_ = kNever;
  double baseline_latency_micros_ = 0;  ///< Slow EWMA of the latency.
  double recent_latency_micros_ = 0;    ///< Fast EWMA of the latency.
  std::uint32_t latency_samples_ = 0;
  std::vector<LimiterDecision> decisions_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_CONCURRENCY_LIMITER_H_
