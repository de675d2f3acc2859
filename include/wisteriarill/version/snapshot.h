/// \file
/// The compiled, immutable form of one version, in which all references are
/// resolved to indexes.
#ifndef WISTERIARILL_VERSION_SNAPSHOT_H_
#define WISTERIARILL_VERSION_SNAPSHOT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wisteriarill/process/error.h"
#include "wisteriarill/process/ids.h"
#include "wisteriarill/version/deployment.h"
#include "wisteriarill/version/release.h"
#include "wisteriarill/version/version.h"

namespace wisteriarill {

struct FailureDomain {
  std::string name;
  std::string region;
  bool in_service = true;
  std::vector<ServerId> servers;
  std::uint64_t hash = 0;  ///< Hash64 of the name, for rendezvous hashing.
};

struct Server {
  std::string name;
  std::string node_address;
  FailureDomainId domain;
  ServiceId service;
  bool leaving = false;
  std::uint64_t hash = 0;  ///< Hash64 of the name, for rendezvous hashing.
};

struct Service {
  std::string name;
  std::uint32_t slots = 1;
  std::uint32_t cold_slots = 1;
  milliseconds warmup{};
  milliseconds timeout{};
  std::vector<ServerId> servers;
};

struct Workspace {
  std::string name;
  std::int64_t rate = 0;   ///< Micro-tokens per second, summed over all VMs.
  std::int64_t burst = 0;  ///< Micro-tokens, summed over all VMs.
  std::uint64_t hash = 0;  ///< Hash64 of the name, for rendezvous hashing.
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::vector<std::string> methods;
  ServiceId service;
  std::vector<WorkspaceId> workspaces;  ///< Sorted. All workspaces if empty.
  bool open = false;
  std::optional<bool> idempotent;
  milliseconds timeout{};
  CallClass call_class = CallClass::kInteractive;

  /// Returns whether `workspace` may use this route.
  bool Allows(WorkspaceId workspace) const;
  /// Returns whether a request with this method is idempotent, so that it may
  /// be retried. The route's setting overrides the method.
  bool IsIdempotent(std::string_view method) const;
};

/// Returns whether RFC 9110 defines `method` as idempotent.
bool IsIdempotentMethod(std::string_view method);

/// One configuration version. Immutable and therefore thread-safe.
class Snapshot {
 public:
  /// Compiles `deployment`. Fails if ValidateDeployment reports an error.
  static Result<std::shared_ptr<const Snapshot>> Compile(
      const Version& version, const Deployment& deployment);

  const Version& version() const { return version_; }
  const std::vector<FailureDomain>& failure_domains() const { return domains_; }
  const std::vector<Service>& services() const { return services_; }
  const std::vector<Server>& servers() const { return servers_; }
  const std::vector<Workspace>& workspaces() const { return workspaces_; }
  const std::vector<Route>& routes() const { return routes_; }

  const FailureDomain& failure_domain(FailureDomainId id) const {
    return domains_[id.value];
  }
  const Service& service(ServiceId id) const { return services_[id.value]; }
  const Server& server(ServerId id) const { return servers_[id.value]; }
  const Workspace& workspace(WorkspaceId id) const {
    return workspaces_[id.value];
  }

  /// Returns the route with the longest matching prefix, or nullptr if none
  /// matches. Routes for the exact host precede those for "*", and a route that
  /// lists the method precedes one for all methods.
  const Route* FindRoute(std::string_view host, std::string_view path,
                         std::string_view method) const;
  /// Returns the workspace of the key with this raw SHA-256 digest.
  std::optional<WorkspaceId> FindWorkspaceByKey(std::string_view digest) const;
  std::optional<WorkspaceId> FindWorkspace(std::string_view name) const;
  std::optional<ServerId> FindServer(std::string_view name) const;
  std::optional<ServiceId> FindService(std::string_view name) const;
  std::optional<FailureDomainId> FindFailureDomain(std::string_view name) const;

 private:
  using NameIndex = std::map<std::string, std::uint32_t, std::less<>>;
  /// The indexes of the routes of one host by path prefix.
  using PrefixIndex =
      std::map<std::string, std::vector<std::uint32_t>, std::less<>>;
  struct ApiKey {
    std::string digest;
    WorkspaceId workspace;
  };

  void AddFailureDomains(const Deployment& deployment);
  void AddServices(const Deployment& deployment);
  void AddWorkspaces(const Deployment& deployment);
  void AddRoutes(const Deployment& deployment);
  const Route* FindInHost(std::string_view host, std::string_view path,
                          std::string_view method) const;
  const Route* SelectByMethod(const std::vector<std::uint32_t>& candidates,
                              std::string_view method) const;
  void CheckReferences() const;

  Version version_;
  std::vector<FailureDomain> domains_;
  std::vector<Service> services_;
  std::vector<Server> servers_;
  std::vector<Workspace> workspaces_;
  std::vector<Route> routes_;
  NameIndex domain_index_;
  NameIndex service_index_;
  NameIndex server_index_;
  NameIndex workspace_index_;
  std::map<std::string, PrefixIndex, std::less<>> route_index_;
  std::unordered_map<std::uint64_t, std::vector<ApiKey>> keys_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_SNAPSHOT_H_
