#include "wisteriarill/mesh/server_subsets.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "wisteriarill/process/hashing.h"

namespace wisteriarill {
namespace {

struct ScoredServer {
  std::uint64_t score;
  const BackendEntry* entry;
};

void SortByScore(std::vector<ScoredServer>* servers) {
  std::sort(servers->begin(), servers->end(),
            [](const ScoredServer& a, const ScoredServer& b) {
              return a.score > b.score;
            });
}

}  // namespace

ServerSubsets::ServerSubsets(const std::string& own_ip, std::string own_domain)
    : own_domain_(std::move(own_domain)), own_hash_(Hash64(own_ip)) {}

const std::vector<std::string>& ServerSubsets::Instances(
    const std::string& service, const Membership& membership) {
  return Find(service, membership).subset;
}

const std::vector<std::string>& ServerSubsets::AllInstances(
    const std::string& service, const Membership& membership) {
  return Find(service, membership).all;
}

const ServerSubsets::ServiceServers& ServerSubsets::Find(
    const std::string& service, const Membership& membership) {
  if (epoch_ != membership.epoch()) {
    services_.clear();
    epoch_ = membership.epoch();
  }
  const auto found = services_.find(service);
  if (found != services_.end()) return found->second;
  return services_.emplace(service, Build(service, membership)).first->second;
}

ServerSubsets::ServiceServers ServerSubsets::Build(
    const std::string& service, const Membership& membership) const {
  ServiceServers servers;
  std::vector<ScoredServer> own_domain;
  std::vector<ScoredServer> other_domains;
  for (const auto& [instance, entry] : membership.entries()) {
    if (entry.service != service || !membership.AcceptsCalls(entry)) continue;
    servers.all.push_back(instance);
    const ScoredServer scored{RendezvousScore(own_hash_, Hash64(instance)),
                              &entry};
    const bool near = entry.failure_domain == own_domain_;
    (near ? own_domain : other_domains).push_back(scored);
  }
  if (servers.all.size() <= kMaxWholeService) {
    servers.subset = servers.all;
    return servers;
  }
  SortByScore(&own_domain);
  SortByScore(&other_domains);
  const std::size_t near = std::min(own_domain.size(), kOwnDomainServers);
  const std::size_t far = std::min(other_domains.size(), kSubsetSize - near);
  for (std::size_t i = 0; i < near; ++i) {
    servers.subset.push_back(own_domain[i].entry->instance);
  }
  for (std::size_t i = 0; i < far; ++i) {
    servers.subset.push_back(other_domains[i].entry->instance);
  }
  return servers;
}

}  // namespace wisteriarill
