/// \file
/// A small deployment: the store, upstreams with their nodes, and what the
/// platform does with them.
#ifndef WISTERIARILL_REVIEW_STANDIN_3_MESH_H_
#define WISTERIARILL_REVIEW_STANDIN_3_MESH_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "documents.h"
#include "process.h"
#include "record.h"
#include "store.h"

namespace wisteriarill::review {

/// What an upstream does; see upstream_main.cc.
struct UpstreamBehavior {
  milliseconds work{5};
  int pieces = 1;
  std::size_t body_bytes = 100;
};

/// One machine: an upstream and its node.
struct Machine {
  std::string name;
  std::string ip;
  std::string zone;
  std::string service;
  std::string instance;
  UpstreamBehavior behavior;
  int slots = 12;
  ChildProcess upstream;
  ChildProcess node;
  /// Whether the platform's readiness questions let clients send work.
  std::atomic<bool> takes_clients{false};
};

/// The run of one upstream.
struct Run {
  Instant at;
  std::string id;
  std::string instance;
};

struct MeshOptions {
  std::string directory;  ///< For settings and logs.
  std::string program;    ///< The node's program.
  std::string upstream;   ///< The upstream stand-in's program.
  std::uint16_t first_port = 21000;
};

/// Starts the machines and asks their nodes once a second whether they are
/// ready. Two misses in a row keep clients away until the next 200.
class Mesh {
 public:
  Mesh(MeshOptions options, Record* record);

  /// Adds a machine; call before Start.
  Machine* Add(const std::string& zone, const std::string& service,
               const UpstreamBehavior& behavior, int slots);
  /// Opens the store. Items can be written from now on. `replica_lags`: see
  /// Store.
  bool OpenStore(std::vector<milliseconds> replica_lags = {});
  /// Writes a configuration to the store.
  void Publish(const Configuration& configuration);
  /// Writes the entries of all upstreams to the store.
  void Register();
  /// Starts all machines and waits until all are ready. Call after Register.
  bool Start();
  void StartNode(Machine* machine);
  /// Asks all nodes whether they are ready, and repeats it every second.
  void WatchReadiness();
  /// Returns whether the node responds that it is ready.
  bool IsReady(const Machine& machine) const;

  Store& store() { return *store_; }
  std::vector<std::unique_ptr<Machine>>& machines() { return machines_; }
  Endpoint Outbound(const Machine& machine) const {
    return {machine.ip, outbound_port_};
  }
  /// Returns the runs that all upstreams have logged, in order of time.
  std::vector<Run> ReadRuns() const;

 private:
  bool ChoosePorts();
  std::string SettingsText(const Machine& machine) const;
  std::string FileOf(const Machine& machine, const std::string& kind) const;
  Endpoint AppAddress(const Machine& machine) const {
    return {machine.ip, app_port_};
  }
  void StartUpstream(Machine* machine) const;

  MeshOptions options_;
  Record* record_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Machine>> machines_;
  Endpoint store_endpoint_;
  std::uint16_t app_port_ = 0;
  std::uint16_t inbound_port_ = 0;
  std::uint16_t outbound_port_ = 0;
  std::uint16_t ready_port_ = 0;
  std::uint16_t operator_port_ = 0;
  std::uint16_t beat_port_ = 0;
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_3_MESH_H_
