/// \file
/// Builds deployments for the models, tests and benchmarks.
#include <utility>

#include "wisteriarill/model/rate_model.h"

namespace wisteriarill {

Deployment MakeModelDeployment(std::uint64_t number, int domains,
                               int servers_per_domain,
                               std::vector<WorkspaceSpec> workspaces) {
  constexpr int kServersPerOctet = 200;
  Deployment deployment;
  deployment.number = number;
  ServiceSpec service;
  service.name = "depot";
  service.slots = 12;
  for (int domain_index = 0; domain_index < domains; ++domain_index) {
    const std::string domain = "domain-" + std::to_string(domain_index);
    deployment.failure_domains.push_back({domain, "region", true, {}});
    for (int server_index = 0; server_index < servers_per_domain;
         ++server_index) {
      ServerSpec server;
      server.name = "s-" + std::to_string(domain_index) + "-" +
                    std::to_string(server_index);
      server.failure_domain = domain;
      server.node_address =
          "10." + std::to_string(domain_index) + "." +
          std::to_string(server_index / kServersPerOctet) + "." +
          std::to_string(server_index % kServersPerOctet + 1) + ":7100";
      service.servers.push_back(std::move(server));
    }
  }
  deployment.services.push_back(std::move(service));
  RouteSpec route;
  route.name = "depot";
  route.service = "depot";
  deployment.routes.push_back(std::move(route));
  deployment.workspaces = std::move(workspaces);
  return deployment;
}

WorkspaceSpec MakeModelWorkspace(std::string name, std::int64_t rate,
                                 std::int64_t burst) {
  WorkspaceSpec workspace;
  workspace.name = std::move(name);
  workspace.rate = rate * kMicroTokensPerToken;
  workspace.burst = burst * kMicroTokensPerToken;
  return workspace;
}

}  // namespace wisteriarill
