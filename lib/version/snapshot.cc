#include "wisteriarill/version/snapshot.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstring>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/invariant.h"
#include "wisteriarill/version/deployment_parser.h"

namespace wisteriarill {
namespace {

template <typename Id, typename Index>
std::optional<Id> FindByName(const Index& index, std::string_view name) {
  const auto found = index.find(name);
  if (found == index.end()) return std::nullopt;
  return Id{found->second};
}

// Returns the first bytes of a digest as the hash of a key. They are uniformly
// distributed.
std::uint64_t DigestBucket(std::string_view digest) {
  std::uint64_t bucket = 0;
  std::memcpy(&bucket, digest.data(), std::min(digest.size(), sizeof bucket));
  return bucket;
}

// Removes the last segment: "/a/b" becomes "/a", "/a" becomes "/", and "/"
// becomes empty.
std::string_view ParentPath(std::string_view path) {
  const std::size_t slash = path.rfind('/');
  if (slash == std::string_view::npos) return {};
  if (slash == 0) return path.size() > 1 ? path.substr(0, 1) : "";
  return path.substr(0, slash);
}

}  // namespace

bool IsIdempotentMethod(std::string_view method) {
  constexpr std::array<std::string_view, 6> kIdempotent = {
      "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};
  return std::find(kIdempotent.begin(), kIdempotent.end(), method) !=
         kIdempotent.end();
}

bool Route::Allows(WorkspaceId workspace) const {
  return workspaces.empty() ||
         std::binary_search(workspaces.begin(), workspaces.end(), workspace);
}

bool Route::IsIdempotent(std::string_view method) const {
  return idempotent.value_or(IsIdempotentMethod(method));
}

Result<std::shared_ptr<const Snapshot>> Snapshot::Compile(
    const Version& version, const Deployment& deployment) {
  const std::vector<Diagnostic> faults = ValidateDeployment(deployment);
  if (!faults.empty()) {
    return MakeError(ErrorKind::kInvalidRelease, ToString(faults.front()),
                     "run wisteriactl check and publish a corrected release");
  }
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->version_ = version;
  snapshot->AddFailureDomains(deployment);
  snapshot->AddServices(deployment);
  snapshot->AddWorkspaces(deployment);
  snapshot->AddRoutes(deployment);
  snapshot->CheckReferences();
  return std::shared_ptr<const Snapshot>(std::move(snapshot));
}

void Snapshot::AddFailureDomains(const Deployment& deployment) {
  for (const FailureDomainSpec& spec : deployment.failure_domains) {
    domain_index_[spec.name] = static_cast<std::uint32_t>(domains_.size());
    domains_.push_back(
        {spec.name, spec.region, spec.in_service, {}, Hash64(spec.name)});
  }
}

void Snapshot::AddServices(const Deployment& deployment) {
  for (const ServiceSpec& spec : deployment.services) {
    const ServiceId service{static_cast<std::uint32_t>(services_.size())};
    service_index_[spec.name] = service.value;
    services_.push_back({spec.name,
                         spec.slots,
                         spec.cold_slots,
                         spec.warmup,
                         spec.timeout,
                         {}});
    for (const ServerSpec& server : spec.servers) {
      const ServerId id{static_cast<std::uint32_t>(servers_.size())};
      const FailureDomainId domain{domain_index_.at(server.failure_domain)};
      server_index_[server.name] = id.value;
      servers_.push_back({server.name, server.node_address, domain, service,
                          server.leaving, Hash64(server.name)});
      services_.back().servers.push_back(id);
      domains_[domain.value].servers.push_back(id);
    }
  }
}

void Snapshot::AddWorkspaces(const Deployment& deployment) {
  for (const WorkspaceSpec& spec : deployment.workspaces) {
    const WorkspaceId id{static_cast<std::uint32_t>(workspaces_.size())};
    workspace_index_[spec.name] = id.value;
    workspaces_.push_back(
        {spec.name, spec.rate, spec.burst, Hash64(spec.name)});
    for (const std::string& hex : spec.key_digests) {
      std::string digest;
      FromHex(hex, &digest);
      keys_[DigestBucket(digest)].push_back({digest, id});
    }
  }
}

void Snapshot::AddRoutes(const Deployment& deployment) {
  for (const RouteSpec& spec : deployment.routes) {
    const auto index = static_cast<std::uint32_t>(routes_.size());
    const ServiceId service{service_index_.at(spec.service)};
    Route route{spec.name,
                spec.host,
                spec.path_prefix,
                spec.methods,
                service,
                {},
                spec.open,
                spec.idempotent,
                spec.timeout.value_or(services_[service.value].timeout),
                spec.call_class};
    for (const std::string& name : spec.workspaces) {
      route.workspaces.push_back(WorkspaceId{workspace_index_.at(name)});
    }
    std::sort(route.workspaces.begin(), route.workspaces.end());
    routes_.push_back(std::move(route));
    std::string prefix = spec.path_prefix;
    if (prefix.size() > 1 && prefix.back() == '/') prefix.pop_back();
    route_index_[spec.host][prefix].push_back(index);
  }
}

void Snapshot::CheckReferences() const {
  for (const Route& route : routes_) {
    CheckInvariant(route.service.value < services_.size(),
                   "route_service_exists", route.name);
  }
  for (const Server& server : servers_) {
    CheckInvariant(server.domain.value < domains_.size(),
                   "server_failure_domain_exists", server.name);
  }
}

const Route* Snapshot::SelectByMethod(
    const std::vector<std::uint32_t>& candidates,
    std::string_view method) const {
  const Route* all_methods_route = nullptr;
  for (const std::uint32_t index : candidates) {
    const Route& route = routes_[index];
    if (route.methods.empty()) all_methods_route = &route;
    const auto& methods = route.methods;
    if (std::find(methods.begin(), methods.end(), method) != methods.end()) {
      return &route;
    }
  }
  return all_methods_route;
}

const Route* Snapshot::FindInHost(std::string_view host, std::string_view path,
                                  std::string_view method) const {
  const auto prefixes = route_index_.find(host);
  if (prefixes == route_index_.end()) return nullptr;
  if (path.size() > 1 && path.back() == '/') path.remove_suffix(1);
  for (; !path.empty(); path = ParentPath(path)) {
    const auto candidates = prefixes->second.find(path);
    if (candidates == prefixes->second.end()) continue;
    const Route* route = SelectByMethod(candidates->second, method);
    if (route != nullptr) return route;
  }
  return nullptr;
}

const Route* Snapshot::FindRoute(std::string_view host, std::string_view path,
                                 std::string_view method) const {
  const Route* route = FindInHost(host, path, method);
  return route != nullptr ? route : FindInHost("*", path, method);
}

std::optional<WorkspaceId> Snapshot::FindWorkspaceByKey(
    std::string_view digest) const {
  const auto bucket = keys_.find(DigestBucket(digest));
  if (bucket == keys_.end()) return std::nullopt;
  std::optional<WorkspaceId> owner;
  for (const ApiKey& key : bucket->second) {
    if (ConstantTimeEqual(key.digest, digest)) owner = key.workspace;
  }
  return owner;
}

std::optional<WorkspaceId> Snapshot::FindWorkspace(
    std::string_view name) const {
  return FindByName<WorkspaceId>(workspace_index_, name);
}

std::optional<ServerId> Snapshot::FindServer(std::string_view name) const {
  return FindByName<ServerId>(server_index_, name);
}

std::optional<ServiceId> Snapshot::FindService(std::string_view name) const {
  return FindByName<ServiceId>(service_index_, name);
}

std::optional<FailureDomainId> Snapshot::FindFailureDomain(
    std::string_view name) const {
  return FindByName<FailureDomainId>(domain_index_, name);
}

}  // namespace wisteriarill
