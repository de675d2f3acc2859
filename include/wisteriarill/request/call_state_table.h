/// \file
/// Tracks the states of calls by request id for at-most-once execution: no call
/// runs twice, and a call that was declared "not run" never runs later.
#ifndef WISTERIARILL_REQUEST_CALL_STATE_TABLE_H_
#define WISTERIARILL_REQUEST_CALL_STATE_TABLE_H_

#include <cstddef>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "wisteriarill/process/ids.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// The state of a call at its serving node, the node beside the backend server.
enum class CallState {
  kWaiting,     ///< Accepted, not yet handed over.
  kHandedOver,  ///< Sending to the backend server has begun.
  kFinished,    ///< The exchange with the backend server has ended.
  kNotRun,      ///< The call did not run and never will.
};

/// The call states of one serving node. Performs no I/O, reads no clock, and is
/// not thread-safe.
class CallStateTable {
 public:
  /// Keeps each id until `retention` after its deadline.
  explicit CallStateTable(microseconds retention) : retention_(retention) {}

  /// Adds a new call in state kWaiting; returns false if the id is already
  /// known.
  bool Add(const RequestId& id, Instant deadline, Instant now);

  /// Marks the call as handed over. Must be called before the first byte is
  /// sent to the backend server. Returns false if the call must not be sent,
  /// because it was declared not run, was handed over before, or is unknown.
  bool HandOver(const RequestId& id);

  /// Records that a call did not run although it may have been handed over: no
  /// byte was sent, or the backend server rejected it.
  void ConfirmNotRun(const RequestId& id);

  /// Marks a call that was handed over as finished.
  void Finish(const RequestId& id);

  /// Declares a call not run, also if its id is unknown, so that it is rejected
  /// if it arrives later. Returns false if the call was handed over.
  bool DeclareNotRun(const RequestId& id, Instant now);

  /// Returns the state of a call, or nothing if its id is unknown or expired.
  std::optional<CallState> Find(const RequestId& id) const;

  /// Removes ids whose retention has ended.
  void OnTick(Instant now);

  /// Returns the number of ids in the table.
  std::size_t size() const { return entries_.size(); }

 private:
  struct Expiry {
    Instant time;
    RequestId id;
    friend bool operator<(const Expiry& a, const Expiry& b) {
      return b.time < a.time;
    }
  };

  const microseconds retention_;
  std::unordered_map<RequestId, CallState> entries_;
  std::priority_queue<Expiry> expiries_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REQUEST_CALL_STATE_TABLE_H_
