/// \file
/// The chosen way of dividing rates: whole tokens asked from the homes of the
/// workspace's parts, a few of them ahead of need.
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
  RateShardOptions parts;
  /// A home that does not answer for so long is skipped for `silence`.
  microseconds ask_timeout = milliseconds(80);
  microseconds silence = seconds(1);
  /// A call waits at most so long for its token.
  microseconds longest_wait = milliseconds(400);
  /// Tokens are fetched ahead for the demand of so long.
  microseconds ahead_window = milliseconds(40);
  std::uint32_t most_ahead = 32;
  /// Unused tokens go back after so long.
  microseconds return_after = milliseconds(250);
  /// Settlements wait at most so long for an ask to travel with.
  microseconds settle_after = milliseconds(100);
};

/// The asker of one node. No I/O, no clock, one thread.
class LeasingRateLimiter : public RateLimiter {
 public:
  /// `self` is the name of the backend server this node stands beside; homes
  /// of its failure domain are asked first.
  LeasingRateLimiter(LeasingRateLimiterOptions options, std::string self);

  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot,
                  Instant now) override;
  void RequestToken(const std::string& workspace, TicketId ticket,
            Instant now) override;
  void OnAnswer(const TokenLeaseReply& answer, Instant now) override;
  void OnTick(Instant now) override;
  std::vector<RateDecision> TakeDecisions() override;
  std::vector<OutgoingTokenRequest> TakeRequests() override;

 private:
  struct Outstanding {
    std::uint64_t ask = 0;
    std::uint32_t need = 0;
    Instant sent;
  };
  /// What the asker knows of one home's part.
  struct PartView {
    RateShard part;
    std::string home;
    std::string address;
    bool near = false;       ///< In this node's failure domain.
    std::int64_t level = 0;  ///< Micro-tokens when last heard.
    Instant level_at;
    Instant empty_until = kNever;
    Instant silent_until = kNever;
    std::optional<Outstanding> outstanding;
    std::vector<TokenSettlement> settlements;
    Instant settle_by = kNever;
  };
  /// Tokens in hand from one grant.
  struct Hand {
    std::string home;
    std::uint16_t slot = 0;
    std::uint64_t grant = 0;
    std::uint32_t left = 0;
    std::uint32_t spent = 0;
    Instant asked;
    Instant expires;
  };
  struct Waiter {
    TicketId ticket;
    Instant since;
  };
  struct WorkspaceState {
    TokenRate size;
    std::vector<PartView> parts;
    std::deque<Hand> hands;
    std::deque<Waiter> waiters;
    Instant refused_until = kNever;
    double demand = 0;        ///< Calls a second, smoothed.
    std::uint32_t taken = 0;  ///< Calls since demand_at.
    Instant demand_at = kNever;
  };

  WorkspaceState* FindOrAdd(const std::string& workspace, Instant now);
  void PlanParts(const std::string& workspace, WorkspaceState* state,
                 Instant now) const;
  static void CountDemand(WorkspaceState* state, Instant now);
  bool SpendFromHand(WorkspaceState* state, Instant now);
  void ServeWaiters(WorkspaceState* state, Instant now);
  void SendAsks(const std::string& workspace, WorkspaceState* state,
                Instant now);
  PartView* BestPart(WorkspaceState* state, Instant now) const;
  void SendAsk(const std::string& workspace, std::uint32_t need,
               std::uint32_t ahead, PartView* view, Instant now);
  void RefuseWaiters(WorkspaceState* state, Instant now);
  void Refuse(const WorkspaceState& state, TicketId ticket);
  static std::int64_t EstimatedLevel(const PartView& view, Instant now);
  std::uint32_t AheadFor(const WorkspaceState& state) const;
  void CloseHand(WorkspaceState* state, const Hand& hand, Instant now) const;
  void ReturnIdleTokens(WorkspaceState* state, Instant now) const;
  void TickWorkspace(const std::string& workspace, WorkspaceState* state,
                     Instant now);

  const LeasingRateLimiterOptions options_;
  const std::string self_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::map<std::string, WorkspaceState> workspaces_;
  std::uint64_t last_ask_ = 0;
  std::vector<RateDecision> decisions_;
  std::vector<OutgoingTokenRequest> asks_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_LEASING_RATE_LIMITER_H_
