/// \file
/// The rate limiter in use by default: leases whole tokens from the owners of
/// the workspace's shards, a few of them before they are needed.
#ifndef WISTERIARILL_PROCESS_LEASING_RATE_LIMITER_H_
#define WISTERIARILL_PROCESS_LEASING_RATE_LIMITER_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wisteriarill/process/rate_limiter.h"
#include "wisteriarill/process/rate_shard_planner.h"

namespace wisteriarill {

struct LeasingRateLimiterOptions {
  RateShardOptions shard_options;
  /// An owner that does not reply within `request_timeout` is skipped for
  /// `unresponsive_exclusion`.
  microseconds request_timeout = milliseconds(80);
  microseconds unresponsive_exclusion = seconds(1);
  /// How long a call may wait for its token.
  microseconds max_wait = milliseconds(400);
  /// Tokens are prefetched for the expected demand of this time.
  microseconds prefetch_window = milliseconds(40);
  std::uint32_t max_prefetch = 32;
  /// Unused tokens are returned to their owner after this time.
  microseconds idle_token_timeout = milliseconds(250);
  /// How long settlements wait for a request to be sent with.
  microseconds max_settlement_delay = milliseconds(100);
};

/// The rate limiter of one node. Does no I/O, reads no clock, and is used by
/// one thread.
class LeasingRateLimiter : public RateLimiter {
 public:
  /// `self` is the name of the backend server beside this node. Owners in its
  /// failure domain are asked first.
  LeasingRateLimiter(LeasingRateLimiterOptions options, std::string self);

  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot,
                  Instant now) override;
  void RequestToken(const std::string& workspace, TicketId ticket,
                    Instant now) override;
  void OnTokenReply(const TokenLeaseReply& reply, Instant now) override;
  void OnTick(Instant now) override;
  std::vector<RateDecision> TakeDecisions() override;
  std::vector<OutgoingTokenRequest> TakeRequests() override;

 private:
  struct SentRequest {
    std::uint64_t request_number = 0;
    std::uint32_t need = 0;
    Instant sent;
  };
  /// What the rate limiter knows of one shard and its owner.
  struct ShardState {
    RateShard plan;
    std::string owner;
    std::string address;
    bool local = false;      ///< In this node's failure domain.
    std::int64_t level = 0;  ///< Micro-tokens in the owner's last reply.
    Instant level_updated_at;
    Instant empty_until = kNever;
    Instant excluded_until = kNever;
    std::optional<SentRequest> pending;
    std::vector<TokenSettlement> settlements;
    Instant settlement_deadline = kNever;
  };
  /// Tokens leased by one reply.
  struct Lease {
    std::string owner;
    std::uint16_t slot = 0;
    std::uint64_t grant = 0;
    std::uint32_t unspent = 0;
    std::uint32_t spent = 0;
    Instant requested_at;
    Instant expires;
  };
  struct Waiter {
    TicketId ticket;
    Instant since;
  };
  struct WorkspaceState {
    TokenRate size;
    std::vector<ShardState> shards;
    std::deque<Lease> leases;
    std::deque<Waiter> waiters;
    Instant refused_until = kNever;
    double demand = 0;                     ///< Calls per second, smoothed.
    std::uint32_t calls_since_update = 0;  ///< Calls since demand_updated_at.
    Instant demand_updated_at = kNever;
  };

  WorkspaceState* FindOrAdd(const std::string& workspace, Instant now);
  void UpdateShards(const std::string& workspace, WorkspaceState* state,
                    Instant now) const;
  static void UpdateDemand(WorkspaceState* state, Instant now);
  bool SpendLeasedToken(WorkspaceState* state, Instant now);
  void ServeWaiters(WorkspaceState* state, Instant now);
  void SendRequests(const std::string& workspace, WorkspaceState* state,
                    Instant now);
  ShardState* SelectShard(WorkspaceState* state, Instant now) const;
  void SendRequest(const std::string& workspace, std::uint32_t need,
                   std::uint32_t ahead, ShardState* shard, Instant now);
  void RefuseWaiters(WorkspaceState* state, Instant now);
  void Refuse(const WorkspaceState& state, TicketId ticket);
  static std::int64_t EstimatedLevel(const ShardState& shard, Instant now);
  std::uint32_t PrefetchCount(const WorkspaceState& state) const;
  void SettleLease(WorkspaceState* state, const Lease& lease,
                   Instant now) const;
  void ReturnIdleTokens(WorkspaceState* state, Instant now) const;
  void TickWorkspace(const std::string& workspace, WorkspaceState* state,
                     Instant now);

  const LeasingRateLimiterOptions options_;
  const std::string self_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::map<std::string, WorkspaceState> workspaces_;
  std::uint64_t last_request_number_ = 0;
  std::vector<RateDecision> decisions_;
  std::vector<OutgoingTokenRequest> requests_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_LEASING_RATE_LIMITER_H_
