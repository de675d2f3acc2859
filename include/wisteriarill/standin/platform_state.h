/// \file
/// The stand-in for the platform's configuration service: values with
/// revisions, a read budget, and the ways in which it fails.
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

/// How the platform behaves.
enum class PlatformMode {
  kNormal,
  kDown,     ///< Answers 503.
  kSilent,   ///< Answers nothing for a long time.
  kStale,    ///< Serves what it held when it became stale.
  kGarbage,  ///< Serves random bytes.
};

/// Parses a mode's name; nothing for other texts.
std::optional<PlatformMode> ParsePlatformMode(const std::string& name);

/// A value as a reader sees it.
struct PlatformResponse {
  int status = 404;
  std::uint64_t revision = 0;
  milliseconds age{};
  std::string bytes;
};

struct PlatformStats {
  std::uint64_t reads = 0;
  std::uint64_t refused = 0;                ///< Over the budget.
  std::uint64_t peak_reads_per_second = 0;  ///< Reads in the busiest second.
};

/// Thread-safe.
class PlatformState {
 public:
  explicit PlatformState(std::uint32_t reads_per_second)
      : reads_per_second_(reads_per_second) {}

  /// Publishes a value; its revision counts up from one.
  void Publish(const std::string& key, std::string bytes);
  /// Reads a value, waiting up to `wait` for a revision above `after`.
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

  bool CountRead(Instant now);
  PlatformResponse ReadNow(const std::string& key, std::uint64_t after) const;

  const std::uint32_t reads_per_second_;
  std::mutex mutex_;
  std::condition_variable changed_;
  PlatformMode mode_ = PlatformMode::kNormal;
  Values values_;
  Values stale_values_;
  PlatformStats stats_;
  std::int64_t second_ = 0;
  std::uint64_t in_second_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_PLATFORM_STATE_H_
