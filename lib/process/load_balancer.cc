#include "wisteriarill/process/load_balancer.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/process/hashing.h"

namespace wisteriarill {

PowerOfTwoLoadBalancer::PowerOfTwoLoadBalancer(
    PowerOfTwoLoadBalancerOptions options, std::string self, std::uint64_t seed)
    : options_(options), self_(std::move(self)), random_(seed) {}

void PowerOfTwoLoadBalancer::OnSnapshot(
    std::shared_ptr<const Snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  candidates_.clear();
  std::erase_if(server_states_, [this](const auto& entry) {
    return entry.second.in_flight == 0 &&
           !snapshot_->FindServer(entry.first).has_value();
  });
}

void PowerOfTwoLoadBalancer::SetLeavingVms(
    const std::vector<std::string>& leaving) {
  leaving_ = {leaving.begin(), leaving.end()};
}

// Selects the candidates by rendezvous hashing with this node's name, so that
// they are stable over versions and spread evenly over the nodes.
PowerOfTwoLoadBalancer::Candidates PowerOfTwoLoadBalancer::SelectCandidates(
    ServiceId service) const {
  const std::uint64_t key = Hash64(self_);
  std::vector<std::pair<std::uint64_t, ServerId>> ranked;
  for (const ServerId id : snapshot_->service(service).servers) {
    const Server& server = snapshot_->server(id);
    const bool in_service = snapshot_->failure_domain(server.domain).in_service;
    if (!in_service || server.leaving || leaving_.count(server.name) > 0)
      continue;
    ranked.emplace_back(RendezvousScore(key, server.hash), id);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  const auto self = snapshot_->FindServer(self_);
  Candidates candidates;
  std::map<std::uint32_t, std::size_t> taken;
  for (const auto& [score, id] : ranked) {
    const FailureDomainId domain = snapshot_->server(id).domain;
    if (++taken[domain.value] > options_.max_candidates_per_domain) continue;
    const bool local =
        self.has_value() && snapshot_->server(*self).domain == domain;
    (local ? candidates.local : candidates.remote).push_back(id);
  }
  return candidates;
}

const PowerOfTwoLoadBalancer::Candidates&
PowerOfTwoLoadBalancer::FindCandidates(ServiceId service) {
  const auto found = candidates_.find(service.value);
  if (found != candidates_.end()) return found->second;
  return candidates_[service.value] = SelectCandidates(service);
}

bool PowerOfTwoLoadBalancer::IsUsable(ServerId id,
                                      const std::set<std::string>& tried,
                                      Instant now,
                                      bool include_unresponsive) const {
  const std::string& name = snapshot_->server(id).name;
  if (tried.count(name) > 0 || leaving_.count(name) > 0) return false;
  const auto state = server_states_.find(name);
  if (state == server_states_.end()) return true;
  const bool fresh =
      now - options_.max_report_age < state->second.load_reported_at;
  if (fresh && state->second.load.leaving) return false;
  return include_unresponsive || state->second.excluded_until <= now;
}

double PowerOfTwoLoadBalancer::RelativeLoad(ServerId id, Instant now) const {
  const auto found = server_states_.find(snapshot_->server(id).name);
  if (found == server_states_.end()) return 0;
  const ServerState& state = found->second;
  double calls = state.in_flight;
  double limit = snapshot_->service(snapshot_->server(id).service).slots;
  if (state.load_reported_at != kNever &&
      now - state.load_reported_at < options_.max_report_age) {
    const double reported = state.load.in_flight + state.load.queued;
    calls = std::max(calls, reported);
    limit = std::max<double>(1, state.load.limit);
  }
  return calls / limit;
}

std::optional<ServerId> PowerOfTwoLoadBalancer::PickOfTwo(
    const std::vector<ServerId>& servers, const std::set<std::string>& tried,
    Instant now, bool include_unresponsive) {
  std::vector<ServerId> usable;
  for (const ServerId id : servers) {
    if (IsUsable(id, tried, now, include_unresponsive)) usable.push_back(id);
  }
  if (usable.empty()) return std::nullopt;
  const ServerId first = usable[random_() % usable.size()];
  const ServerId second = usable[random_() % usable.size()];
  return RelativeLoad(second, now) < RelativeLoad(first, now) ? second : first;
}

std::optional<ChosenServer> PowerOfTwoLoadBalancer::Choose(
    const std::string& service, const std::set<std::string>& tried,
    Instant now) {
  if (snapshot_ == nullptr) return std::nullopt;
  const auto id = snapshot_->FindService(service);
  if (!id.has_value()) return std::nullopt;
  const Candidates& servers = FindCandidates(*id);
  std::optional<ServerId> chosen = PickOfTwo(servers.local, tried, now, false);
  const bool spills = !chosen.has_value() ||
                      RelativeLoad(*chosen, now) > options_.spill_threshold;
  if (spills) {
    const auto remote = PickOfTwo(servers.remote, tried, now, false);
    const bool better =
        remote.has_value() &&
        (!chosen.has_value() ||
         RelativeLoad(*remote, now) + options_.min_spill_improvement <
             RelativeLoad(*chosen, now));
    if (better) chosen = remote;
  }
  // If every server is excluded as unresponsive, one of them is tried anyway.
  if (!chosen.has_value()) chosen = PickOfTwo(servers.local, tried, now, true);
  if (!chosen.has_value()) chosen = PickOfTwo(servers.remote, tried, now, true);
  if (!chosen.has_value()) return std::nullopt;
  const Server& server = snapshot_->server(*chosen);
  ++server_states_[server.name].in_flight;
  return ChosenServer{server.name, server.node_address};
}

void PowerOfTwoLoadBalancer::OnEnded(const std::string& server,
                                     const LoadReport* load, Instant now) {
  ServerState& state = server_states_[server];
  if (state.in_flight > 0) --state.in_flight;
  if (load == nullptr) return;
  state.load = *load;
  state.load_reported_at = now;
  state.excluded_until = kNever;
}

void PowerOfTwoLoadBalancer::OnUnresponsive(const std::string& server,
                                            Instant now) {
  server_states_[server].excluded_until = now + options_.exclusion_duration;
}

void RoundRobinLoadBalancer::OnSnapshot(
    std::shared_ptr<const Snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
}

std::optional<ChosenServer> RoundRobinLoadBalancer::Choose(
    const std::string& service, const std::set<std::string>& tried,
    Instant /*now*/) {
  if (snapshot_ == nullptr) return std::nullopt;
  const auto id = snapshot_->FindService(service);
  if (!id.has_value()) return std::nullopt;
  const auto& servers = snapshot_->service(*id).servers;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const Server& server =
        snapshot_->server(servers[next_index_++ % servers.size()]);
    if (tried.count(server.name) > 0 || server.leaving) continue;
    if (!snapshot_->failure_domain(server.domain).in_service) continue;
    return ChosenServer{server.name, server.node_address};
  }
  return std::nullopt;
}

void RoundRobinLoadBalancer::OnEnded(const std::string& /*server*/,
                                     const LoadReport* /*load*/,
                                     Instant /*now*/) {}

void RoundRobinLoadBalancer::OnUnresponsive(const std::string& /*server*/,
                                            Instant /*now*/) {}

void RoundRobinLoadBalancer::SetLeavingVms(
    const std::vector<std::string>& /*leaving*/) {}

}  // namespace wisteriarill
