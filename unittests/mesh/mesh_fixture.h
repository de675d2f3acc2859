/// \file
/// Runs the nodes of a mesh and their backend servers in one process.
#ifndef WISTERIARILL_UNITTESTS_MESH_MESH_FIXTURE_H_
#define WISTERIARILL_UNITTESTS_MESH_MESH_FIXTURE_H_

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wisteriarill/mesh/proxy.h"

namespace wisteriarill {

/// Returns the header field names that the callers and servers of tests use.
PlatformFieldNames TestFieldNames();

/// Returns a position in the era of a store that never came back from a copy.
inline StorePosition Position(std::uint64_t revision) {
  return {kFirstEra, revision};
}

/// A decoder for items whose value is a key of the maps below.
class TestDecoder : public ItemDecoder {
 public:
  ItemStamp Stamp(const RegistryItem& item) const override;
  ClassifiedKey Classify(const std::string& key) const override;
  Result<MeshConfigParts> DecodeConfiguration(
      const RegistryItem& item) const override;
  Result<BackendEntry> DecodeServer(const RegistryItem& item) const override;

  std::map<std::string, MeshConfigParts> configurations;  ///< By item value.
  std::map<std::string, BackendEntry> servers;            ///< By item value.
  std::map<std::string, ItemStamp> server_stamps;         ///< By item value.
};

/// A backend server that responds with its instance and records the requests it
/// ran.
class TestBackend : public RequestHandler {
 public:
  explicit TestBackend(std::string instance) : instance(std::move(instance)) {}
  Task<void> Handle(ServerExchange* exchange) override;

  std::string instance;
  milliseconds processing_time{0};
  /// If set, runs before the normal response. Returns true if it answered
  /// instead.
  std::function<Task<bool>(ServerExchange*)> override_response;
  std::vector<HttpRequest> executed;
  int cold_remaining_ms = 0;
  int abandoned = 0;  ///< Requests whose client disconnected.
};

/// A response as a caller sees it.
struct TestResponse {
  int status = 0;  ///< Zero if the connection ended without a response.
  HttpFields fields;
  std::string body;
  bool body_complete = false;
};

/// One node and its local backend server.
struct TestNode {
  ProxySettings settings;
  std::unique_ptr<TestBackend> backend;
  std::unique_ptr<HttpServer> backend_server;
  std::unique_ptr<Proxy> proxy;
};

/// Runs all nodes and backend servers of a test on one event loop.
class MeshFixture : public ::testing::Test {
 protected:
  MeshFixture();
  ~MeshFixture() override;

  /// Adds a node, with its backend server, on a loopback address of its own. If
  /// `backend_address` is not empty, the node uses the server there instead.
  TestNode* AddNode(const std::string& service, const std::string& domain,
                    const std::string& backend_address = "");
  /// Makes the next revision's complete list: the configuration and the servers
  /// of all nodes.
  RegistryBatch MakeCompleteBatch();
  /// Publishes the configuration and all servers to all nodes.
  void Publish();
  /// Applies a batch to one node as if it had read it from the store.
  static void ApplyBatch(TestNode* node, const RegistryBatch& batch);
  /// Runs the event loop until `done` returns true or 20 seconds have passed.
  /// Returns the last result of `done`.
  bool RunUntil(const std::function<bool()>& done);
  /// Sends one request over a new connection and runs the event loop until the
  /// response ends.
  TestResponse SendRequest(TestNode* node, const std::string& method,
                           const std::string& target,
                           const HttpFields& extra_fields = {},
                           const std::string& body = "");
  /// Sends raw bytes and returns the bytes received until the connection closes
  /// or is silent for 300 ms.
  std::string SendRaw(TestNode* node, const std::string& bytes);
  void RunFor(milliseconds time);

  /// Objects that pending handlers of the event loop refer to. They are never
  /// destroyed while the test program runs, because handlers and objects refer
  /// to each other and neither can be destroyed first.
  struct Mesh {
    asio::io_context loop{1};
    TestDecoder decoder;
    std::vector<std::unique_ptr<TestNode>> nodes;
  };
  static Mesh* NewMesh();

  Mesh* const mesh_ = NewMesh();
  asio::io_context& loop_ = mesh_->loop;
  TestDecoder& decoder_ = mesh_->decoder;
  std::vector<std::unique_ptr<TestNode>>& nodes_ = mesh_->nodes;
  MeshConfigParts config_;
  std::uint64_t revision_ = 0;
  double memory_mb_ = 256;    ///< Of the nodes that are added.
  double retry_slack_ = 100;  ///< Of the nodes that are added.
  double link_mbps_ = 0;      ///< Of the nodes that are added.
  /// Servers in the registry beside those of the nodes.
  std::vector<BackendEntry> other_servers_;
  std::uint16_t peer_port_ = 0;
  std::uint16_t heartbeat_port_ = 0;

 private:
  Task<void> ExchangeTask(asio::ip::tcp::endpoint to, HttpRequest request,
                          TestResponse* response, bool* done);

  int last_request_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_UNITTESTS_MESH_MESH_FIXTURE_H_
