#include "wisteriarill/routing/backend_statement_table.h"

#include <algorithm>

namespace wisteriarill {

const BackendStatementTable::Record* BackendStatementTable::Find(
    const BackendStart& server) const {
  const auto found = servers_.find(server.instance);
  if (found == servers_.end()) return nullptr;
  const Record& record = found->second;
  return record.start_millis == server.start_millis ? &record : nullptr;
}

void BackendStatementTable::DropOldest() {
  const auto oldest = std::min_element(
      servers_.begin(), servers_.end(), [](const auto& a, const auto& b) {
        return a.second.recorded < b.second.recorded;
      });
  if (oldest != servers_.end()) servers_.erase(oldest);
}

void BackendStatementTable::OnResponse(const BackendStart& server,
                                       const BackendReport& report,
                                       bool own_answer, Instant sent,
                                       Instant now) {
  const bool states = report.rate_limit || report.leaving;
  const bool known = Find(server) != nullptr;
  if (!known && !states) return;
  if (!known && servers_.size() >= kMaxServers) DropOldest();
  if (!known) servers_[server.instance] = {server.start_millis, {}, now};
  Record& record = servers_[server.instance];
  record.recorded = now;
  record.statements.OnResponse(report, own_answer, sent, now);
  const bool holds =
      record.statements.rate_limit() || record.statements.leaving();
  if (!holds) servers_.erase(server.instance);
}

void BackendStatementTable::OnLeaving(const BackendStart& server, Instant now) {
  BackendReport report;
  report.leaving = true;
  // What the node says holds, whenever the server said it.
  OnResponse(server, report, false, now, now);
}

bool BackendStatementTable::IsLeaving(const BackendStart& server) const {
  const Record* record = Find(server);
  return record != nullptr && record->statements.leaving();
}

std::optional<ToldRateLimit> BackendStatementTable::TellPeer(
    const BackendStart& server, Instant now) const {
  const Record* record = Find(server);
  if (record == nullptr) return std::nullopt;
  return record->statements.TellPeer(now);
}

}  // namespace wisteriarill
