/// \file
/// The HTTP service for operators of a node: /status, /metrics, /healthz,
/// /readyz and /explain.
#ifndef WISTERIARILL_PROCESS_OPERATOR_SERVICE_H_
#define WISTERIARILL_PROCESS_OPERATOR_SERVICE_H_

#include <functional>
#include <memory>
#include <string>

#include "wisteriarill/connection/http_listener.h"

namespace wisteriarill {

/// The content of the pages. Each function must be thread-safe.
struct OperatorPages {
  std::function<std::string()> status;   ///< A JSON document.
  std::function<std::string()> metrics;  ///< Plain text.
  /// Whether the node can take traffic; /readyz returns 503 if not.
  std::function<bool()> ready;
  /// Explains how the configuration treats a request with the given method,
  /// host and path; a JSON document.
  std::function<std::string(const std::string& method, const std::string& host,
                            const std::string& path)>
      explain;
};

/// Returns an HTTP listener that serves `pages` on the address `listen`
/// (IP:port).
std::unique_ptr<HttpListener> MakeOperatorService(const std::string& listen,
                                                  OperatorPages pages);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_OPERATOR_SERVICE_H_
