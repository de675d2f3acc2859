/// \file
/// A test fixture with real nodes on the users' platform. The store, the
/// backend servers and the callers run on the test's own event loop.
#ifndef WISTERIARILL_TEST_PROXY_FLEET_H_
#define WISTERIARILL_TEST_PROXY_FLEET_H_

#include <gtest/gtest.h>

#include <deque>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "documents.h"
#include "standin_store.h"
#include "wisteriarill/mesh/http_client.h"
#include "wisteriarill/standin/child_process.h"

namespace wisteriarill::platform {

/// Answers like a backend server, and counts what it runs.
class EchoServer : public RequestHandler {
 public:
  explicit EchoServer(std::string instance) : instance_(std::move(instance)) {}

  Task<void> Handle(ServerExchange* exchange) override;

  int runs = 0;
  milliseconds work_time{0};
  HttpFields stated;  ///< Additional fields of its responses to calls.
  /// When each request arrived, and the caller's mark that it bore.
  struct Arrival {
    Instant at;
    std::string mark;
  };
  std::deque<Arrival> arrivals;

 private:
  std::string instance_;
};

/// One node's process and the server beside it.
struct Node {
  std::string ip;
  std::unique_ptr<EchoServer> echo;
  std::unique_ptr<HttpServer> server;
  std::optional<ChildProcess> process;
};

/// Result of one request; status 0: no answer.
struct CallerResult {
  int status = 0;
  Instant sent;
  nanoseconds latency{0};
  std::optional<double> retry_after_seconds;
};

/// Starts the nodes of one service in a temporary directory, which is kept if
/// the test fails.
class ProxyFleetTest : public testing::Test {
 protected:
  explicit ProxyFleetTest(std::size_t node_count);
  ~ProxyFleetTest() override;

  static constexpr const char* kKeptKey = "kept-key";
  /// Header field by which a request names the node that got it first.
  static constexpr const char* kMarkField = "Test-Mark";

  std::string IpOf(std::size_t node) const;
  void StartNode(std::size_t node);
  /// Starts all nodes and waits until each serves `target`.
  void StartAll(const std::string& target);
  void Publish(std::uint64_t version, const std::vector<std::string>& prefixes,
               const std::vector<std::string>& keys);
  void PutServer(std::size_t node, bool draining, std::uint64_t sequence,
                 std::uint64_t start_millis = 1);
  bool RunUntil(const std::function<bool()>& done, milliseconds limit);
  void RunFor(milliseconds time);
  /// Sends one request to a node.
  Task<void> SendOne(std::size_t node, std::string target, std::string key,
                     CallerResult* result);
  /// Sends one request to each node and returns the statuses.
  std::vector<int> AskAll(const std::string& target,
                          const std::string& key = kKeptKey);
  std::size_t CountAnswers(const std::string& target, int status,
                           const std::string& key = kKeptKey);

  /// What pending handlers of the event loop refer to. Never destroyed, because
  /// handlers and objects refer to each other and neither can be destroyed
  /// first.
  struct World {
    asio::io_context loop{1};
    StandinStore store;
    HttpServer store_server{&loop, &store, [] { return CallerLimits(); }};
    std::vector<Node> nodes;
    std::string network;  ///< First three numbers of all addresses.
  };

  static World* NewWorld();

  World* const world_ = NewWorld();
  asio::io_context& loop_ = world_->loop;
  StandinStore& store_ = world_->store;
  HttpServer& store_server_ = world_->store_server;
  std::vector<Node>& nodes_ = world_->nodes;
  std::filesystem::path directory_;

 private:
  void AddNode(std::size_t node);

  int last_request_ = 0;
};

}  // namespace wisteriarill::platform

#endif  // WISTERIARILL_TEST_PROXY_FLEET_H_
