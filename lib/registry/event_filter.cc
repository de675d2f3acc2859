#include "wisteriarill/registry/event_filter.h"

#include <algorithm>

namespace wisteriarill {

bool EventFilter::Accept(const ToldEvent& event, Instant now) {
  if (event.source == 0 || event.age >= kUnknownAge) return false;
  const auto known =
      std::find_if(sources_.begin(), sources_.end(),
                   [&event](const auto& s) { return s.id == event.source; });
  if (known != sources_.end()) {
    if (event.sequence <= known->sequence) return false;
    *known = {event.source, event.sequence, now};
    return true;
  }
  if (sources_.size() < kMaxSources) {
    sources_.push_back({event.source, event.sequence, now});
    return true;
  }
  const auto oldest = std::min_element(sources_.begin(), sources_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.accepted_at < b.accepted_at;
                                       });
  *oldest = {event.source, event.sequence, now};
  return true;
}

}  // namespace wisteriarill
