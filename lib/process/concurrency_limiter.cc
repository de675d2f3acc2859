#include "wisteriarill/process/concurrency_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

// The ramp is slower than the backend server's own warm-up.
constexpr double kRampSlack = 1.25;
constexpr double kLowerFactor = 0.7;
constexpr double kUsualWeight = 0.01;
constexpr double kRecentWeight = 0.2;
// Latency this many times the usual one means a cold backend server.
constexpr double kLatencyJump = 4.0;
constexpr std::uint32_t kLeastSamples = 50;

}  // namespace

Gate::Gate(GateOptions options, Instant now)
    : options_(options), ceiling_(options.slots), cold_since_(now) {}

void Gate::Configure(const GateOptions& options) {
  const bool grown = options.slots > options_.slots;
  options_ = options;
  ceiling_ = grown ? std::max<double>(ceiling_, 1)
                   : std::min<double>(ceiling_, options.slots);
}

std::size_t Gate::BandOf(const GateCall& call) {
  if (call.depth > 1) return 0;
  if (call.depth == 1 || call.call_class == CallClass::kInternal) return 1;
  return call.call_class == CallClass::kBulk ? 3 : 2;
}

std::uint32_t Gate::limit(Instant now) const {
  if (!options_.enabled) return UINT32_MAX;
  double ramp = options_.slots;
  const double warmup = std::chrono::duration<double>(options_.warmup).count();
  if (!answered_since_cold_) {
    ramp = options_.cold_slots;
  } else if (warmup > 0) {
    const double passed =
        std::chrono::duration<double>(now - cold_since_).count();
    const double span = static_cast<double>(options_.slots) -
                        static_cast<double>(options_.cold_slots);
    ramp = options_.cold_slots + span * passed / (warmup * kRampSlack);
  }
  const double bound =
      std::min({ramp, ceiling_, static_cast<double>(options_.slots)});
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(bound));
}

LoadReport Gate::load(Instant now) const {
  LoadReport report;
  report.in_flight = in_flight_;
  report.queued = queued_;
  report.limit = std::min<std::uint32_t>(limit(now), 1U << 20);
  report.leaving = closed_;
  return report;
}

bool Gate::IsDown(Instant now) const { return now < down_until_; }

bool Gate::WouldMissDeadline(const GateCall& call, Instant now) const {
  if (call.deadline <= now) return true;
  const double ahead = static_cast<double>(queued_) / limit(now);
  const auto wait =
      microseconds(static_cast<std::int64_t>(ahead * recent_micros_));
  return now + wait > call.deadline;
}

void Gate::Refuse(const RequestId& id, Refusal refusal) {
  actions_.push_back({id, false, refusal});
}

void Gate::Admit(const GateCall& call) {
  ++in_flight_;
  actions_.push_back({call.id, true, Refusal::kNone});
}

void Gate::OnOffer(const GateCall& call, Instant now) {
  if (closed_) {
    Refuse(call.id, close_reason_);
    return;
  }
  if (!options_.enabled) {
    Admit(call);
    return;
  }
  if (IsDown(now)) {
    Refuse(call.id, Refusal::kNoServer);
    return;
  }
  if (WouldMissDeadline(call, now)) {
    Refuse(call.id,
           call.deadline <= now ? Refusal::kDeadline : Refusal::kOverload);
    return;
  }
  bands_.at(BandOf(call)).queues[call.workspace].push_back(call);
  ++queued_;
  Pump(now);
  if (queued_ > options_.slots * options_.queue_per_slot) {
    DropFromLongestQueue();
  }
}

// The workspace with the most waiting calls in the least urgent band gives
// way, so that a noisy one can't crowd out the others.
void Gate::DropFromLongestQueue() {
  for (auto band = bands_.rbegin(); band != bands_.rend(); ++band) {
    const auto longest =
        std::max_element(band->queues.begin(), band->queues.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.size() < b.second.size();
                         });
    if (longest == band->queues.end()) continue;
    Refuse(longest->second.back().id, Refusal::kOverload);
    longest->second.pop_back();
    --queued_;
    if (longest->second.empty()) band->queues.erase(longest);
    return;
  }
}

