/// \file
/// The state of a simulated platform's configuration service: values with
/// revisions, a limit on reads per second, and failure modes.
#ifndef WISTERIARILL_STANDIN_PLATFORM_STATE_H_
#define WISTERIARILL_STANDIN_PLATFORM_STATE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Normal operation or a failure mode of the platform.
enum class PlatformMode {
  kNormal,
  kDown,          ///< Responds with 503.
  kUnresponsive,  ///< Responds with 503 after 5 s.
  kStale,         ///< Serves the values held when the mode was set.
  kGarbage,       ///< Serves random bytes.
};

/// Returns the mode named `name`; nothing if there is none.
std::optional<PlatformMode> ParsePlatformMode(const std::string& name);

/// The response to a read.
struct PlatformResponse {
  int status = 404;
  std::uint64_t revision = 0;
  milliseconds age{};  ///< Time since the value was published.
  std::string bytes;
};

/// Counters of the simulated platform since its start.
struct PlatformStats {
  std::uint64_t reads = 0;
  std::uint64_t refused = 0;                ///< Reads over the limit.
  std::uint64_t peak_reads_per_second = 0;  ///< Reads in the busiest second.
};

/// The thread-safe state of a simulated platform. Reads beyond
/// `reads_per_second` within a second are refused with status 429.
class PlatformState {
 public:
  explicit PlatformState(std::uint32_t reads_per_second)
      : reads_per_second_(reads_per_second) {}

  /// Publishes a value. Its revision starts at one and grows by one with each
  /// publication.
  void Publish(const std::string& key, std::string bytes);
  /// Reads a value, and waits up to `wait` for a revision above `after`. The
  /// status is 204 if there is no such revision, and 404 if there is no value.
  PlatformResponse Read(const std::string& key, std::uint64_t after,
                        milliseconds wait);
  void SetMode(PlatformMode mode);
  PlatformStats stats();

 private:
  struct Value {
    std::uint64_t revision = 0;
    Instant published;
    std::string bytes;
  };
  using Values = std::map<std::string, Value>;

  /// Counts a read; returns whether it is within the limit.
  bool CountRead(Instant now);
  PlatformResponse ReadNow(const std::string& key, std::uint64_t after) const;

  const std::uint32_t reads_per_second_;
  std::mutex mutex_;
  std::condition_variable changed_;
  PlatformMode mode_ = PlatformMode::kNormal;
  Values values_;
  Values stale_values_;
  PlatformStats stats_;
  std::int64_t current_second_ = 0;
  std::uint64_t reads_in_second_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_PLATFORM_STATE_H_
