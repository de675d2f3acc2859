/// \file
/// What surrounds the nodes of a script: the store, the backend servers and
/// their entries, and the callers.
#ifndef WISTERIARILL_REVIEW_STANDIN_MESH_H_
#define WISTERIARILL_REVIEW_STANDIN_MESH_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "backend.h"
#include "entries.h"
#include "journal.h"
#include "store.h"
#include "wisteriarill/mesh/http_client.h"
#include "wisteriarill/mesh/http_server.h"

namespace wisteriarill::review {

inline constexpr const char* kService = "lookup";

/// Ports that are the same on all VMs.
struct Ports {
  std::string store;
  std::string backend;
  std::string callers;
  std::string ready;
};

/// Listens on the loopback addresses of the store and of the servers.
class Mesh {
 public:
  Mesh(asio::io_context* loop, int nodes, Ports ports, milliseconds work_time);

  /// Starts all servers; returns false if an address is not free.
  bool Listen();
  /// Writes the configuration and the entries of the servers, and from then on
  /// their heartbeats. With `open`, requests need no key.
  void Publish(const std::vector<Tenant>& tenants, bool open = false);
  /// Adds an entry that another writer keeps beside those of the servers.
  void AddForeignEntry(const std::string& name, const std::string& service,
                       const std::string& address, const std::string& zone);
  /// Waits until all nodes say that they are ready; returns false if they don't
  /// within `timeout`.
  Task<bool> AwaitReady(nanoseconds timeout);
  /// Sends requests with the key of `tenant` to every node, `per_second` each,
  /// until `end`.
  void StartCallers(const Tenant& tenant, double per_second, Instant end);

  int nodes() const { return nodes_; }
  std::string NodeIp(int node) const;
  std::string ServerAddress(int node) const;
  Journal* journal() { return &journal_; }

 private:
  struct ServerEntry {
    std::string service;
    std::string address;
    std::string zone;
  };

  Task<void> HeartbeatLoop();
  Task<void> CallerLoop(int node, Tenant tenant, nanoseconds interval,
                        Instant end);
  Task<void> Call(int node, Tenant tenant);
  Task<int> Exchange(ClientConnection* connection, HttpRequest request);
  Task<bool> IsReady(int node);
  HttpServer* Serve(RequestHandler* handler);

  asio::io_context* loop_;
  int nodes_;
  Ports ports_;
  milliseconds work_time_;
  Journal journal_{BootClock::now()};
  Store store_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::vector<std::unique_ptr<ClientConnectionPool>> callers_;
  std::map<std::string, ServerEntry> entries_;  ///< By key.
  std::uint64_t heartbeat_ = 0;
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_MESH_H_
