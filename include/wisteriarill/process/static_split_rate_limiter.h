/// \file
/// Baseline for comparison: each node has an equal share of every workspace's
/// bucket and sends no requests.
#ifndef WISTERIARILL_PROCESS_STATIC_SPLIT_RATE_LIMITER_H_
#define WISTERIARILL_PROCESS_STATIC_SPLIT_RATE_LIMITER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wisteriarill/process/rate_limiter.h"
#include "wisteriarill/process/token_bucket.h"

namespace wisteriarill {

/// Divides each bucket evenly over all servers of the version.
class StaticSplitRateLimiter : public RateLimiter {
 public:
  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot,
                  Instant now) override;
  void RequestToken(const std::string& workspace, TicketId ticket,
                    Instant now) override;
  void OnTokenReply(const TokenLeaseReply& reply, Instant now) override;
  void OnTick(Instant now) override;
  std::vector<RateDecision> TakeDecisions() override;
  std::vector<OutgoingTokenRequest> TakeRequests() override;

 private:
  std::shared_ptr<const Snapshot> snapshot_;
  std::map<std::string, TokenBucket> buckets_;
  std::vector<RateDecision> decisions_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_STATIC_SPLIT_RATE_LIMITER_H_
