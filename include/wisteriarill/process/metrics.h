/// \file
/// Figures of a process: counters, and latency by workspace and class.
#ifndef WISTERIARILL_PROCESS_METRICS_H_
#define WISTERIARILL_PROCESS_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "wisteriarill/process/time.h"
#include "wisteriarill/request/outcome.h"
#include "wisteriarill/version/deployment.h"

namespace wisteriarill {

/// Returns the name of a class in metrics and logs.
std::string_view ToString(CallClass call_class);

/// What a call ended as, for counting.
struct CallRecord {
  std::string workspace;  ///< Empty on routes open to all.
  CallClass call_class = CallClass::kInteractive;
  Outcome outcome = Outcome::kUnknown;
  Refusal refusal = Refusal::kNone;
  microseconds latency{};
};

/// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Counts one ended call and its latency.
  void RecordCall(const CallRecord& record);
  /// Adds to a plain counter.
  void Add(std::string_view counter, std::uint64_t amount = 1);
  /// Sets a gauge.
  void Set(std::string_view gauge, double value);
  /// Returns all figures, one `name{labels} value` a line.
  std::string Render() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_METRICS_H_
