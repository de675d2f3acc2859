/// \file
/// Events that nodes tell each other of, and how each counts once. The failure
/// it answers: nodes tell the age of an event, which loses its time in flight
/// with each hop, so that the same event, told again and again, hardly grows
/// old.
#ifndef WISTERIARILL_REGISTRY_EVENT_FILTER_H_
#define WISTERIARILL_REGISTRY_EVENT_FILTER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Age of information that a node doesn't have.
inline constexpr milliseconds kUnknownAge = std::chrono::hours(1);

/// An event at some node, as another node tells of it.
struct ToldEvent {
  /// Process at which it happened, a number that it drew; 0: there is no event.
  std::uint32_t source = 0;
  std::uint32_t sequence = 0;  ///< Later events of a source have greater ones.
  milliseconds age = kUnknownAge;
};

/// Tells events that are heard of for the first time from echoes. Does no I/O,
/// reads no clock, and is used from one thread.
class EventFilter {
 public:
  /// Number of sources that are told apart. Few nodes read the store.
  static constexpr std::size_t kMaxSources = 64;

  /// Returns whether `event` is newer than all known ones of its source, and
  /// records it.
  bool Accept(const ToldEvent& event, Instant now);

 private:
  struct Source {
    std::uint32_t id = 0;
    std::uint32_t sequence = 0;
    Instant accepted_at = kNever;
  };

  std::vector<Source> sources_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REGISTRY_EVENT_FILTER_H_
