/// \file
/// The settings of one node: TOML, with flags that override single keys.
#ifndef WISTERIARILL_PROCESS_NODE_SETTINGS_H_
#define WISTERIARILL_PROCESS_NODE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "wisteriarill/process/time.h"
#include "wisteriarill/version/toml_table_reader.h"

namespace wisteriarill {

/// Which policies a node runs; all but the defaults are baselines.
enum class RatePolicy { kHomes, kOneHome, kStaticSplit };
enum class RoutePolicy { kLoad, kRoundRobin };

struct NodeSettings {
  std::string name;  ///< Of the backend server beside the node.
  std::string failure_domain;
  std::string backend;   ///< IP:port of the backend server.
  std::string platform;  ///< IP:port of the configuration service.
  std::string caller_listen = "127.0.0.1:0";
  std::string peer_listen = "127.0.0.1:0";
  std::string operator_listen = "127.0.0.1:0";
  std::vector<std::string> seeds;
  std::uint32_t fleet_size = 100;
  std::uint32_t caller_threads = 192;
  milliseconds isolation{60000};
  milliseconds confirmation_timeout{180000};
  milliseconds drain_quiet{1500};
  milliseconds drain_limit{20000};
  RatePolicy rate_policy = RatePolicy::kHomes;
  RoutePolicy route_policy = RoutePolicy::kLoad;
  bool gate_enabled = true;
  bool abort_on_violation = false;
};

/// Settings and what is wrong with them.
struct ParsedNodeSettings {
  NodeSettings settings;
  std::vector<Diagnostic> diagnostics;
};

/// Reads settings from `path`; an empty path gives the defaults. `overrides`
/// holds KEY=VALUE texts, each a TOML assignment that replaces the file's.
ParsedNodeSettings ParseNodeSettings(const std::string& path,
                                     const std::vector<std::string>& overrides);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_NODE_SETTINGS_H_
