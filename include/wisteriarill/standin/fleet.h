/// \file
/// A deployment of real processes on loopback, for tests and experiments: a
/// simulated platform, and a node and a simulated backend server for each
/// server of the deployment.
#ifndef WISTERIARILL_STANDIN_FLEET_H_
#define WISTERIARILL_STANDIN_FLEET_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wisteriarill/process/error.h"
#include "wisteriarill/process/token_bucket.h"
#include "wisteriarill/standin/child_process.h"
#include "wisteriarill/standin/http_call.h"
#include "wisteriarill/standin/link_relay.h"
#include "wisteriarill/version/deployment.h"

namespace wisteriarill {

/// What to start, and how.
struct FleetOptions {
  std::string programs;   ///< Directory of the built programs.
  std::string directory;  ///< Existing directory for log files.
  Deployment deployment;  ///< Published with the addresses of the fleet.
  std::vector<std::string> node_settings;  ///< KEY=VALUE for every node.
  bool relays = false;          ///< Peer connections pass a LinkRelay.
  int work_ms = 5;              ///< Default service time of a backend server.
  int warmup_ms = 1500;         ///< Warm-up of the backend servers.
  int platform_latency_ms = 2;  ///< Time of each read from the platform.
  /// Backend servers log each request that they run, so that their executions
  /// can be checked even after a server was killed.
  bool log_executions = false;
};

/// One server of the deployment: its node and its backend server.
struct FleetServer {
  std::string name;
  std::string failure_domain;
  std::string node_ip;           ///< Loopback IP address of its node.
  std::string caller_address;    ///< IP:port at which the node serves callers.
  std::string operator_address;  ///< IP:port of the status and metrics pages.
  std::string peer_address;      ///< IP:port at which the node accepts peers.
  std::string published_peer_address;  ///< IP:port that peers dial.
  std::string backend_address;         ///< IP:port of the backend server.
  std::uint32_t slots = 1;
  std::optional<ChildProcess> node_process;
  std::optional<ChildProcess> backend_process;
  std::vector<std::string> backend_logs;  ///< One log file for each start.
};

/// Starts, stops and addresses the processes of one deployment. The processes
/// are killed when the object is destroyed.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts all processes and publishes the deployment.
  Status Start();
  /// Returns `deployment` with the peer addresses of this fleet's nodes and the
  /// keys that the fleet gives to workspaces. A workspace without keys, as
  /// after a withdrawal, gets none.
  Deployment WithFleetAddresses(Deployment deployment) const;
  /// Publishes a deployment with this fleet's addresses and keys, see
  /// WithFleetAddresses.
  Status Publish(const Deployment& deployment);
  /// Waits until every running node has configuration version `number` or a
  /// later one in force. Returns how long that took, nothing on a timeout.
  std::optional<nanoseconds> WaitForVersion(std::uint64_t number,
                                            nanoseconds timeout);
  /// Waits until every running node is ready and the first node serves a call
  /// of every workspace.
  bool WaitUntilServing(nanoseconds timeout);

  /// Kills a node with SIGKILL.
  void KillNode(const std::string& name);
  Status StartNode(const std::string& name);
  /// Suspends a node with SIGSTOP.
  void FreezeNode(const std::string& name);
  /// Resumes a suspended node with SIGCONT.
  void ResumeNode(const std::string& name);
  /// Stops a node with SIGTERM, and kills it if it has not exited in `timeout`.
  /// Returns whether it exited in time with status 0.
  bool StopNode(const std::string& name, nanoseconds timeout);
  /// Kills a backend server with SIGKILL.
  void KillBackend(const std::string& name);
  Status StartBackend(const std::string& name);
  /// Sets the mode of the simulated platform: a name for ParsePlatformMode.
  void SetPlatformMode(const std::string& mode);

  /// Returns a GET that a route allows `workspace` to make. Ignores routes that
  /// are open to all; returns nothing if no other route allows one.
  std::optional<HttpCall> MakeCall(const std::string& workspace) const;
  /// Returns the key that the fleet gives to a workspace.
  static std::string KeyForWorkspace(const std::string& workspace);
  std::map<std::string, FleetServer>& servers() { return servers_; }
  const Deployment& deployment() const { return options_.deployment; }
  const std::string& platform_address() const { return platform_address_; }
  bool logs_executions() const { return options_.log_executions; }
  pid_t platform_pid() const { return platform_process_->pid(); }
  LinkRelay& relay() { return *relay_; }
  /// Returns, by workspace, the largest rate and the largest burst of all
  /// deployments published so far.
  const std::map<std::string, TokenRate>& max_rates() const {
    return max_rates_;
  }
  /// Returns the number of the configuration version that a node's status page
  /// shows as in force; 0 if there is none.
  std::uint64_t VersionAt(const std::string& name);

 private:
  Status StartPlatform();
  void AddServers();
  bool WaitForWorkspace(const WorkspaceSpec& workspace, Instant end);
  std::string LogPath(const std::string& name) const;

  FleetOptions options_;
  std::optional<ChildProcess> platform_process_;
  std::string platform_address_;
  std::map<std::string, FleetServer> servers_;
  std::unique_ptr<LinkRelay> relay_;
  std::map<std::string, TokenRate> max_rates_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_FLEET_H_
