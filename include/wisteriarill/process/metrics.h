/// \file
/// Metrics of a process: counters, gauges, and call latency by workspace and
/// call class.
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

/// Returns the name of a call class in metrics and logs.
std::string_view ToString(CallClass call_class);

/// The outcome and latency of one finished call.
struct CallRecord {
  std::string workspace;  ///< Empty on routes that need no key.
  CallClass call_class = CallClass::kInteractive;
  Outcome outcome = Outcome::kUnknown;
  Refusal refusal = Refusal::kNone;
  microseconds latency{};
};

/// Collects the metrics of a process and renders them for /metrics.
/// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Counts one finished call. Only calls with Outcome::kDone contribute to the
  /// latency.
  void RecordCall(const CallRecord& record);
  /// Adds `amount` to the counter wisteria_<counter>_total.
  void Add(std::string_view counter, std::uint64_t amount = 1);
  /// Sets the gauge wisteria_<gauge>.
  void Set(std::string_view gauge, double value);
  /// Returns all metrics, one `name{labels} value` per line.
  std::string Render() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_METRICS_H_
