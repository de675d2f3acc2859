#include "wisteriarill/admission/backend_admission_queue.h"

#include <algorithm>
#include <limits>

namespace wisteriarill {
namespace {

/// Window in which the requests to a cold server are counted. It is a little
/// longer than a second, because the delay on the way to the server varies
/// between requests.
constexpr milliseconds kColdWindow{1100};
/// Admissions from the queues are made in rounds of this many turns. One turn
/// goes to the second most urgent queue and one to the least urgent queue; the
/// others go to the most urgent one.
constexpr std::uint32_t kTurnsPerRound = 5;
constexpr std::uint32_t kSecondQueueTurn = 2;
constexpr std::uint32_t kLastQueueTurn = 4;
/// A wait for the rate of a server that costs no more than trying another one.
constexpr milliseconds kShortRateWait{20};
/// Time by which the turn of a call that waits for the rate may come late. A
/// call without it would be refused after all.
constexpr milliseconds kLateTurn{20};

}  // namespace

bool BackendAdmissionQueue::HasColdRate() const {
  if (options_.cold_rate <= 0) return false;
  return !rate_limiter_.limited() || rate_limiter_.rate() > options_.cold_rate;
}

bool BackendAdmissionQueue::HasCapacity(Instant now) {
  while (!recent_starts_.empty() &&
         recent_starts_.front() + kColdWindow <= now) {
    recent_starts_.pop_front();
  }
  if (paused_ || running_ >= options_.slots) return false;
  if (!rate_limiter_.MaySend(now)) return false;
  if (!IsCold(now) || options_.cold_rate <= 0) return true;
  return static_cast<double>(recent_starts_.size() + 1) <= options_.cold_rate;
}

void BackendAdmissionQueue::Start(Instant now) {
  ++running_;
  recent_starts_.push_back(now);
  rate_limiter_.OnSent(now);
}

std::size_t BackendAdmissionQueue::waiting() const {
  std::size_t waiting = 0;
  for (const auto& [level, queue] : queues_) waiting += queue.size();
  return waiting;
}

std::uint32_t BackendAdmissionQueue::QueuedAhead(std::int32_t urgency) const {
  std::size_t waiting = 0;
  for (const auto& [level, queue] : queues_) {
    if (level > urgency) break;
    waiting += queue.size();
  }
  return static_cast<std::uint32_t>(waiting);
}

microseconds BackendAdmissionQueue::WaitBehind(std::uint32_t before,
                                               Instant now) const {
  return std::max(SlotWaitBehind(before, now),
                  rate_limiter_.WaitBehind(before, now));
}

microseconds BackendAdmissionQueue::SlotWaitBehind(std::uint32_t before,
                                                   Instant now) const {
  const bool cold = IsCold(now) && options_.cold_rate > 0;
  if (cold &&
      static_cast<double>(recent_starts_.size()) >= options_.cold_rate) {
    const double turns = before + 1;
    return microseconds(
        static_cast<std::int64_t>(1e6 * turns / options_.cold_rate));
  }
  if (running_ < options_.slots && before == 0) return microseconds(0);
  return service_times_.Expected(now) * (before + 1) /
         std::max(1U, options_.slots);
}

microseconds BackendAdmissionQueue::ExpectedWait(std::int32_t urgency,
                                                 Instant now) const {
  return WaitBehind(QueuedAhead(urgency), now);
}

bool BackendAdmissionQueue::CanStartInTime(
    const BackendAdmissionRequest& request, std::uint32_t before,
    Instant now) const {
  const microseconds rate_wait = rate_limiter_.WaitBehind(before, now);
  if (rate_wait > kShortRateWait && !request.waits_for_rate) return false;
  const bool waits_for_rate = rate_wait.count() > 0;
  if (waits_for_rate && now + rate_wait + kLateTurn > request.start_deadline)
    return false;
  return now + WaitBehind(before, now) <= request.start_deadline;
}

BackendAdmissionDecision BackendAdmissionQueue::TryAdmit(
    BackendAdmissionTicket ticket, const BackendAdmissionRequest& request,
    Instant now) {
  const bool first = QueuedAhead(request.urgency) == 0;
  if (first && HasCapacity(now)) {
    Start(now);
    return BackendAdmissionDecision::kAdmit;
  }
  if (!CanStartInTime(request, QueuedAhead(request.urgency), now))
    return BackendAdmissionDecision::kReject;
  queues_[request.urgency].push_back({ticket, request});
  return BackendAdmissionDecision::kQueue;
}

void BackendAdmissionQueue::OnCallFinished(microseconds service_time,
                                           Instant now,
                                           const std::string& route) {
  if (running_ > 0) --running_;
  service_times_.OnServiceTime(route, service_time, now);
}

void BackendAdmissionQueue::CancelQueued(BackendAdmissionTicket ticket) {
  for (auto& [level, queue] : queues_) {
    std::erase_if(queue, [ticket](const QueuedCall& call) {
      return call.ticket == ticket;
    });
  }
}

// Returns the nonempty queue whose turn it is, or null. The second most urgent
// and the least urgent queue have one turn each in every round, so that
// they don't starve under overload.
std::deque<BackendAdmissionQueue::QueuedCall>*
BackendAdmissionQueue::NextQueue() {
  std::vector<std::deque<QueuedCall>*> waiting;
  for (auto& [level, queue] : queues_) {
    if (!queue.empty()) waiting.push_back(&queue);
  }
  if (waiting.empty()) return nullptr;
  const std::uint32_t turn = queue_admissions_ % kTurnsPerRound;
  if (turn == kSecondQueueTurn)
    return waiting[std::min<std::size_t>(1, waiting.size() - 1)];
  return turn == kLastQueueTurn ? waiting.back() : waiting.front();
}

std::vector<BackendAdmissionTicket> BackendAdmissionQueue::TakeAdmitted(
    Instant now) {
  for (auto& [level, queue] : queues_) {
    std::erase_if(queue, [now](const QueuedCall& call) {
      return call.request.start_deadline < now;
    });
  }
  std::vector<BackendAdmissionTicket> admitted;
  while (HasCapacity(now)) {
    std::deque<QueuedCall>* queue = NextQueue();
    if (queue == nullptr) break;
    Start(now);
    ++queue_admissions_;
    admitted.push_back(queue->front().ticket);
    queue->pop_front();
  }
  return admitted;
}

std::vector<BackendAdmissionTicket> BackendAdmissionQueue::TakeHopeless(
    Instant now) {
  std::vector<BackendAdmissionTicket> hopeless;
  std::uint32_t before = 0;
  for (auto& [level, queue] : queues_) {
    std::erase_if(queue, [&](const QueuedCall& call) {
      const bool in_time = CanStartInTime(call.request, before, now);
      if (in_time) {
        ++before;
      } else {
        hopeless.push_back(call.ticket);
      }
      return !in_time;
    });
  }
  return hopeless;
}

BackendLoad BackendAdmissionQueue::load(Instant now) const {
  BackendLoad load;
  load.running = running_;
  load.waiting = static_cast<std::uint32_t>(waiting());
  load.slots = options_.slots;
  load.service_time = service_times_.Expected(now);
  load.cold = IsCold(now);
  load.rate_wait = rate_limiter_.WaitBehind(load.waiting, now);
  load.rate_interval = rate_limiter_.interval();
  if (!options_.reports_waits) return load;
  const microseconds first_wait = WaitBehind(0, now);
  if (first_wait.count() > 0) {
    load.waits.push_back(
        {std::numeric_limits<std::int32_t>::min(), first_wait});
  }
  for (const auto& [level, queue] : queues_) {
    if (!queue.empty()) load.waits.push_back({level, ExpectedWait(level, now)});
  }
  return load;
}

}  // namespace wisteriarill
