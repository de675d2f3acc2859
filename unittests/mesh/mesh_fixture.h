/// \file
/// Nodes of a mesh in one process, with backend servers of the test's own.
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

/// Field names that the tests' callers and servers use.
PlatformFieldNames TestDialect();

/// A decoder whose items name typed values that the test holds.
class TestDecoder : public ItemDecoder {
 public:
  ClassifiedKey Classify(const std::string& key) const override;
  Result<MeshConfigParts> DecodeConfiguration(
      const RegistryItem& item) const override;
  Result<BackendEntry> DecodeServer(const RegistryItem& item) const override;

  std::map<std::string, MeshConfigParts> configurations;  ///< By value.
  std::map<std::string, BackendEntry> servers;            ///< By value.
};

/// A backend server. It answers with its id, and remembers what ran.
class TestBackend : public RequestHandler {
 public:
  explicit TestBackend(std::string instance) : instance(std::move(instance)) {}
  Task<void> Handle(ServerExchange* exchange) override;

  std::string instance;
  milliseconds work{0};
  /// Replaces the answer if set; returns true if it did.
  std::function<Task<bool>(ServerExchange*)> misbehave;
  std::vector<HttpRequest> ran;
  int cold_left_ms = 0;
  int left_early = 0;  ///< Requests whose caller left while they ran.
};

/// An answer as a caller sees it.
struct TestAnswer {
  int status = 0;  ///< Zero: the connection ended without one.
  HttpFields fields;
  std::string body;
  bool whole = false;
};

/// One node and the backend server beside it.
struct TestNode {
  ProxySettings settings;
  std::unique_ptr<TestBackend> backend;
  std::unique_ptr<HttpServer> backend_server;
  std::unique_ptr<Proxy> proxy;
};

class MeshFixture : public ::testing::Test {
 protected:
  MeshFixture();
  ~MeshFixture() override;

  /// Adds a node on a loopback address of its own.
  TestNode* AddNode(const std::string& service, const std::string& domain);
  /// Publishes the configuration and all servers to all nodes.
  void Publish();
  /// Runs the loop until `done` or a generous time is over.
  bool RunUntil(const std::function<bool()>& done);
  /// Sends one request over a connection of its own and runs until it ends.
  TestAnswer Ask(TestNode* node, const std::string& method,
                 const std::string& target, const HttpFields& more = {},
                 const std::string& body = "");
  /// Sends raw bytes and returns what comes until the connection is quiet.
  std::string AskRaw(TestNode* node, const std::string& bytes);
  void RunFor(milliseconds time);

  /// What handlers that wait in the loop refer to; it lives until the test
  /// program ends, because either end of such a reference may go first.
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

 private:
  Task<void> AskTask(asio::ip::tcp::endpoint to, HttpRequest request,
                     TestAnswer* answer, bool* done);

  std::uint16_t peer_port_ = 0;
  std::uint16_t beat_port_ = 0;
  int last_request_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_UNITTESTS_MESH_MESH_FIXTURE_H_
