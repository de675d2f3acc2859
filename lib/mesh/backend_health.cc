/// \file
/// Health checks of the local backend server.
#include <algorithm>
#include <utility>

#include "wisteriarill/mesh/backend_dispatcher.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr milliseconds kHealthTimeout{250};
/// Time between health checks of a server that accepts no connection.
constexpr milliseconds kHealthRetryInterval{150};
/// Running, waiting, slots; then follows how long work takes, in percent.
constexpr int kFiguresBeforeWorkTime = 3;
constexpr double kPercent = 100;
/// Maximum of the time for which a health page may say that a server is cold.
constexpr std::uint64_t kMaxColdMs = 600'000;

}  // namespace

void BackendDispatcher::StartHealthCheck() {
  if (checking_health_ || health_path_.empty()) return;
  checking_health_ = true;
  health_check_began_ = BootClock::now();
  admission_queue_.SetPaused(true);
  SpawnService(loop_, "health-check", [this] { return CheckHealth(); });
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

void BackendDispatcher::OnReportedLoad(const HttpFields& fields) {
  const std::string* load = FindField(fields, field_names_.load);
  if (load == nullptr) return;
  std::string_view rest = *load;
  for (int i = 0; i < kFiguresBeforeWorkTime; ++i) {
    const std::size_t comma = rest.find(',');
    if (comma == std::string_view::npos) return;
    rest.remove_prefix(comma + 1);
  }
  const auto percent = ParseDecimal(rest);
  if (!percent) return;
  admission_queue_.OnWorkFactor(static_cast<double>(*percent) / kPercent,
                                BootClock::now());
}

void BackendDispatcher::OnHealthResponse(const HttpResponseHead& head) {
  OnReportedLoad(head.fields);
  const std::string* cold = FindField(head.fields, field_names_.cold_remaining);
  const std::uint64_t cold_ms =
      cold == nullptr ? 0
                      : std::min(ParseDecimal(*cold).value_or(0), kMaxColdMs);
  const Instant now = BootClock::now();
  if (cold != nullptr)
    admission_queue_.SetColdUntil(now + milliseconds(cold_ms));
  const std::string* instance = FindField(head.fields, field_names_.instance);
  LogEvent(LogLevel::kInfo, "backend_health")
      .With("status", head.status)
      .With("instance", instance == nullptr ? "" : *instance)
      .With("cold_ms", cold_ms);
  // Another server may have taken over the address. Accept only the instance
  // that the registry lists.
  if (instance != nullptr && *instance == registered_instance_)
    instance_ = *instance;
}

}  // namespace wisteriarill
