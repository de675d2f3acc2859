#include "wisteriarill/request/call_state_table.h"

#include "wisteriarill/process/invariant.h"

namespace wisteriarill {

bool CallStateTable::Add(const RequestId& id, Instant deadline, Instant now) {
  const bool added = entries_.emplace(id, CallState::kWaiting).second;
  if (added) expiries_.push({std::max(deadline, now) + retention_, id});
  return added;
}

bool CallStateTable::HandOver(const RequestId& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return false;
  if (found->second != CallState::kWaiting) return false;
  found->second = CallState::kHandedOver;
  return true;
}

void CallStateTable::ConfirmNotRun(const RequestId& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  CheckInvariant(found->second != CallState::kFinished,
                 "finished_call_is_not_proved_not_run", ToString(id));
  found->second = CallState::kNotRun;
}

void CallStateTable::Finish(const RequestId& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  if (!CheckInvariant(found->second == CallState::kHandedOver,
                      "finished_call_was_handed_over", ToString(id))) {
    return;
  }
  found->second = CallState::kFinished;
}

bool CallStateTable::DeclareNotRun(const RequestId& id, Instant now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    Add(id, now, now);
    entries_[id] = CallState::kNotRun;
    return true;
  }
  const CallState state = found->second;
  if (state != CallState::kWaiting && state != CallState::kNotRun) {
    return false;
  }
  found->second = CallState::kNotRun;
  return true;
}

std::optional<CallState> CallStateTable::Find(const RequestId& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return std::nullopt;
  return found->second;
}

void CallStateTable::OnTick(Instant now) {
  while (!expiries_.empty() && expiries_.top().time <= now) {
    entries_.erase(expiries_.top().id);
    expiries_.pop();
  }
}

}  // namespace wisteriarill
