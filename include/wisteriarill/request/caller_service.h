/// \file
/// The HTTP service that accepts requests from callers and nested calls from
/// this node's own backend server, authorizes them, and runs them as calls.
#ifndef WISTERIARILL_REQUEST_CALLER_SERVICE_H_
#define WISTERIARILL_REQUEST_CALLER_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "wisteriarill/connection/http_listener.h"
#include "wisteriarill/connection/peer_hub.h"
#include "wisteriarill/process/admission_controller.h"
#include "wisteriarill/process/backend_executor.h"
#include "wisteriarill/process/metrics.h"
#include "wisteriarill/process/node_settings.h"
#include "wisteriarill/version/config_manager.h"

namespace wisteriarill {

/// The components and the state of the node that request handlers use. All
/// pointers must outlive the service.
struct CallerContext {
  const NodeSettings* settings = nullptr;
  ConfigManager* config = nullptr;
  AdmissionController* admission = nullptr;
  BackendExecutor* backend = nullptr;
  PeerHub* hub = nullptr;
  Metrics* metrics = nullptr;
  InstanceId instance;
  std::atomic<std::uint64_t> last_sequence{0};
  std::atomic<bool> leaving{false};               ///< The node is draining.
  std::atomic<std::uint64_t> active_requests{0};  ///< Requests being served.
  /// Time at which the last request arrived.
  std::atomic<Instant> last_request_at{Instant{}};

  /// Returns a new request id of this instance. Thread-safe.
  RequestId NextId() { return {instance, ++last_sequence}; }
};

/// Returns an HTTP listener that serves callers on the address
/// `caller_listen`. `context` must outlive it.
std::unique_ptr<HttpListener> MakeCallerService(CallerContext* context);

}  // namespace wisteriarill

#endif  // WISTERIARILL_REQUEST_CALLER_SERVICE_H_
