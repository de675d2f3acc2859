/// \file
/// What a node remembers of call ids, so that none runs twice and a call that
/// was declared "not run" never runs later.
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

/// Where a call stands at the node beside its backend server.
enum class CallState {
  kWaiting,     ///< Accepted, not handed over.
  kHandedOver,  ///< Given to the backend server.
  kFinished,    ///< The backend server is done with it.
  kNotRun,      ///< Declared not run; it never will.
};

/// The ledger of one node. No I/O, no clock, one thread.
class CallStateTable {
 public:
  /// Remembers an id for `retention` after its deadline.
  explicit CallStateTable(microseconds retention) : retention_(retention) {}

  /// Enters a new call; false if the id is known already.
  bool Add(const RequestId& id, Instant deadline, Instant now);

  /// Marks the moment before the first byte goes to the backend server. False
  /// if the call may not run: declared not run, or handed over before.
  bool HandOver(const RequestId& id);

  /// Notes that a call that was handed over did not run after all: no byte
  /// was sent, or the backend server said so.
  void ConfirmNotRun(const RequestId& id);

  /// Marks that the backend server is done.
  void Finish(const RequestId& id);

  /// Declares a call not run, known or not; false if it was handed over.
  bool DeclareNotRun(const RequestId& id, Instant now);

  /// Returns the state of a call, if it is remembered.
  std::optional<CallState> Find(const RequestId& id) const;

  /// Forgets ids past their retention.
  void OnTick(Instant now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Expiry {
    Instant at;
    RequestId id;
    friend bool operator<(const Expiry& a, const Expiry& b) {
      return b.at < a.at;
    }
  };

  const microseconds retention_;
  std::unordered_map<RequestId, CallState> entries_;
  std::priority_queue<Expiry> expiries_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REQUEST_CALL_STATE_TABLE_H_
