/// \file
/// The operators' address of a node: /status, /metrics, /healthz, /readyz and
/// /explain.
#ifndef WISTERIARILL_PROCESS_OPERATOR_SERVICE_H_
#define WISTERIARILL_PROCESS_OPERATOR_SERVICE_H_

#include <functional>
#include <memory>
#include <string>

#include "wisteriarill/connection/http_listener.h"

namespace wisteriarill {

/// What the service shows; each function is thread-safe.
struct OperatorPages {
  std::function<std::string()> status;   ///< A JSON document.
  std::function<std::string()> metrics;  ///< Text.
  std::function<bool()> ready;
  /// Explains a request by method, host and path; a JSON document.
  std::function<std::string(const std::string& method, const std::string& host,
                            const std::string& path)>
      explain;
};

/// Returns the listener for operators on `listen`.
std::unique_ptr<HttpListener> MakeOperatorService(const std::string& listen,
                                                  OperatorPages pages);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_OPERATOR_SERVICE_H_
