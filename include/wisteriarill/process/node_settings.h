/// \file
/// The settings of one node: a TOML file, and command-line flags that override
/// single keys.
#ifndef WISTERIARILL_PROCESS_NODE_SETTINGS_H_
#define WISTERIARILL_PROCESS_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "wisteriarill/process/time.h"
#include "wisteriarill/version/toml_table_reader.h"

namespace wisteriarill {

/// How nodes enforce the rate of a workspace. The names follow the values of
/// the setting `rate_policy`, which call the owner of a shard its home. All
/// but kHomes are baselines for comparison.
enum class RatePolicy {
  kHomes,       ///< Each workspace's token bucket has several shards; nodes
                ///< lease tokens from the owners of the shards.
  kOneHome,     ///< As kHomes, but with a single shard per workspace.
  kStaticSplit  ///< Each node has a fixed share of the rate.
};
/// How a node selects a backend server. kRoundRobin is a baseline for
/// comparison.
enum class RoutePolicy {
  kPowerOfTwoChoices,  ///< The less loaded of two random servers ("load").
  kRoundRobin
};

/// The settings of one node. Durations have the suffix _ms in the file.
struct NodeSettings {
  std::string name;  ///< Name of the backend server beside the node.
  std::string failure_domain;
  std::string backend;   ///< IP:port of the backend server.
  std::string platform;  ///< IP:port of the configuration service.
  std::string caller_listen = "127.0.0.1:0";
  std::string peer_listen = "127.0.0.1:0";
  std::string operator_listen = "127.0.0.1:0";
  std::vector<std::string> seeds;  ///< IP:port of the first peers to contact.
  /// Number of nodes to assume until a configuration version is known.
  std::uint32_t fleet_size = 100;
  /// Threads that serve callers; each serves one request at a time.
  std::uint32_t caller_threads = 192;
  /// A node that hears from no peer and not from the platform for this long
  /// reports itself as isolated (setting isolation_ms).
  milliseconds isolation_timeout{60000};
  /// A shard owner stops granting tokens if no platform read confirmed its
  /// configuration version for this long and it cannot reach a majority of
  /// sampled nodes either (setting part_fence_ms).
  milliseconds confirmation_timeout{180000};
  /// Draining ends once no request arrived for this long and no call is
  /// unfinished (setting drain_quiet_ms).
  milliseconds drain_quiet_period{1500};
  milliseconds drain_limit{20000};  ///< Maximum duration of draining.
  RatePolicy rate_policy = RatePolicy::kHomes;
  RoutePolicy route_policy = RoutePolicy::kPowerOfTwoChoices;
  /// False sends calls to the backend server without a concurrency limit, a
  /// baseline for comparison (setting gate).
  bool gate_enabled = true;
  bool abort_on_violation = false;  ///< Abort if an invariant is violated.
};

/// Parsed settings and the problems found in them.
struct ParsedNodeSettings {
  NodeSettings settings;
  std::vector<Diagnostic> diagnostics;
};

/// Reads settings from the TOML file at `path`; without a path, settings start
/// from the defaults. Each of `overrides` has the form KEY=VALUE and replaces
/// the value of a top-level key of the file. Problems are returned as
/// diagnostics.
ParsedNodeSettings ParseNodeSettings(const std::string& path,
                                     const std::vector<std::string>& overrides);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_NODE_SETTINGS_H_
