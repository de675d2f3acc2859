#include "wisteriarill/process/ownership_change_log.h"

#include <algorithm>

namespace wisteriarill {
namespace {

// Whether `server` of `from` can be home in the same failure domain of `to`.
bool IsListedIn(const Snapshot& to, const Snapshot& from,
                const Server& server) {
  const auto id = to.FindServer(server.name);
  if (!id.has_value() || to.server(*id).leaving) return false;
  return to.failure_domain(to.server(*id).domain).name ==
         from.failure_domain(server.domain).name;
}

// How many homes a failure domain can give, up to `most`.
std::size_t CountHomes(const Snapshot& snapshot, const FailureDomain& domain,
                       std::size_t most) {
  std::size_t count = 0;
  for (const ServerId id : domain.servers) {
    if (!snapshot.server(id).leaving && ++count >= most) break;
  }
  return count;
}

bool SameHomeCounts(const Snapshot& a, const Snapshot& b, std::size_t most) {
  const auto& left = a.failure_domains();
  const auto& right = b.failure_domains();
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [&](const FailureDomain& x, const FailureDomain& y) {
                      return x.name == y.name &&
                             CountHomes(a, x, most) == CountHomes(b, y, most);
                    });
}

microseconds AgeOf(Instant at, Instant now) {
  return std::chrono::duration_cast<microseconds>(now - at);
}

}  // namespace

bool HomeLog::CutChanged(const Snapshot& previous,
                         const Snapshot& current) const {
  if (!SameHomeCounts(previous, current, parts_.max_shards)) return true;
  for (const Workspace& workspace : current.workspaces()) {
    const auto before = previous.FindWorkspace(workspace.name);
    if (!before.has_value()) continue;
    if (previous.workspace(*before).burst == workspace.burst) continue;
    const auto now = current.FindWorkspace(workspace.name);
    if (PlanRateShards(previous, *before, parts_).size() !=
        PlanRateShards(current, *now, parts_).size()) {
      return true;
    }
  }
  return false;
}

void HomeLog::OnSnapshot(const Snapshot* previous, const Snapshot& current,
                         Instant now) {
  if (previous == nullptr) {
    known_since_ = now;
    return;
  }
  if (CutChanged(*previous, current)) cut_changed_ = now;
  for (const Server& server : previous->servers()) {
    if (server.leaving || IsListedIn(current, *previous, server)) continue;
    departed_[server.name] = {previous->failure_domain(server.domain).name,
                              now};
  }
  for (const Server& server : current.servers()) {
    if (server.leaving || IsListedIn(*previous, current, server)) continue;
    arrived_[server.name] = {current.failure_domain(server.domain).name, now};
  }
  const auto is_old = [&](const auto& entry) {
    return now - entry.second.at > memory_;
  };
  std::erase_if(departed_, is_old);
  std::erase_if(arrived_, is_old);
}

void HomeLog::OnKnownSince(Instant at) {
  known_since_ = std::min(known_since_, at);
}

OwnershipHistory HomeLog::Answer(const Snapshot& current, const std::string& node,
                            Instant now) const {
  OwnershipHistory history;
  history.version = current.version();
  const auto id = current.FindServer(node);
  if (!id.has_value() || known_since_ == kNever) return history;
  const std::string& domain =
      current.failure_domain(current.server(*id).domain).name;
  history.history_span = AgeOf(known_since_, now);
  history.shard_count_age = history.history_span;
  if (cut_changed_ != kNever) history.shard_count_age = AgeOf(cut_changed_, now);
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
