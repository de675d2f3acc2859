/// \file
/// The caller service: HTTP from callers and from this node's own backend
/// server, checked and turned into calls.
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

/// What requests need of the process. All outlive the service.
struct CallerContext {
  const NodeSettings* settings = nullptr;
  ConfigManager* config = nullptr;
  AdmissionController* admission = nullptr;
  BackendExecutor* backend = nullptr;
  PeerHub* hub = nullptr;
  Metrics* metrics = nullptr;
  InstanceId instance;
  std::atomic<std::uint64_t> last_sequence{0};
  std::atomic<bool> leaving{false};
  std::atomic<std::uint64_t> active{0};  ///< Requests being served.
  std::atomic<Instant> last_request{Instant{}};

  RequestId NextId() { return {instance, ++last_sequence}; }
};

/// Returns the listener that serves callers; `context` outlives it.
std::unique_ptr<HttpListener> MakeCallerService(CallerContext* context);

}  // namespace wisteriarill

#endif  // WISTERIARILL_REQUEST_CALLER_SERVICE_H_
