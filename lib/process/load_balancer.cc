#include "wisteriarill/process/load_balancer.h"

#include <algorithm>
#include <utility>

#include "wisteriarill/process/hashing.h"

namespace wisteriarill {

PowerOfTwoLoadBalancer::PowerOfTwoLoadBalancer(LoadChooserOptions options, std::string self,
                         std::uint64_t seed)
    : options_(options), self_(std::move(self)), random_(seed) {}

void PowerOfTwoLoadBalancer::OnSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  subsets_.clear();
  std::erase_if(views_, [this](const auto& entry) {
    return entry.second.in_flight == 0 &&
           !snapshot_->FindServer(entry.first).has_value();
  });
}

void PowerOfTwoLoadBalancer::OnVmView(const std::vector<std::string>& leaving) {
  leaving_ = {leaving.begin(), leaving.end()};
}

// The subset follows rendezvous hashing by this node, so that it is stable
// over versions and spreads evenly over the nodes.
PowerOfTwoLoadBalancer::Subset PowerOfTwoLoadBalancer::MakeSubset(ServiceId service) const {
  const std::uint64_t key = Hash64(self_);
  std::vector<std::pair<std::uint64_t, ServerId>> ranked;
  for (const ServerId id : snapshot_->service(service).servers) {
    const Server& server = snapshot_->server(id);
    const bool in = snapshot_->failure_domain(server.domain).in_service;
    if (!in || server.leaving || leaving_.count(server.name) > 0) continue;
    ranked.emplace_back(RendezvousScore(key, server.hash), id);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  const auto self = snapshot_->FindServer(self_);
  Subset subset;
  std::map<std::uint32_t, std::size_t> taken;
  for (const auto& [score, id] : ranked) {
    const FailureDomainId domain = snapshot_->server(id).domain;
    if (++taken[domain.value] > options_.subset) continue;
    const bool near =
        self.has_value() && snapshot_->server(*self).domain == domain;
    (near ? subset.near : subset.far).push_back(id);
  }
  return subset;
}

const PowerOfTwoLoadBalancer::Subset& PowerOfTwoLoadBalancer::FindSubset(ServiceId service) {
  const auto found = subsets_.find(service.value);
  if (found != subsets_.end()) return found->second;
  return subsets_[service.value] = MakeSubset(service);
}

bool PowerOfTwoLoadBalancer::IsUsable(ServerId id, const std::set<std::string>& tried,
                           Instant now, bool allow_silent) const {
  const std::string& name = snapshot_->server(id).name;
  if (tried.count(name) > 0 || leaving_.count(name) > 0) return false;
  const auto view = views_.find(name);
  if (view == views_.end()) return true;
  const bool fresh = now - options_.report_age < view->second.load_at;
  if (fresh && view->second.load.leaving) return false;
  return allow_silent || view->second.silent_until <= now;
}

double PowerOfTwoLoadBalancer::Load(ServerId id, Instant now) const {
  const auto found = views_.find(snapshot_->server(id).name);
  if (found == views_.end()) return 0;
  const ServerView& view = found->second;
  double calls = view.in_flight;
  double limit = snapshot_->service(snapshot_->server(id).service).slots;
  if (view.load_at != kNever && now - view.load_at < options_.report_age) {
    const double reported = view.load.in_flight + view.load.queued;
    calls = std::max(calls, reported);
    limit = std::max<double>(1, view.load.limit);
  }
  return calls / limit;
}

std::optional<ServerId> PowerOfTwoLoadBalancer::PickOfTwo(
    const std::vector<ServerId>& servers, const std::set<std::string>& tried,
    Instant now, bool allow_silent) {
  std::vector<ServerId> usable;
  for (const ServerId id : servers) {
    if (IsUsable(id, tried, now, allow_silent)) usable.push_back(id);
  }
  if (usable.empty()) return std::nullopt;
  const ServerId first = usable[random_() % usable.size()];
  const ServerId second = usable[random_() % usable.size()];
  return Load(second, now) < Load(first, now) ? second : first;
}

std::optional<ChosenServer> PowerOfTwoLoadBalancer::Choose(const std::string& service,
                                          const std::set<std::string>& tried,
                                          Instant now) {
  if (snapshot_ == nullptr) return std::nullopt;
  const auto id = snapshot_->FindService(service);
  if (!id.has_value()) return std::nullopt;
  const Subset& subset = FindSubset(*id);
  std::optional<ServerId> chosen = PickOfTwo(subset.near, tried, now, false);
  const bool spills =
      !chosen.has_value() || Load(*chosen, now) > options_.spill_load;
  if (spills) {
    const auto far = PickOfTwo(subset.far, tried, now, false);
    const bool better =
        far.has_value() &&
        (!chosen.has_value() ||
         Load(*far, now) + options_.spill_gain < Load(*chosen, now));
    if (better) chosen = far;
  }
  // With every server silent, one of them is tried all the same.
  if (!chosen.has_value()) chosen = PickOfTwo(subset.near, tried, now, true);
  if (!chosen.has_value()) chosen = PickOfTwo(subset.far, tried, now, true);
  if (!chosen.has_value()) return std::nullopt;
  const Server& server = snapshot_->server(*chosen);
  ++views_[server.name].in_flight;
  return ChosenServer{server.name, server.node_address};
}

void PowerOfTwoLoadBalancer::OnEnded(const std::string& server, const LoadReport* load,
                          Instant now) {
  ServerView& view = views_[server];
  if (view.in_flight > 0) --view.in_flight;
  if (load == nullptr) return;
  view.load = *load;
  view.load_at = now;
  view.silent_until = kNever;
}

void PowerOfTwoLoadBalancer::OnSilent(const std::string& server, Instant now) {
  views_[server].silent_until = now + options_.silence;
}

void RoundRobinChooser::OnSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
}

std::optional<ChosenServer> RoundRobinChooser::Choose(
    const std::string& service, const std::set<std::string>& tried,
    Instant /*now*/) {
  if (snapshot_ == nullptr) return std::nullopt;
  const auto id = snapshot_->FindService(service);
  if (!id.has_value()) return std::nullopt;
  const auto& servers = snapshot_->service(*id).servers;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const Server& server = snapshot_->server(servers[turn_++ % servers.size()]);
    if (tried.count(server.name) > 0 || server.leaving) continue;
    if (!snapshot_->failure_domain(server.domain).in_service) continue;
    return ChosenServer{server.name, server.node_address};
  }
  return std::nullopt;
}

void RoundRobinChooser::OnEnded(const std::string& /*server*/,
                                const LoadReport* /*load*/, Instant /*now*/) {}

void RoundRobinChooser::OnSilent(const std::string& /*server*/,
                                 Instant /*now*/) {}

void RoundRobinChooser::OnVmView(const std::vector<std::string>& /*leaving*/) {}

}  // namespace wisteriarill
