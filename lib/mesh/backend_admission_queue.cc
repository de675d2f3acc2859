#include "wisteriarill/mesh/backend_admission_queue.h"

#include <algorithm>

namespace wisteriarill {
namespace {

/// The window in which a cold server's requests are counted; a little over a
/// second, because requests spread on their way.
constexpr milliseconds kColdWindow{1100};
/// Turns of those that wait, and which of them go to the second and to the
/// last urgency in place of the first.
constexpr std::uint32_t kTurnsInRound = 5;
constexpr std::uint32_t kSecondsTurn = 2;
constexpr std::uint32_t kLastsTurn = 4;
/// Weight of a new sample in the smoothed service time.
constexpr int kSampleShare = 16;

}  // namespace

bool BackendAdmissionQueue::HasRoom(Instant now) {
  while (!starts_.empty() && starts_.front() + kColdWindow <= now) {
    starts_.pop_front();
  }
  if (paused_ || running_ >= options_.slots) return false;
  if (!IsCold(now) || options_.cold_rate <= 0) return true;
  return static_cast<double>(starts_.size() + 1) <= options_.cold_rate;
}

void BackendAdmissionQueue::Start(Instant now) {
  ++running_;
  starts_.push_back(now);
}

std::uint32_t BackendAdmissionQueue::WaitingBefore(std::int32_t urgency) const {
  std::size_t waiting = 0;
  for (const auto& [level, queue] : queues_) {
    if (level > urgency) break;
    waiting += queue.size();
  }
  return static_cast<std::uint32_t>(waiting);
}

microseconds BackendAdmissionQueue::ExpectedWait(std::int32_t urgency,
                                       Instant now) const {
  const std::uint32_t before = WaitingBefore(urgency);
  if (IsCold(now) && options_.cold_rate > 0 &&
      static_cast<double>(starts_.size()) >= options_.cold_rate) {
    const double turns = before + 1;
    return microseconds(
        static_cast<std::int64_t>(1e6 * turns / options_.cold_rate));
  }
  if (running_ < options_.slots && before == 0) return microseconds(0);
  return service_time_ * (before + 1) / std::max(1U, options_.slots);
}

BackendAdmissionDecision BackendAdmissionQueue::TryAdmit(BackendAdmissionTicket ticket, const BackendAdmissionRequest& offer,
                               Instant now) {
  const bool first = WaitingBefore(offer.urgency) == 0;
  if (first && HasRoom(now)) {
    Start(now);
    return BackendAdmissionDecision::kAdmit;
  }
  if (now + ExpectedWait(offer.urgency, now) > offer.patience) {
    return BackendAdmissionDecision::kReject;
  }
  queues_[offer.urgency].push_back({ticket, offer.patience});
  return BackendAdmissionDecision::kWait;
}

void BackendAdmissionQueue::OnCallFinished(microseconds ran, Instant now) {
  (void)now;
  if (running_ > 0) --running_;
  if (ran.count() <= 0) return;
  service_time_ += (ran - service_time_) / kSampleShare;
}

void BackendAdmissionQueue::CancelQueued(BackendAdmissionTicket ticket) {
  for (auto& [level, queue] : queues_) {
    std::erase_if(queue, [ticket](const Waiting& waiting) {
      return waiting.ticket == ticket;
    });
  }
}

// Returns the queue whose turn it is: mostly the most urgent one; the next and
// the least urgent one have a turn each in every round.
std::deque<BackendAdmissionQueue::Waiting>* BackendAdmissionQueue::NextQueue() {
  std::vector<std::deque<Waiting>*> waiting;
  for (auto& [level, queue] : queues_) {
    if (!queue.empty()) waiting.push_back(&queue);
  }
  if (waiting.empty()) return nullptr;
  const std::uint32_t turn = admissions_ % kTurnsInRound;
  if (turn == kSecondsTurn)
    return waiting[std::min<std::size_t>(1, waiting.size() - 1)];
  return turn == kLastsTurn ? waiting.back() : waiting.front();
}

std::vector<BackendAdmissionTicket> BackendAdmissionQueue::TakeAdmitted(Instant now) {
  for (auto& [level, queue] : queues_) {
    std::erase_if(queue, [now](const Waiting& waiting) {
      return waiting.patience < now;
    });
  }
  std::vector<BackendAdmissionTicket> admitted;
  while (HasRoom(now)) {
    std::deque<Waiting>* queue = NextQueue();
    if (queue == nullptr) break;
    Start(now);
    ++admissions_;
    admitted.push_back(queue->front().ticket);
    queue->pop_front();
  }
  return admitted;
}

BackendLoad BackendAdmissionQueue::load(Instant now) const {
  std::size_t waiting = 0;
  for (const auto& [level, queue] : queues_) waiting += queue.size();
  return {running_,       static_cast<std::uint32_t>(waiting),
          options_.slots, service_time_,
          IsCold(now),    microseconds(0)};
}

}  // namespace wisteriarill
