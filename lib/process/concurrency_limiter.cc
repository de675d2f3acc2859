#include "wisteriarill/process/concurrency_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

// The limit grows over a longer time than the backend server's own warm-up.
constexpr double kRampDurationFactor = 1.25;
constexpr double kDecreaseFactor = 0.7;
constexpr double kBaselineLatencyWeight = 0.01;
constexpr double kRecentLatencyWeight = 0.2;
// A recent latency of this many times the baseline means a cold backend server.
constexpr double kColdLatencyRatio = 4.0;
constexpr std::uint32_t kMinLatencySamples = 50;

}  // namespace

ConcurrencyLimiter::ConcurrencyLimiter(ConcurrencyLimiterOptions options,
                                       Instant now)
    : options_(options), learned_limit_(options.slots), ramp_start_(now) {}

void ConcurrencyLimiter::Configure(const ConcurrencyLimiterOptions& options) {
  const bool grown = options.slots > options_.slots;
  options_ = options;
  learned_limit_ = grown ? std::max<double>(learned_limit_, 1)
                         : std::min<double>(learned_limit_, options.slots);
}

std::size_t ConcurrencyLimiter::PriorityOf(const LimiterCall& call) {
  if (call.depth > 1) return 0;
  if (call.depth == 1 || call.call_class == CallClass::kInternal) return 1;
  return call.call_class == CallClass::kBulk ? 3 : 2;
}

std::uint32_t ConcurrencyLimiter::limit(Instant now) const {
  if (!options_.enabled) return UINT32_MAX;
  double ramp_limit = options_.slots;
  const double warmup = std::chrono::duration<double>(options_.warmup).count();
  if (!answered_since_cold_) {
    ramp_limit = options_.cold_slots;
  } else if (warmup > 0) {
    const double passed =
        std::chrono::duration<double>(now - ramp_start_).count();
    const double span = static_cast<double>(options_.slots) -
                        static_cast<double>(options_.cold_slots);
    ramp_limit =
        options_.cold_slots + span * passed / (warmup * kRampDurationFactor);
  }
  const double bound = std::min(
      {ramp_limit, learned_limit_, static_cast<double>(options_.slots)});
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(bound));
}

LoadReport ConcurrencyLimiter::load(Instant now) const {
  LoadReport report;
  report.in_flight = in_flight_;
  report.queued = queued_;
  report.limit = std::min<std::uint32_t>(limit(now), 1U << 20);
  report.leaving = closed_;
  return report;
}

bool ConcurrencyLimiter::IsUnreachable(Instant now) const {
  return now < unreachable_until_;
}

bool ConcurrencyLimiter::WouldMissDeadline(const LimiterCall& call,
                                           Instant now) const {
  if (call.deadline <= now) return true;
  const double ahead = static_cast<double>(queued_) / limit(now);
  const auto wait =
      microseconds(static_cast<std::int64_t>(ahead * recent_latency_micros_));
  return now + wait > call.deadline;
}

void ConcurrencyLimiter::Refuse(const RequestId& id, Refusal refusal) {
  decisions_.push_back({id, false, refusal});
}

void ConcurrencyLimiter::Admit(const LimiterCall& call) {
  ++in_flight_;
  decisions_.push_back({call.id, true, Refusal::kNone});
}

void ConcurrencyLimiter::Submit(const LimiterCall& call, Instant now) {
  if (closed_) {
    Refuse(call.id, close_reason_);
    return;
  }
  if (!options_.enabled) {
    Admit(call);
    return;
  }
  if (IsUnreachable(now)) {
    Refuse(call.id, Refusal::kNoServer);
    return;
  }
  if (WouldMissDeadline(call, now)) {
    Refuse(call.id,
           call.deadline <= now ? Refusal::kDeadline : Refusal::kOverload);
    return;
  }
  priority_levels_.at(PriorityOf(call)).queues[call.workspace].push_back(call);
  ++queued_;
  AdmitQueued(now);
  if (queued_ > options_.slots * options_.max_queued_per_slot) {
    DropFromLongestQueue();
  }
}

// Drops a call of the workspace with the most queued calls in the least urgent
// level, so that a workspace with many calls can't crowd out the others.
void ConcurrencyLimiter::DropFromLongestQueue() {
  for (auto level = priority_levels_.rbegin(); level != priority_levels_.rend();
       ++level) {
    const auto longest =
        std::max_element(level->queues.begin(), level->queues.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.size() < b.second.size();
                         });
    if (longest == level->queues.end()) continue;
    Refuse(longest->second.back().id, Refusal::kOverload);
    longest->second.pop_back();
    --queued_;
    if (longest->second.empty()) level->queues.erase(longest);
    return;
  }
}

// Takes the next call from the most urgent level that has one, serving the
// workspaces of that level in round-robin order.
bool ConcurrencyLimiter::PopNext(LimiterCall* call) {
  for (PriorityLevel& level : priority_levels_) {
    if (level.queues.empty()) continue;
    auto next = level.queues.upper_bound(level.last_served);
    if (next == level.queues.end()) next = level.queues.begin();
    level.last_served = next->first;
    *call = std::move(next->second.front());
    next->second.pop_front();
    if (next->second.empty()) level.queues.erase(next);
    --queued_;
    return true;
  }
  return false;
}

