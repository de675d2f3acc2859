/// \file
/// Health checks of the local backend server.
#include <utility>

#include "wisteriarill/mesh/backend_dispatcher.h"
#include "wisteriarill/mesh/backend_report_parser.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kHealthTimeout{250};
/// Time between requests for the cold time of a server.
constexpr milliseconds kColdTimeInterval{250};
/// Time between health checks of a server that accepts no connection.
constexpr milliseconds kHealthRetryInterval{150};

}  // namespace

void BackendDispatcher::StartHealthCheck() {
  if (checking_health_ || health_path_.empty()) return;
  checking_health_ = true;
  health_check_began_ = BootClock::now();
  admission_queue_.SetPaused(true);
  SpawnService(loop_, "health-check", [this] { return CheckHealth(); });
}

void BackendDispatcher::AskWhetherCold(Instant now) {
  const bool due = asked_whether_cold_ == kNever ||
                   now >= asked_whether_cold_ + kColdTimeInterval;
  if (!due || checking_health_ || health_path_.empty()) return;
  if (!admission_queue_.HasColdRate()) return;
  if (std::exchange(asking_whether_cold_, true)) return;
  asked_whether_cold_ = now;
  SpawnTask(loop_, "cold-time", [this] { return RequestColdTime(); });
}

Task<void> BackendDispatcher::RequestColdTime() {
  // Calls find out by themselves that the server accepts no connection.
  co_await RequestHealthPage();
  asking_whether_cold_ = false;
}

Task<void> BackendDispatcher::CheckHealth() {
  // GCC 12 miscompiles co_await in a loop condition.
  for (;;) {
    const bool reachable = co_await RequestHealthPage();
    if (reachable) break;
    if (!std::exchange(unreachable_, true)) {
      LogEvent(LogLevel::kWarning, "backend_lost").With("instance", instance_);
    }
    co_await SleepFor(kHealthRetryInterval);
  }
  if (std::exchange(unreachable_, false)) {
    LogEvent(LogLevel::kInfo, "backend_regained").With("instance", instance_);
  }
  checking_health_ = false;
  admission_queue_.SetPaused(false);
  AdmitWaiting(BootClock::now());
}

Task<bool> BackendDispatcher::RequestHealthPage() {
  const std::shared_ptr<ClientConnection> connection = pool_.CreateConnection();
  const Status connected = co_await connection->Connect(kHealthTimeout);
  if (!connected) co_return false;
  metrics_->Add("wisteria_health_questions");
  HttpRequest request;
  request.method = "GET";
  request.target = health_path_;
  request.fields.push_back({"Host", settings_.backend});
  const Status sent = co_await connection->Send(SerializeRequestHead(request),
                                                &request.body, kHealthTimeout);
  if (!sent) co_return true;
  const Result<HttpResponseHead> head =
      co_await connection->ReadHead(kHealthTimeout);
  // A server that accepts connections counts as reachable even if it does not
  // respond to the health check in time.
  if (head) OnHealthResponse(head.value());
  connection->Close();
  co_return true;
}

void BackendDispatcher::OnHealthResponse(const HttpResponseHead& head) {
  const BackendReport report = ParseBackendReport(head.fields, field_names_);
  const milliseconds cold = report.cold_remaining.value_or(milliseconds(0));
  const Instant now = BootClock::now();
  if (report.cold_remaining) admission_queue_.SetColdUntil(now + cold);
  const std::string* instance = FindField(head.fields, field_names_.instance);
  if (checking_health_ || cold.count() > 0) {
    LogEvent(LogLevel::kInfo, "backend_health")
        .With("status", head.status)
        .With("instance", instance == nullptr ? "" : *instance)
        .With("cold_ms", cold.count());
  }
  // Another server may have taken over the address. Accept only the instance
  // that the registry lists.
  if (instance == nullptr || *instance != registered_instance_) return;
  instance_ = *instance;
  OnHealthReport(report, now);
}

}  // namespace wisteriarill
