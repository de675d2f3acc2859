#include "wisteriarill/process/ownership_change_log.h"

#include <algorithm>

namespace wisteriarill {
namespace {

// Returns whether `server` of `from` may be an owner in the same failure domain
// of `to`.
bool IsEligibleIn(const Snapshot& to, const Snapshot& from,
                  const Server& server) {
  const auto id = to.FindServer(server.name);
  if (!id.has_value() || to.server(*id).leaving) return false;
  return to.failure_domain(to.server(*id).domain).name ==
         from.failure_domain(server.domain).name;
}

// Returns the number of servers of a failure domain that may be owners, up to
// `max_count`.
std::size_t CountOwners(const Snapshot& snapshot, const FailureDomain& domain,
                        std::size_t max_count) {
  std::size_t count = 0;
  for (const ServerId id : domain.servers) {
    if (!snapshot.server(id).leaving && ++count >= max_count) break;
  }
  return count;
}

bool SameOwnerCounts(const Snapshot& a, const Snapshot& b,
                     std::size_t max_count) {
  const auto& left = a.failure_domains();
  const auto& right = b.failure_domains();
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [&](const FailureDomain& x, const FailureDomain& y) {
                      return x.name == y.name &&
                             CountOwners(a, x, max_count) ==
                                 CountOwners(b, y, max_count);
                    });
}

microseconds AgeOf(Instant at, Instant now) {
  return std::chrono::duration_cast<microseconds>(now - at);
}

}  // namespace

bool OwnershipChangeLog::ShardCountChanged(const Snapshot& previous,
                                           const Snapshot& current) const {
  if (!SameOwnerCounts(previous, current, options_.max_shards)) return true;
  for (const Workspace& workspace : current.workspaces()) {
    const auto before = previous.FindWorkspace(workspace.name);
    if (!before.has_value()) continue;
    if (previous.workspace(*before).burst == workspace.burst) continue;
    const auto now = current.FindWorkspace(workspace.name);
    if (PlanRateShards(previous, *before, options_).size() !=
        PlanRateShards(current, *now, options_).size()) {
      return true;
    }
  }
  return false;
}

void OwnershipChangeLog::OnSnapshot(const Snapshot* previous,
                                    const Snapshot& current, Instant now) {
  if (previous == nullptr) {
    known_since_ = now;
    return;
  }
  if (ShardCountChanged(*previous, current)) resharded_ = now;
  for (const Server& server : previous->servers()) {
    if (server.leaving || IsEligibleIn(current, *previous, server)) continue;
    departed_[server.name] = {previous->failure_domain(server.domain).name,
                              now};
  }
  for (const Server& server : current.servers()) {
    if (server.leaving || IsEligibleIn(*previous, current, server)) continue;
    arrived_[server.name] = {current.failure_domain(server.domain).name, now};
  }
  const auto is_old = [&](const auto& entry) {
    return now - entry.second.at > retention_;
  };
  std::erase_if(departed_, is_old);
  std::erase_if(arrived_, is_old);
}

void OwnershipChangeLog::ExtendHistory(Instant at) {
  known_since_ = std::min(known_since_, at);
}

OwnershipHistory OwnershipChangeLog::MakeHistory(const Snapshot& current,
                                                 const std::string& node,
                                                 Instant now) const {
  OwnershipHistory history;
  history.version = current.version();
  const auto id = current.FindServer(node);
  if (!id.has_value() || known_since_ == kNever) return history;
  const std::string& domain =
      current.failure_domain(current.server(*id).domain).name;
  history.history_span = AgeOf(known_since_, now);
  history.shard_count_age = history.history_span;
  if (resharded_ != kNever) history.shard_count_age = AgeOf(resharded_, now);
  history.listed_for = history.history_span;
  const auto arrived = arrived_.find(node);
  if (arrived != arrived_.end()) {
    history.listed_for = AgeOf(arrived->second.at, now);
  }
  for (const auto* changes : {&arrived_, &departed_}) {
    for (const auto& [server, change] : *changes) {
      if (change.domain != domain || server == node) continue;
      history.changes.push_back({server, AgeOf(change.at, now)});
    }
  }
  return history;
}

}  // namespace wisteriarill
