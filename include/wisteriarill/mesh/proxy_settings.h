/// \file
/// The settings of one node on a platform that publishes the configuration
/// and the servers: TOML.
#ifndef WISTERIARILL_MESH_PROXY_SETTINGS_H_
#define WISTERIARILL_MESH_PROXY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "wisteriarill/process/error.h"
#include "wisteriarill/process/time.h"
#include "wisteriarill/version/toml_table_reader.h"

namespace wisteriarill {

struct ProxySettings {
  std::string name;
  std::string ip;
  std::string failure_domain;
  std::string service;  ///< Of the backend server beside the node.
  std::string backend;  ///< IP:port of that server.
  std::string store;    ///< IP:port of the platform's store.
  std::string caller_listen;
  std::string peer_listen;
  std::string ready_listen;
  std::string operator_listen;
  std::uint16_t beat_port = 0;  ///< UDP, the same at all nodes.

  milliseconds stop_grace{6000};  ///< From SIGTERM to the kill.
  double retry_ratio = 0.2;       ///< Second attempts for each first one.
  milliseconds retry_window{10000};
  double retry_slack = 0;     ///< Second attempts in a window, fleet-wide.
  double rate_tolerance = 0;  ///< Part of a rate that may be exceeded.
  double cold_over = 1;       ///< Times its rate that a cold server bears.
  double link_mbps = 0;       ///< Of the VM's own link; 0: not known.
  double cold_slack = 0;      ///< Requests beyond that in a second.
};

struct ParsedProxySettings {
  ProxySettings settings;
  std::vector<Diagnostic> diagnostics;
};

/// Reads settings from the TOML file at `path`.
ParsedProxySettings ParseProxySettings(const std::string& path);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PROXY_SETTINGS_H_
