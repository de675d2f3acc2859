/// \file
/// The operators' configuration: routes, services, workspaces and limits, in an
/// immutable form with indexes for lookups.
#ifndef WISTERIARILL_MESH_MESH_CONFIG_H_
#define WISTERIARILL_MESH_MESH_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wisteriarill/process/error.h"
#include "wisteriarill/process/time.h"
#include "wisteriarill/version/version.h"

namespace wisteriarill {

/// One destination service of a route and its share of the route's requests.
struct RouteTarget {
  std::string service;
  std::uint32_t weight = 1;  ///< Relative to the other targets.
};

/// Requests for a host and path prefix, and how they are served.
struct MeshRoute {
  std::string name;
  std::string host;
  std::string prefix;       ///< Path prefix; starts and ends with a slash.
  bool idempotent = false;  ///< Requests may safely run more than once.
  bool download = false;    ///< Responses are large.
  bool upload = false;      ///< Request bodies are large.
  bool open = false;        ///< Requests need no key.
  milliseconds timeout{0};  ///< Zero: only the caller's deadline applies.
  milliseconds latency_objective{500};
  /// Maximum number of backend servers that may receive a call.
  std::uint32_t max_servers = 1;
  std::int32_t priority = 0;  ///< Urgency of calls; 0 is the most urgent.
  std::vector<RouteTarget> targets;
};

/// A service that backend servers offer.
struct MeshService {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 100;
  /// Requests per second that a cold server can take; 0: no limit.
  double cold_rate = 0;
};

/// A workspace with its keys and its rate limit.
struct MeshWorkspace {
  std::string name;
  std::optional<std::int32_t> priority;  ///< Overrides the route's priority.
  double rate = 0;                       ///< Requests per second; 0: no limit.
  double burst = 0;  ///< Size of the token bucket, in requests.
  std::vector<std::string> key_digests;  ///< SHA-256 digests, raw bytes.
};

/// Size and time limits for callers' requests.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 64U << 20;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};
};

/// The parts of a configuration as parsed, not yet checked.
struct MeshConfigParts {
  Version version;
  std::vector<MeshRoute> routes;
  std::vector<MeshService> services;
  std::vector<MeshWorkspace> workspaces;
  CallerLimits limits;
};

/// One version of the configuration. Immutable once compiled.
class MeshConfig {
 public:
  /// Checks the references between `parts` and builds the indexes.
  static Result<std::shared_ptr<const MeshConfig>> Compile(
      MeshConfigParts parts);

  const Version& version() const { return parts_.version; }
  const CallerLimits& limits() const { return parts_.limits; }
  const std::vector<MeshRoute>& routes() const { return parts_.routes; }
  const std::vector<MeshService>& services() const { return parts_.services; }
  const std::vector<MeshWorkspace>& workspaces() const {
    return parts_.workspaces;
  }
  /// Returns whether requests need the key of a workspace.
  bool has_workspaces() const { return !parts_.workspaces.empty(); }

  /// Returns whether the nodes have to control overload by themselves: without
  /// workspaces, no rates bound what callers ask for.
  bool controls_overload() const { return !has_workspaces(); }
  /// Returns whether some route has large request bodies.
  bool has_uploads() const { return has_uploads_; }

  /// Returns the route of `host` with the longest prefix that matches `path`,
  /// or null.
  const MeshRoute* FindRoute(std::string_view host,
                             std::string_view path) const;
  const MeshService* FindService(std::string_view name) const;
  /// Returns the workspace that `key` belongs to, or null.
  const MeshWorkspace* FindWorkspaceByKey(std::string_view key) const;

 private:
  using PrefixIndex = std::map<std::string, std::size_t, std::less<>>;

  Status Index();

  MeshConfigParts parts_;
  bool has_uploads_ = false;
  std::map<std::string, PrefixIndex, std::less<>> routes_;
  std::map<std::string, std::size_t, std::less<>> services_;
  std::unordered_map<std::string, std::size_t> keys_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_MESH_CONFIG_H_
