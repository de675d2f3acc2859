/// \file
/// The operators' description of a mesh as plain aggregates, before any
/// reference between them is resolved.
#ifndef WISTERIARILL_VERSION_DEPLOYMENT_H_
#define WISTERIARILL_VERSION_DEPLOYMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Tokens are counted in millionths, so that rates add up exactly.
inline constexpr std::int64_t kMicroTokensPerToken = 1'000'000;

/// Where a definition was read from, for messages.
struct SourceLocation {
  std::string file;
  std::string key;
};

struct FailureDomainSpec {
  std::string name;
  std::string region;
  bool in_service = true;  ///< False while operators have taken it out.
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
  std::uint32_t slots = 1;       ///< Requests a backend server runs at once.
  std::uint32_t cold_slots = 1;  ///< The same right after a cold start.
  milliseconds warmup{5000};     ///< From cold_slots to slots.
  milliseconds timeout{2000};
  std::vector<ServerSpec> servers;
  SourceLocation source;
};

/// How urgent a call is. Lower values go first at a gate.
enum class CallClass : std::uint8_t { kInternal, kInteractive, kBulk };

struct RouteSpec {
  std::string name;
  std::string host = "*";  ///< Exact host without port, or "*".
  std::string path_prefix = "/";
  std::vector<std::string> methods;  ///< Empty: all methods.
  std::string service;
  std::vector<std::string> workspaces;  ///< Empty: all workspaces.
  bool open = false;                    ///< True: no key is asked for.
  std::optional<bool> idempotent;       ///< Unset: by method, RFC 9110.
  std::optional<milliseconds> timeout;  ///< Unset: the service's.
  CallClass call_class = CallClass::kInteractive;
  SourceLocation source;
};

struct WorkspaceSpec {
  std::string name;
  std::int64_t rate = 0;   ///< Micro-tokens a second, over all VMs.
  std::int64_t burst = 0;  ///< Micro-tokens, over all VMs.
  std::vector<std::string> key_digests;  ///< SHA-256, hexadecimal.
  SourceLocation source;
};

/// Everything operators describe, as one unit.
struct Deployment {
  std::uint64_t number = 0;
  std::vector<FailureDomainSpec> failure_domains;
  std::vector<ServiceSpec> services;
  std::vector<RouteSpec> routes;
  std::vector<WorkspaceSpec> workspaces;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_DEPLOYMENT_H_
