#include "wisteriarill/admission/backend_statements.h"

#include "wisteriarill/process/hashing.h"

namespace wisteriarill {

std::uint32_t DigestOf(const BackendStart& server) {
  const std::string text =
      server.instance + "@" + std::to_string(server.start_millis);
  return static_cast<std::uint32_t>(Hash64(text)) | 1U;
}

void BackendStatements::OnNewStart(Instant now) {
  *this = BackendStatements();
  started_ = now;
}

void BackendStatements::OnRateLimit(double rate_limit, Instant now) {
  rate_limit_ = rate_limit;
  rate_limit_heard_ = now;
}

void BackendStatements::OnResponse(const BackendReport& report, bool own_answer,
                                   Instant sent, Instant now) {
  if (sent < started_) return;
  leaving_ = leaving_ || report.leaving;
  has_answered_ = has_answered_ || own_answer;
  if (report.malformed_rate_limit) return;
  if (report.rate_limit) return OnRateLimit(*report.rate_limit, now);
  if (own_answer && sent > rate_limit_heard_) rate_limit_.reset();
}

void BackendStatements::OnHealthPage(const BackendReport& report, Instant now) {
  leaving_ = leaving_ || report.leaving;
  if (report.malformed_rate_limit) return;
  if (report.rate_limit) {
    health_page_names_limit_ = true;
    return OnRateLimit(*report.rate_limit, now);
  }
  if (health_page_names_limit_) rate_limit_.reset();
}

void BackendStatements::OnToldByPeer(const ToldRateLimit& told, Instant now) {
  const Instant heard = now - told.age;
  if (has_answered_ || heard < started_) return;
  if (rate_limit_ && heard <= rate_limit_heard_) return;
  OnRateLimit(told.rate, heard);
}

std::optional<ToldRateLimit> BackendStatements::TellPeer(Instant now) const {
  if (!rate_limit_) return std::nullopt;
  return ToldRateLimit{*rate_limit_, std::chrono::duration_cast<milliseconds>(
                                         now - rate_limit_heard_)};
}

}  // namespace wisteriarill
