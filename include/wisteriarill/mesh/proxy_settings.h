/// \file
/// Settings of one wisteriaproxy node, read from a TOML file. The platform
/// publishes the configuration and the servers.
#ifndef WISTERIARILL_MESH_PROXY_SETTINGS_H_
#define WISTERIARILL_MESH_PROXY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "wisteriarill/process/error.h"
#include "wisteriarill/process/time.h"
#include "wisteriarill/version/toml_table_reader.h"

namespace wisteriarill {

/// The fields have the names of their keys in the file.
struct ProxySettings {
  std::string name;
  std::string ip;
  std::string failure_domain;
  std::string service;  ///< Service of the backend server beside the node.
  std::string backend;  ///< IP:port of that server.
  std::string store;    ///< IP:port of the platform's store.
  std::string caller_listen;
  std::string peer_listen;
  std::string ready_listen;
  std::string operator_listen;
  /// UDP port for datagrams between nodes; the same at all nodes.
  std::uint16_t beat_port = 0;

  milliseconds stop_grace{6000};  ///< Time from SIGTERM to SIGKILL.
  /// Time within which a published change must be in force at all nodes.
  milliseconds propagation_bound{2000};
  double retry_ratio = 0.2;  ///< Retries for each first attempt.
  milliseconds retry_window{10000};
  double retry_slack = 0;     ///< Additional retries in a window, fleet-wide.
  double rate_tolerance = 0;  ///< Fraction by which a rate may be exceeded.
  /// Requests by which a workspace may exceed its rate in any `rate_window`.
  double rate_slack = 0;
  milliseconds rate_window{5000};
  /// Multiple of its cold rate that a cold server takes.
  double cold_over = 1;
  double link_mbps = 0;    ///< Rate of the VM's link in Mbit/s; 0: unknown.
  double memory_mb = 256;  ///< Memory that the process may use, in MiB.
  double cold_slack = 0;   ///< Requests per second on top of `cold_over`.
};

/// Settings and the problems found in them.
struct ParsedProxySettings {
  ProxySettings settings;
  std::vector<Diagnostic> diagnostics;
};

/// Reads settings from the TOML file at `path`.
ParsedProxySettings ParseProxySettings(const std::string& path);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PROXY_SETTINGS_H_