// Takes the next call: the most urgent band, its workspaces in turn.
bool Gate::PopNext(GateCall* call) {
  for (Band& band : bands_) {
    if (band.queues.empty()) continue;
    auto next = band.queues.upper_bound(band.last_served);
    if (next == band.queues.end()) next = band.queues.begin();
    band.last_served = next->first;
    *call = std::move(next->second.front());
    next->second.pop_front();
    if (next->second.empty()) band.queues.erase(next);
    --queued_;
    return true;
  }
  return false;
}

void Gate::Pump(Instant now) {
  while (in_flight_ < limit(now)) {
    GateCall call;
    if (!PopNext(&call)) return;
    if (call.deadline <= now) {
      Refuse(call.id, Refusal::kDeadline);
      continue;
    }
    Admit(call);
    CheckInvariant(in_flight_ <= options_.slots, "gate_in_flight_within_slots");
  }
}

void Gate::NoteCold(Instant now) {
  cold_since_ = now;
  answered_since_cold_ = false;
  ceiling_ = options_.slots;
  samples_ = 0;
  recent_micros_ = usual_micros_;
  ++cold_starts_;
}

void Gate::Lower(Instant now) {
  // One lowering for each round of answers.
  const auto round = microseconds(static_cast<std::int64_t>(recent_micros_));
  if (lowered_at_ != kNever && now - lowered_at_ < round) return;
  lowered_at_ = now;
  const double used = std::min<double>(ceiling_, limit(now));
  ceiling_ = std::max<double>(options_.cold_slots, used * kLowerFactor);
}

void Gate::Raise() {
  ceiling_ = std::min<double>(options_.slots, ceiling_ + 1.0 / ceiling_);
}

void Gate::NoteLatency(microseconds latency, Instant now) {
  const auto micros = static_cast<double>(latency.count());
  if (samples_ == 0 && usual_micros_ == 0) {
    usual_micros_ = micros;
    recent_micros_ = micros;
  }
  ++samples_;
  recent_micros_ += kRecentWeight * (micros - recent_micros_);
  if (samples_ > kLeastSamples &&
      recent_micros_ > kLatencyJump * usual_micros_) {
    NoteCold(now);
    return;
  }
  usual_micros_ += kUsualWeight * (micros - usual_micros_);
}

void Gate::OnFinished(const RequestId& /*id*/, BackendResult result,
                      microseconds latency, const std::string& instance,
                      Instant now) {
  if (!CheckInvariant(in_flight_ > 0, "gate_finished_call_was_admitted")) {
    return;
  }
  --in_flight_;
  if (!instance.empty() && instance != instance_) {
    if (!instance_.empty()) NoteCold(now);
    instance_ = instance;
  }
  switch (result) {
    case BackendResult::kAnswered:
      if (!answered_since_cold_) {
        answered_since_cold_ = true;
        cold_since_ = now;
      }
      NoteLatency(latency, now);
      Raise();
      break;
    case BackendResult::kShed:
    case BackendResult::kTimedOut:
      Lower(now);
      break;
    case BackendResult::kBroken:
      NoteCold(now);
      break;
    case BackendResult::kWithdrawn:
      break;
    case BackendResult::kNotConnected:
      NoteCold(now);
      down_until_ = now + options_.retry_pause;
      break;
  }
  Pump(now);
}

bool Gate::OnCancelled(const RequestId& id) {
  for (Band& band : bands_) {
    for (auto& [workspace, queue] : band.queues) {
      const auto erased = std::erase_if(
          queue, [&](const GateCall& call) { return call.id == id; });
      if (erased == 0) continue;
      --queued_;
      if (queue.empty()) band.queues.erase(workspace);
      return true;
    }
  }
  return false;
}

void Gate::OnTick(Instant now) {
  for (Band& band : bands_) {
    for (auto& [workspace, queue] : band.queues) {
      std::erase_if(queue, [&](const GateCall& call) {
        if (call.deadline > now) return false;
        Refuse(call.id, Refusal::kDeadline);
        --queued_;
        return true;
      });
    }
    std::erase_if(band.queues,
                  [](const auto& entry) { return entry.second.empty(); });
  }
  if (!closed_ && !IsDown(now)) Pump(now);
}

void Gate::Close(Refusal reason) {
  closed_ = true;
  close_reason_ = reason;
  GateCall call;
  while (PopNext(&call)) Refuse(call.id, reason);
}

void Gate::Open() { closed_ = false; }

std::vector<GateAction> Gate::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace wisteriarill
