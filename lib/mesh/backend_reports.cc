/// \file
/// Takes over what the local backend server says of itself in its responses.
#include "wisteriarill/mesh/backend_dispatcher.h"
#include "wisteriarill/mesh/backend_report_parser.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

std::string FormatLimit(const std::optional<double>& limit) {
  return limit ? std::to_string(*limit) : "none";
}

}  // namespace

void BackendDispatcher::OnCallReport(const HttpResponseHead& head,
                                     const MeshCall& call, Instant sent) {
  const BackendReport report = ParseBackendReport(head.fields, field_names_);
  const Instant now = BootClock::now();
  const bool own_answer =
      FindField(head.fields, field_names_.signature) != nullptr;
  statements_.OnResponse(report, own_answer, sent, now);
  OnReport(report, "response", call.id, now);
}

void BackendDispatcher::OnRegisteredStart(const BackendEntry& entry,
                                          Instant now) {
  const bool first = registered_instance_.empty();
  const bool same = registered_instance_ == entry.instance &&
                    registered_start_millis_ == entry.start_millis;
  registered_start_millis_ = entry.start_millis;
  if (first || same) return;
  statements_.OnNewStart(now);
  OnStatementsChanged("new-start", "");
}

void BackendDispatcher::OnHealthReport(const BackendReport& report,
                                       Instant now) {
  statements_.OnHealthPage(report, now);
  OnReport(report, "health-page", "", now);
}

void BackendDispatcher::OnReport(const BackendReport& report,
                                 std::string_view source,
                                 const std::string& call_id, Instant now) {
  if (report.work_factor)
    admission_queue_.OnWorkFactor(*report.work_factor, now);
  if (report.malformed_rate_limit) {
    LogEvent(LogLevel::kWarning, "backend_limit_malformed")
        .With("instance", instance_)
        .With("source", source)
        .With("id", call_id);
  }
  OnStatementsChanged(source, call_id);
}

void BackendDispatcher::OnToldByPeer(const MeshCall& call) {
  if (!call.told_rate_limit) return;
  statements_.OnToldByPeer(*call.told_rate_limit, BootClock::now());
  OnStatementsChanged("peer", call.id);
}

void BackendDispatcher::CountStatedRefusal(const std::string& reason) {
  if (reason == kBackendRateReason || reason == kServerLeavingReason)
    metrics_->Add("wisteria_stated_refusals{reason=\"" + reason + "\"}");
}

bool BackendDispatcher::IsLeaving(const BackendStart& server) const {
  return statements_.leaving() && server.instance == instance_ &&
         server.start_millis == registered_start_millis_;
}

void BackendDispatcher::ApplyStatements(Instant now) {
  admission_queue_.SetRateLimit(statements_.rate_limit(), now);
  // Those that WaitInQueue still finds listed were not admitted.
  if (statements_.leaving()) {
    for (const auto& [ticket, timer] : queued_calls_) timer->cancel();
    return;
  }
  for (const BackendAdmissionTicket ticket :
       admission_queue_.TakeHopeless(now)) {
    const auto queued = queued_calls_.find(ticket);
    if (queued != queued_calls_.end()) queued->second->cancel();
  }
  AdmitWaiting(now);
}

void BackendDispatcher::ScheduleRateTurn(Instant now) {
  const microseconds wait = admission_queue_.RateWait(now);
  if (wait.count() == 0 || admission_queue_.waiting() == 0) return;
  rate_timer_.expires_after(wait);
  rate_timer_.async_wait([this](const error_code& error) {
    if (!error) AdmitWaiting(BootClock::now());
  });
}

void BackendDispatcher::OnStatementsChanged(std::string_view source,
                                            const std::string& call_id) {
  const std::optional<double> limit_before = applied_rate_limit_;
  const bool leaving_before = applied_leaving_;
  applied_rate_limit_ = statements_.rate_limit();
  applied_leaving_ = statements_.leaving();
  const bool changed =
      applied_rate_limit_ != limit_before || applied_leaving_ != leaving_before;
  if (!changed) return;
  ApplyStatements(BootClock::now());
  LogEvent(LogLevel::kInfo, "backend_states")
      .With("instance", instance_)
      .With("limit", FormatLimit(applied_rate_limit_))
      .With("limit_before", FormatLimit(limit_before))
      .With("leaving", applied_leaving_ ? "yes" : "no")
      .With("source", source)
      .With("id", call_id);
}

}  // namespace wisteriarill
