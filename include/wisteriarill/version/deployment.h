/// \file
/// The operators' description of a mesh as plain aggregates that refer to each
/// other by name.
#ifndef WISTERIARILL_VERSION_DEPLOYMENT_H_
#define WISTERIARILL_VERSION_DEPLOYMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Tokens are counted in millionths, so that shares of a rate add up exactly.
inline constexpr std::int64_t kMicroTokensPerToken = 1'000'000;

/// The file and key that a definition was read from, for diagnostics.
struct SourceLocation {
  std::string file;
  std::string key;
};

struct FailureDomainSpec {
  std::string name;
  std::string region;
  bool in_service = true;  ///< False while taken out by operators.
  SourceLocation source;
};

struct ServerSpec {
  std::string name;
  std::string failure_domain;
  std::string node_address;  ///< IP:port on which its node accepts peers.
  bool leaving = false;
  SourceLocation source;
};

struct ServiceSpec {
  std::string name;
  std::uint32_t slots = 1;       ///< Concurrency limit of a backend server.
  std::uint32_t cold_slots = 1;  ///< Concurrency limit after a cold start.
  milliseconds warmup{5000};     ///< Time to rise from cold_slots to slots.
  milliseconds timeout{2000};
  std::vector<ServerSpec> servers;
  SourceLocation source;
};

/// The priority of a call. The concurrency limiter serves lower values first.
enum class CallClass : std::uint8_t { kInternal, kInteractive, kBulk };

struct RouteSpec {
  std::string name;
  std::string host = "*";  ///< Exact host without port, or "*" for any host.
  std::string path_prefix = "/";
  std::vector<std::string> methods;  ///< All methods if empty.
  std::string service;
  std::vector<std::string> workspaces;  ///< All workspaces if empty.
  bool open = false;                    ///< Whether no API key is required.
  std::optional<bool> idempotent;  ///< If unset, RFC 9110 decides by method.
  std::optional<milliseconds> timeout;  ///< If unset, the service's timeout.
  CallClass call_class = CallClass::kInteractive;
  SourceLocation source;
};

struct WorkspaceSpec {
  std::string name;
  std::int64_t rate = 0;   ///< Micro-tokens per second, summed over all VMs.
  std::int64_t burst = 0;  ///< Micro-tokens, summed over all VMs.
  std::vector<std::string> key_digests;  ///< Hexadecimal SHA-256 of each key.
  SourceLocation source;
};

/// The whole configuration of a mesh, which is released as one unit.
struct Deployment {
  std::uint64_t number = 0;  ///< Set by operators, higher in each release.
  std::vector<FailureDomainSpec> failure_domains;
  std::vector<ServiceSpec> services;
  std::vector<RouteSpec> routes;
  std::vector<WorkspaceSpec> workspaces;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_DEPLOYMENT_H_
