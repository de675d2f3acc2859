/// \file
/// A mesh of real processes on loopback, for tests and experiments: the
/// platform stand-in, and a node and a backend stand-in for each server.
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

struct FleetOptions {
  std::string programs;   ///< Directory that holds the built programs.
  std::string directory;  ///< For logs; must exist.
  Deployment deployment;  ///< Addresses and keys are replaced.
  std::vector<std::string> node_settings;  ///< KEY=VALUE for every node.
  bool relays = false;   ///< Peers reach each other through a LinkRelay.
  int work_ms = 5;       ///< Usual time of a request at a backend server.
  int warmup_ms = 1500;  ///< Of the backend stand-ins.
  int platform_latency_ms = 2;
  /// Backend stand-ins log each request, for checks that survive a kill.
  bool log_executions = false;
};

/// One server of the fleet with its processes.
struct FleetServer {
  std::string name;
  std::string failure_domain;
  std::string node_ip;                 ///< Loopback address of its node.
  std::string caller_address;          ///< IP:port for callers.
  std::string operator_address;        ///< IP:port for operators.
  std::string peer_address;            ///< IP:port that its node listens on.
  std::string published_peer_address;  ///< IP:port that peers dial.
  std::string backend_address;         ///< IP:port of the backend stand-in.
  std::uint32_t slots = 1;
  std::optional<ChildProcess> node_process;
  std::optional<ChildProcess> backend_process;
  std::vector<std::string> backend_logs;  ///< One file for each start.
};

class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts everything and publishes the deployment.
  Status Start();
  /// Returns `deployment` with this fleet's addresses and keys put in.
  Deployment Localize(Deployment deployment) const;
  /// Publishes a deployment with this fleet's addresses and keys put in.
  Status Publish(const Deployment& deployment);
  /// Waits until every running node has `number` in force; returns how long
  /// that took, nothing on a time-out.
  std::optional<nanoseconds> WaitForVersion(std::uint64_t number,
                                            nanoseconds timeout);
  /// Waits until every running node is ready and rates are in use.
  bool WaitUntilServing(nanoseconds timeout);

  void KillNode(const std::string& name);
  Status StartNode(const std::string& name);
  void FreezeNode(const std::string& name);
  void ResumeNode(const std::string& name);
  /// Stops a node as planned; returns whether it ended well in `timeout`.
  bool StopNode(const std::string& name, nanoseconds timeout);
  void KillBackend(const std::string& name);
  Status StartBackend(const std::string& name);
  void SetPlatformMode(const std::string& mode);

  /// Returns a GET that `workspace` may make; nothing if no route allows one.
  std::optional<HttpCall> MakeCall(const std::string& workspace) const;
  /// Returns the key that the fleet gives to a workspace.
  static std::string KeyForWorkspace(const std::string& workspace);
  std::map<std::string, FleetServer>& servers() { return servers_; }
  const Deployment& deployment() const { return options_.deployment; }
  const std::string& platform_address() const { return platform_address_; }
  bool logs_executions() const { return options_.log_executions; }
  pid_t platform_pid() const { return platform_->pid(); }
  LinkRelay& relay() { return *relay_; }
  /// Returns the largest rate and burst that each workspace was given.
  const std::map<std::string, TokenRate>& largest_rates() const {
    return largest_rates_;
  }
  /// Returns the version number that a node's status shows; 0 if none.
  std::uint64_t NumberAt(const std::string& name);

 private:
  Status StartPlatform();
  void AddServers();
  bool WaitForRate(const WorkspaceSpec& workspace, Instant end);
  std::string LogPath(const std::string& name) const;

  FleetOptions options_;
  std::optional<ChildProcess> platform_;
  std::string platform_address_;
  std::map<std::string, FleetServer> servers_;
  std::unique_ptr<LinkRelay> relay_;
  std::map<std::string, TokenRate> largest_rates_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_FLEET_H_
