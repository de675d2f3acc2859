/// \file
/// The operators' address of a node: /status, /metrics, /healthz, /readyz and
/// /explain.
#ifndef WISTERIARILL_PROCESS_OPERATOR_SERVICE_H_
#define WISTERIARILL_PROCESS_OPERATOR_SERVICE_H_

#include <functional>
#include <memory>
#include <string>

#include "wisteriarill/process/error.h"

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

class OperatorService {
 public:
  OperatorService(std::string listen, OperatorPages pages);
  ~OperatorService();
  OperatorService(const OperatorService&) = delete;
  OperatorService& operator=(const OperatorService&) = delete;

  Status Start();
  std::string address() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_OPERATOR_SERVICE_H_
