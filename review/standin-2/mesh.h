/// \file
/// A small deployment on loopback addresses: the store, backend servers with
/// their nodes as processes, and callers.
#ifndef WISTERIARILL_REVIEW_STANDIN_2_MESH_H_
#define WISTERIARILL_REVIEW_STANDIN_2_MESH_H_

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "backend.h"
#include "relay.h"
#include "store.h"

namespace wisteriarill::review {

/// A route of the configuration.
struct RouteSpec {
  std::string name;
  std::string prefix;
  std::string service;
  std::string kind = "idempotent";
  milliseconds timeout{2500};
  milliseconds objective{400};
  bool open = false;  ///< Requests need no key.
};

/// A tenant of the configuration.
struct TenantSpec {
  std::string name;
  std::vector<std::string> keys;
  unsigned rate = 0;   ///< Requests per second; 0: no limit.
  unsigned burst = 0;  ///< Requests.
};

/// A version of the configuration.
struct ConfigSpec {
  unsigned version = 1;
  std::vector<std::string> services;
  std::vector<RouteSpec> routes;
  std::vector<TenantSpec> tenants;
};

/// Returns the item value of `config`.
std::string EncodeConfig(const ConfigSpec& config);

/// Host of all routes.
inline constexpr const char* kHost = "mesh.example";

struct NodeOptions {
  std::string service;
  std::string zone;
  BackendBehavior backend;
  bool relay_peers = false;  ///< Peers reach the node through a relay.
};

/// One backend server and the node beside it.
struct Node {
  std::string name;
  NodeOptions options;
  Address callers;
  Address ready;
  std::unique_ptr<Backend> backend;
  Relay peer_relay;
  std::string settings_path;
  std::string log_path;
  pid_t process = -1;
};

/// A response as a caller sees it.
struct Response {
  int status = 0;  ///< Zero: none before the caller's time limit.
  std::string signature;
  std::string body;
  bool complete = false;
  milliseconds elapsed{0};
};

struct Request {
  std::string method = "GET";
  std::string target;
  std::string key;
  std::string body;
  /// The head is filled up to this length. Zero: it is as short as it can be.
  std::size_t head_bytes = 0;
  milliseconds time_limit{2500};
  /// How long the caller listens. Zero: for its time limit.
  milliseconds listens{0};
};

/// Call KillAllNodes before the process ends.
class Mesh {
 public:
  /// `folder` holds settings and logs.
  Mesh(std::string folder, Record* record);
  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  /// Adds a backend server with its node, and registers the server.
  Node* AddNode(const NodeOptions& options);
  void StartNode(Node* node);
  /// Kills the node's process.
  void KillNode(Node* node);
  void KillAllNodes();
  void Publish(const ConfigSpec& config);
  /// Waits until all nodes are ready.
  void WaitUntilReady();
  bool IsReady(const Node& node);
  /// Sends a request to a node over a new connection. Sets `id` to its id.
  Response Send(const Node& node, const Request& request, std::string* id);
  /// Returns the run of a request at any server.
  std::optional<Run> FindRun(const std::string& id);

  Store& store() { return store_; }
  std::vector<std::unique_ptr<Node>>& nodes() { return nodes_; }

 private:
  void WriteSettings(const Node& node, int number);
  std::string NextId();

  const std::string folder_;
  Record* record_;
  Store store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::atomic<unsigned> last_id_{0};
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_2_MESH_H_
