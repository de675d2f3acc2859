/// \file
/// Dispatches messages that belong to a call to the thread that handles it.
#ifndef WISTERIARILL_CONNECTION_CALL_TABLE_H_
#define WISTERIARILL_CONNECTION_CALL_TABLE_H_

#include <memory>
#include <mutex>
#include <unordered_map>
#include <variant>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/process/bounded_queue.h"
#include "wisteriarill/process/ids.h"

namespace wisteriarill {

/// The link that a call uses was closed after an error or a timeout.
struct LinkLost {
  LinkId link;
};

/// An event that the thread of a call waits for.
using CallEvent = std::variant<PeerMessage, LinkLost>;

/// The flow control window: the maximum number of unacknowledged bytes of one
/// body.
inline constexpr std::size_t kMaxInFlightBodyBytes = 256U << 10;
/// The maximum number of body bytes in one message.
inline constexpr std::size_t kMaxBodyPieceBytes = 32U << 10;

/// The inbound queue of one call, at the ingress or at the node that runs it.
class CallMailbox {
 public:
  explicit CallMailbox(RequestId id) : id_(id), events_(kMaxQueuedEvents) {}

  const RequestId& id() const { return id_; }
  /// Returns the link that the call uses.
  LinkId link() const;
  void SetLink(LinkId link);
  /// Waits for the next event. Returns std::nullopt after `timeout`.
  std::optional<CallEvent> Next(nanoseconds timeout) {
    return events_.PopFor(timeout);
  }
  bool Post(CallEvent event) { return events_.TryPush(std::move(event)); }

 private:
  // Enough for a full flow control window of small pieces and for some control
  // messages.
  static constexpr std::size_t kMaxQueuedEvents = 512;

  const RequestId id_;
  mutable std::mutex mutex_;
  LinkId link_;
  BoundedQueue<CallEvent> events_;
};

/// The mailboxes of calls by request id. A node has one table for the calls
/// that it accepts from callers and one for the calls that its backend server
/// runs. Thread-safe.
class CallTable {
 public:
  std::shared_ptr<CallMailbox> Add(const RequestId& id);
  void Remove(const RequestId& id);
  /// Adds an event to the queue of a call. Returns false if the call is unknown
  /// or its queue is full.
  bool Post(const RequestId& id, CallEvent event);
  /// Posts LinkLost to every call that uses `link`.
  void OnLinkDown(LinkId link);
  std::size_t size() const;

 private:
  mutable std::mutex mutex_;
  std::unordered_map<RequestId, std::shared_ptr<CallMailbox>> calls_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_CALL_TABLE_H_
