/// \file
/// What a backend server says of itself in one response. Every response head of
/// a server is read into this type, and every decision about the server reads
/// it from there.
#ifndef WISTERIARILL_ADMISSION_BACKEND_REPORT_H_
#define WISTERIARILL_ADMISSION_BACKEND_REPORT_H_

#include <optional>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

struct BackendReport {
  /// Requests per second that the server takes from all nodes together; unset:
  /// it names no limit.
  std::optional<double> rate_limit;
  /// The response names a limit that can't be read.
  bool malformed_rate_limit = false;
  /// The server is about to end and takes no new requests.
  bool leaving = false;
  /// Work takes this many times as long as usual.
  std::optional<double> work_factor;
  /// Remaining time for which the server is cold.
  std::optional<milliseconds> cold_remaining;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_ADMISSION_BACKEND_REPORT_H_
