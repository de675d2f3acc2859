/// \file
/// Interface of rate limiters, which decide whether a workspace has a token for
/// a call. Abstract, so that ways of dividing a rate over nodes can be
/// compared.
#ifndef WISTERIARILL_PROCESS_RATE_LIMITER_H_
#define WISTERIARILL_PROCESS_RATE_LIMITER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// Identifies one call that waits for a token, within its node.
using TicketId = TypedId<struct TicketTag, std::uint64_t>;

/// The decision on one call.
struct RateDecision {
  TicketId ticket;
  bool granted = false;
  microseconds retry_after{};  ///< Set if the call is refused.
};

/// A request to send to the node of a shard's owner.
struct OutgoingTokenRequest {
  std::string address;  ///< Where the owner's node accepts peers.
  std::string owner;    ///< Name of its backend server.
  TokenLeaseRequest request;
};

/// Limits the rates of the calls that enter at one node.
class RateLimiter {
 public:
  virtual ~RateLimiter() = default;

  /// Applies a new version.
  virtual void OnSnapshot(std::shared_ptr<const Snapshot> snapshot,
                          Instant now) = 0;
  /// Requests a token for one call. TakeDecisions returns the decision.
  virtual void RequestToken(const std::string& workspace, TicketId ticket,
                            Instant now) = 0;
  /// Processes an owner's reply.
  virtual void OnTokenReply(const TokenLeaseReply& reply, Instant now) = 0;
  /// Handles timeouts. Must be called every few milliseconds.
  virtual void OnTick(Instant now) = 0;

  /// Returns the decisions made since the last call.
  virtual std::vector<RateDecision> TakeDecisions() = 0;
  /// Returns the requests to send, made since the last call.
  virtual std::vector<OutgoingTokenRequest> TakeRequests() = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_RATE_LIMITER_H_
