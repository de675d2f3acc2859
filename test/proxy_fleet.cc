#include "proxy_fleet.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>

namespace wisteriarill::platform {
namespace {

constexpr std::uint16_t kCallerPort = 18365;
constexpr std::uint16_t kPeerPort = 18366;
constexpr std::uint16_t kReadyPort = 18369;
constexpr std::uint16_t kOperatorPort = 18370;
constexpr std::uint16_t kBeatPort = 18371;
constexpr std::uint16_t kServerPort = 18363;
constexpr int kDomains = 3;

std::string FieldOr(const HttpFields& fields, const char* name) {
  const std::string* value = FindField(fields, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

Task<void> EchoServer::Handle(ServerExchange* exchange) {
  HttpFields fields = {{"Wisteriarill-Instance-Id", instance_}};
  if (exchange->request().target == "/health")
    co_return co_await exchange->SendResponse(200, std::move(fields), "");
  ++runs;
  fields.insert(fields.end(), stated.begin(), stated.end());
  const HttpFields request = exchange->request().fields;
  arrivals.push_back({BootClock::now(), FieldOr(request, "Test-Mark")});
  fields.push_back(
      {"Wisteriarill-Attempt-Id", FieldOr(request, "Wisteriarill-Attempt-Id")});
  fields.push_back({"Wisteriarill-Response-Sig", "s"});
  if (work_time.count() > 0) co_await SleepFor(work_time);
  co_await exchange->SendResponse(200, std::move(fields), "ok");
}

ProxyFleetTest::World* ProxyFleetTest::NewWorld() {
  static auto* const worlds = new std::vector<std::unique_ptr<World>>();
  worlds->push_back(std::make_unique<World>());
  worlds->back()->network = "127.0." + std::to_string(10 + worlds->size());
  return worlds->back().get();
}

ProxyFleetTest::ProxyFleetTest(std::size_t node_count)
    : directory_(std::filesystem::temp_directory_path()) {
  std::string pattern = (directory_ / "proxy-fleet-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
  EXPECT_TRUE(store_server_.Listen(world_->network + ".250:0"));
  for (std::size_t i = 0; i < node_count; ++i) AddNode(i);
}

ProxyFleetTest::~ProxyFleetTest() {
  for (Node& node : nodes_) node.process.reset();
  loop_.stop();
  if (!HasFailure()) std::filesystem::remove_all(directory_);
}

std::string ProxyFleetTest::IpOf(std::size_t node) const {
  return world_->network + "." + std::to_string(node + 1);
}

void ProxyFleetTest::AddNode(std::size_t i) {
  const auto limits = [] { return CallerLimits(); };
  Node node;
  node.ip = IpOf(i);
  node.echo = std::make_unique<EchoServer>("i-" + std::to_string(i));
  node.server = std::make_unique<HttpServer>(&loop_, node.echo.get(), limits);
  EXPECT_TRUE(node.server->Listen(node.ip + ":" + std::to_string(kServerPort)));
  nodes_.push_back(std::move(node));
}

void ProxyFleetTest::StartNode(std::size_t i) {
  // A build of another version may be measured.
  const char* other = std::getenv("WISTERIARILL_OTHER_PROXY");
  const std::string program = other == nullptr ? WISTERIARILL_PROXY : other;
  const std::string ip = IpOf(i);
  const auto address = [&ip](std::uint16_t port) {
    return "\"" + ip + ":" + std::to_string(port) + "\"\n";
  };
  const std::string path = directory_ / ("node-" + std::to_string(i));
  std::ofstream(path + ".toml")
      << "name = \"node-" << i << "\"\nip = \"" << ip
      << "\"\nfailure_domain = \"d" << i % kDomains
      << "\"\nservice = \"booking\"\n"
      << "store = \"" << world_->network << ".250:" << store_server_.port()
      << "\"\n"
      << "backend = " << address(kServerPort)
      << "caller_listen = " << address(kCallerPort)
      << "peer_listen = " << address(kPeerPort)
      << "ready_listen = " << address(kReadyPort)
      << "operator_listen = " << address(kOperatorPort)
      << "beat_port = " << kBeatPort << "\n";
  auto process =
      ChildProcess::Start({program, "--config", path + ".toml"}, path + ".log");
  ASSERT_TRUE(process);
  nodes_[i].process = std::move(process.value());
}

void ProxyFleetTest::StartAll(const std::string& target) {
  for (std::size_t i = 0; i < nodes_.size(); ++i) StartNode(i);
  ASSERT_TRUE(RunUntil(
      [&] { return CountAnswers(target, 200) == nodes_.size(); }, seconds(20)));
  RunFor(seconds(5));
}

void ProxyFleetTest::Publish(std::uint64_t version,
                             const std::vector<std::string>& prefixes,
                             const std::vector<std::string>& keys) {
  ConfigDocument config;
  config.version = version;
  config.keys = keys;
  for (const std::string& prefix : prefixes)
    config.routes.push_back({"route" + prefix, prefix});
  store_.Put("op/config", Encode(config));
}

void ProxyFleetTest::PutServer(std::size_t i, bool draining,
                               std::uint64_t sequence,
                               std::uint64_t start_millis) {
  ServerDocument server;
  server.address = IpOf(i) + ":" + std::to_string(kServerPort);
  server.failure_domain = "d" + std::to_string(i % kDomains);
  server.draining = draining;
  server.sequence = sequence;
  server.start_millis = start_millis;
  store_.Put("servers/i-" + std::to_string(i), Encode(server));
}

bool ProxyFleetTest::RunUntil(const std::function<bool()>& done,
                              milliseconds limit) {
  const Instant end = BootClock::now() + limit;
  bool is_done = done();
  while (!is_done && BootClock::now() < end) {
    RunFor(milliseconds(20));
    is_done = done();
  }
  return is_done;
}

void ProxyFleetTest::RunFor(milliseconds time) {
  const Instant end = BootClock::now() + time;
  while (BootClock::now() < end) loop_.run_one_for(milliseconds(2));
}

Task<void> ProxyFleetTest::SendOne(std::size_t node, std::string target,
                                   std::string key, CallerResult* result) {
  result->sent = BootClock::now();
  ClientConnection connection(
      &loop_,
      ParseEndpoint(IpOf(node) + ":" + std::to_string(kCallerPort)).value());
  if (!co_await connection.Connect(milliseconds(300))) co_return;
  HttpRequest request;
  request.method = "GET";
  request.target = std::move(target);
  request.fields = {
      {"Host", "mesh"},
      {"Wisteriarill-Attempt-Id", "c" + std::to_string(++last_request_)},
      {"Wisteriarill-Deadline-Ms", "1000"},
      {kMarkField, std::to_string(node)},
      {"Authorization", "Bearer " + key}};
  const Status sent = co_await connection.Send(SerializeRequestHead(request),
                                               &request.body, seconds(1));
  if (!sent) co_return;
  const auto head = co_await connection.ReadHead(seconds(1));
  result->latency = BootClock::now() - result->sent;
  if (!head) co_return;
  result->status = head.value().status;
  const std::string* retry_after =
      FindField(head.value().fields, "Retry-After");
  if (retry_after != nullptr)
    result->retry_after_seconds = std::stod(*retry_after);
}

std::vector<int> ProxyFleetTest::AskAll(const std::string& target,
                                        const std::string& key) {
  auto results = std::make_shared<std::vector<CallerResult>>(nodes_.size());
  auto pending = std::make_shared<std::size_t>(nodes_.size());
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    SpawnTask(&loop_, "ask", [=, this]() -> Task<void> {
      co_await SendOne(i, target, key, &(*results)[i]);
      --*pending;
    });
  }
  const Instant end = BootClock::now() + seconds(3);
  while (*pending > 0 && BootClock::now() < end)
    loop_.run_one_for(milliseconds(2));
  std::vector<int> statuses;
  for (const CallerResult& result : *results) statuses.push_back(result.status);
  return statuses;
}

std::size_t ProxyFleetTest::CountAnswers(const std::string& target, int status,
                                         const std::string& key) {
  const std::vector<int> statuses = AskAll(target, key);
  return static_cast<std::size_t>(
      std::count(statuses.begin(), statuses.end(), status));
}

}  // namespace wisteriarill::platform
