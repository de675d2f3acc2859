/// \file
/// Who decides whether a workspace has a token for a call. Abstract, so that
/// ways of dividing a rate can be weighed against each other.
#ifndef WISTERIARILL_PROCESS_RATE_LIMITER_H_
#define WISTERIARILL_PROCESS_RATE_LIMITER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// Names one call that waits for a token, within its node.
using TicketId = TypedId<struct TicketTag, std::uint64_t>;

/// The decision on one call.
struct RateDecision {
  TicketId ticket;
  bool granted = false;
  microseconds retry_after{};  ///< For a refused call.
};

/// An ask to send to the node of a home.
struct OutgoingTokenRequest {
  std::string address;  ///< Where the home's node accepts peers.
  std::string owner;     ///< Name of its backend server.
  TokenLeaseRequest request;
};

/// Decides rates for the calls that enter at one node.
class RateLimiter {
 public:
  virtual ~RateLimiter() = default;

  /// Takes a new version.
  virtual void OnSnapshot(std::shared_ptr<const Snapshot> snapshot,
                          Instant now) = 0;
  /// Asks a token for one call; the decision comes out of TakeDecisions.
  virtual void RequestToken(const std::string& workspace, TicketId ticket,
                    Instant now) = 0;
  /// Takes a home's answer.
  virtual void OnAnswer(const TokenLeaseReply& answer, Instant now) = 0;
  /// Runs time-outs; called at least every few milliseconds.
  virtual void OnTick(Instant now) = 0;

  /// Takes the decisions made since the last call.
  virtual std::vector<RateDecision> TakeDecisions() = 0;
  /// Takes the asks to send since the last call.
  virtual std::vector<OutgoingTokenRequest> TakeRequests() = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_RATE_LIMITER_H_