void ConcurrencyLimiter::AdmitQueued(Instant now) {
  while (in_flight_ < limit(now)) {
    LimiterCall call;
    if (!PopNext(&call)) return;
    if (call.deadline <= now) {
      Refuse(call.id, Refusal::kDeadline);
      continue;
    }
    Admit(call);
    CheckInvariant(in_flight_ <= options_.slots, "gate_in_flight_within_slots");
  }
}

void ConcurrencyLimiter::OnColdStart(Instant now) {
  ramp_start_ = now;
  answered_since_cold_ = false;
  learned_limit_ = options_.slots;
  latency_samples_ = 0;
  recent_latency_micros_ = baseline_latency_micros_;
  ++cold_starts_;
}

void ConcurrencyLimiter::DecreaseLimit(Instant now) {
  // Decreases the limit only once for each round of calls: the calls that were
  // in flight together report the same overload.
  const auto round =
      microseconds(static_cast<std::int64_t>(recent_latency_micros_));
  if (last_decrease_ != kNever && now - last_decrease_ < round) return;
  last_decrease_ = now;
  const double used = std::min<double>(learned_limit_, limit(now));
  learned_limit_ =
      std::max<double>(options_.cold_slots, used * kDecreaseFactor);
}

void ConcurrencyLimiter::IncreaseLimit() {
  learned_limit_ =
      std::min<double>(options_.slots, learned_limit_ + 1.0 / learned_limit_);
}

void ConcurrencyLimiter::UpdateLatency(microseconds latency, Instant now) {
  const auto micros = static_cast<double>(latency.count());
  if (latency_samples_ == 0 && baseline_latency_micros_ == 0) {
    baseline_latency_micros_ = micros;
    recent_latency_micros_ = micros;
  }
  ++latency_samples_;
  recent_latency_micros_ +=
      kRecentLatencyWeight * (micros - recent_latency_micros_);
  if (latency_samples_ > kMinLatencySamples &&
      recent_latency_micros_ > kColdLatencyRatio * baseline_latency_micros_) {
    OnColdStart(now);
    return;
  }
  baseline_latency_micros_ +=
      kBaselineLatencyWeight * (micros - baseline_latency_micros_);
}

void ConcurrencyLimiter::OnFinished(const RequestId& /*id*/,
                                    BackendResult result, microseconds latency,
                                    const std::string& instance, Instant now) {
  if (!CheckInvariant(in_flight_ > 0, "gate_finished_call_was_admitted")) {
    return;
  }
  --in_flight_;
  if (!instance.empty() && instance != instance_) {
    if (!instance_.empty()) OnColdStart(now);
    instance_ = instance;
  }
  switch (result) {
    case BackendResult::kAnswered:
      if (!answered_since_cold_) {
        answered_since_cold_ = true;
        ramp_start_ = now;
      }
      UpdateLatency(latency, now);
      IncreaseLimit();
      break;
    case BackendResult::kShed:
    case BackendResult::kTimedOut:
      DecreaseLimit(now);
      break;
    case BackendResult::kBroken:
      OnColdStart(now);
      break;
    case BackendResult::kWithdrawn:
      break;
    case BackendResult::kNotConnected:
      OnColdStart(now);
      unreachable_until_ = now + options_.reconnect_delay;
      break;
  }
  AdmitQueued(now);
}

bool ConcurrencyLimiter::CancelQueued(const RequestId& id) {
  for (PriorityLevel& level : priority_levels_) {
    for (auto& [workspace, queue] : level.queues) {
      const auto erased = std::erase_if(
          queue, [&](const LimiterCall& call) { return call.id == id; });
      if (erased == 0) continue;
      --queued_;
      if (queue.empty()) level.queues.erase(workspace);
      return true;
    }
  }
  return false;
}

void ConcurrencyLimiter::OnTick(Instant now) {
  for (PriorityLevel& level : priority_levels_) {
    for (auto& [workspace, queue] : level.queues) {
      std::erase_if(queue, [&](const LimiterCall& call) {
        if (call.deadline > now) return false;
        Refuse(call.id, Refusal::kDeadline);
        --queued_;
        return true;
      });
    }
    std::erase_if(level.queues,
                  [](const auto& entry) { return entry.second.empty(); });
  }
  if (!closed_ && !IsUnreachable(now)) AdmitQueued(now);
}

void ConcurrencyLimiter::Close(Refusal reason) {
  closed_ = true;
  close_reason_ = reason;
  LimiterCall call;
  while (PopNext(&call)) Refuse(call.id, reason);
}

void ConcurrencyLimiter::Open() { closed_ = false; }

std::vector<LimiterDecision> ConcurrencyLimiter::TakeDecisions() {
  return std::exchange(decisions_, {});
}

}  // namespace wisteriarill
