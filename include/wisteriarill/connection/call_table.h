/// \file
/// Routes messages of calls to the threads that serve them.
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

/// The link that a call uses broke or went silent.
struct LinkLost {
  LinkId link;
};

/// What a call's thread waits for.
using CallEvent = std::variant<PeerMessage, LinkLost>;

/// Pieces of a body in flight on a link at most, in bytes.
inline constexpr std::size_t kMaxInFlightBodyBytes = 256U << 10;
/// Bytes of a body in one message at most.
inline constexpr std::size_t kMaxBodyPieceBytes = 32U << 10;

/// The inbound queue of one call at one side.
class CallMailbox {
 public:
  explicit CallMailbox(RequestId id) : id_(id), events_(kEvents) {}

  const RequestId& id() const { return id_; }
  /// Returns the link in use.
  LinkId link() const;
  void SetLink(LinkId link);
  /// Waits for the next event.
  std::optional<CallEvent> Next(nanoseconds timeout) {
    return events_.PopFor(timeout);
  }
  bool Post(CallEvent event) { return events_.TryPush(std::move(event)); }

 private:
  // A window of the smallest usual pieces, and some room for control.
  static constexpr std::size_t kEvents = 512;

  const RequestId id_;
  mutable std::mutex mutex_;
  LinkId link_;
  BoundedQueue<CallEvent> events_;
};

/// The calls of one side of a process. Thread-safe.
class CallTable {
 public:
  std::shared_ptr<CallMailbox> Add(const RequestId& id);
  void Remove(const RequestId& id);
  /// Hands an event to a call; false if the call is not known.
  bool Post(const RequestId& id, CallEvent event);
  /// Tells every call on `link` that it is lost.
  void OnLinkDown(LinkId link);
  std::size_t size() const;

 private:
  mutable std::mutex mutex_;
  std::unordered_map<RequestId, std::shared_ptr<CallMailbox>> calls_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_CALL_TABLE_H_
