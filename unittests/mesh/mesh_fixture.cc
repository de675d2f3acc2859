#include "mesh_fixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <utility>

namespace wisteriarill {
namespace {

/// Maximum time that a test waits for a condition.
constexpr seconds kTestTimeout{20};

/// Returns a port that is currently free on all IPv4 addresses and that was not
/// returned before: the system may offer a port again before it is used.
std::uint16_t FreePort(asio::io_context* loop) {
  static auto* const returned = new std::set<std::uint16_t>();
  for (;;) {
    asio::ip::tcp::acceptor acceptor(
        *loop, asio::ip::tcp::endpoint(asio::ip::address_v4::any(), 0));
    const std::uint16_t port = acceptor.local_endpoint().port();
    if (returned->insert(port).second) return port;
  }
}

}  // namespace

PlatformFieldNames TestFieldNames() {
  PlatformFieldNames field_names;
  field_names.request_id = "Test-Id";
  field_names.deadline = "Test-Deadline";
  field_names.signature = "Test-Signature";
  field_names.workspace = "Test-Workspace";
  field_names.expected_instance = "Test-Expected";
  field_names.instance = "Test-Instance";
  field_names.load = "Test-Load";
  field_names.not_run = "Test-Not-Run";
  field_names.caller = "Test-Caller";
  field_names.cold_remaining = "Test-Cold";
  field_names.rate_limit = "Test-Limit";
  field_names.leaving = "Test-Leaving";
  return field_names;
}

ClassifiedKey TestDecoder::Classify(const std::string& key) const {
  if (key == "config") return {ItemKind::kConfiguration, ""};
  if (key.starts_with("out/")) return {ItemKind::kEvacuation, key.substr(4)};
  return {ItemKind::kServer, key};
}

ItemStamp TestDecoder::Stamp(const RegistryItem& item) const {
  ItemStamp stamp;
  stamp.kind = Classify(item.key).kind;
  const auto config = configurations.find(item.value);
  if (stamp.kind == ItemKind::kConfiguration && config != configurations.end())
    stamp.start = config->second.version.number;
  const auto server = server_stamps.find(item.value);
  if (server != server_stamps.end()) stamp = server->second;
  return stamp;
}

Result<MeshConfigParts> TestDecoder::DecodeConfiguration(
    const RegistryItem& item) const {
  const auto found = configurations.find(item.value);
  if (found != configurations.end()) return found->second;
  return MakeError(ErrorKind::kInvalidConfiguration, "unreadable",
                   "add the item value to the test decoder");
}

Result<BackendEntry> TestDecoder::DecodeServer(const RegistryItem& item) const {
  const auto found = servers.find(item.value);
  if (found == servers.end()) {
    return MakeError(ErrorKind::kInvalidConfiguration, "unreadable",
                     "add the item value to the test decoder");
  }
  BackendEntry entry = found->second;
  entry.position = item.position;
  return entry;
}

Task<void> TestBackend::Handle(ServerExchange* exchange) {
  HttpFields fields;
  HttpRequest request = exchange->request();
  if (request.target == "/health") {
    fields.push_back({"Test-Instance", instance});
    fields.push_back({"Test-Cold", std::to_string(cold_remaining_ms)});
    co_return co_await exchange->SendResponse(200, std::move(fields), "");
  }
  const std::string* expected = FindField(request.fields, "Test-Expected");
  if (expected != nullptr && *expected != instance) {
    fields.push_back({"Test-Instance", instance});
    co_return co_await exchange->SendResponse(421, std::move(fields), "");
  }
  executed.push_back(request);
  if (processing_time.count() > 0) {
    bool disconnected = false;
    exchange->OnDisconnect([&disconnected] { disconnected = true; });
    const Instant until = BootClock::now() + processing_time;
    while (BootClock::now() < until && !disconnected)
      co_await SleepFor(milliseconds(1));
    exchange->OnDisconnect(nullptr);
    if (disconnected) {
      ++abandoned;
      co_return;
    }
  }
  if (override_response) {
    const bool handled = co_await override_response(exchange);
    if (handled) co_return;
  }
  fields.push_back({"Test-Signature", "s"});
  fields.push_back({"Test-Id", *FindField(request.fields, "Test-Id")});
  co_await exchange->SendResponse(200, std::move(fields), "from " + instance);
}

MeshFixture::Mesh* MeshFixture::NewMesh() {
  static auto* const meshes = new std::vector<std::unique_ptr<Mesh>>();
  meshes->push_back(std::make_unique<Mesh>());
  return meshes->back().get();
}

MeshFixture::MeshFixture() {
  peer_port_ = FreePort(&loop_);
  heartbeat_port_ = FreePort(&loop_);
  config_.version = {1, 1};
  config_.services = {{"booking", "/health", 100, 0},
                      {"depot", "/health", 100, 0}};
  MeshRoute route;
  route.name = "open";
  route.host = "mesh";
  route.prefix = "/open/";
  route.idempotent = true;
  route.open = true;
  route.max_servers = 2;
  route.timeout = milliseconds(3000);
  route.targets = {{"booking", 1}};
  config_.routes.push_back(route);
  route.name = "once";
  route.prefix = "/once/";
  route.idempotent = false;
  config_.routes.push_back(route);
}

MeshFixture::~MeshFixture() { loop_.stop(); }

TestNode* MeshFixture::AddNode(const std::string& service,
                               const std::string& domain,
                               const std::string& backend_address) {
  auto node = std::make_unique<TestNode>();
  const std::string ip = "127.0.7." + std::to_string(nodes_.size() + 1);
  const auto default_limits = [] { return CallerLimits(); };
  node->backend =
      std::make_unique<TestBackend>("i-" + std::to_string(nodes_.size() + 1));
  node->backend_server =
      std::make_unique<HttpServer>(&loop_, node->backend.get(), default_limits);
  EXPECT_TRUE(node->backend_server->Listen(ip + ":0"));
  ProxySettings& settings = node->settings;
  settings.name = "node-" + std::to_string(nodes_.size() + 1);
  settings.ip = ip;
  settings.failure_domain = domain;
  settings.service = service;
  settings.backend = ip + ":" + std::to_string(node->backend_server->port());
  if (!backend_address.empty()) settings.backend = backend_address;
  settings.store = ip + ":1";
  settings.peer_listen = ip + ":" + std::to_string(peer_port_);
  settings.beat_port = heartbeat_port_;
  settings.caller_listen = ip + ":" + std::to_string(FreePort(&loop_));
  settings.ready_listen = ip + ":" + std::to_string(FreePort(&loop_));
  settings.operator_listen = ip + ":" + std::to_string(FreePort(&loop_));
  settings.retry_slack = retry_slack_;
  settings.memory_mb = memory_mb_;
  settings.link_mbps = link_mbps_;
  node->proxy =
      std::make_unique<Proxy>(&loop_, settings, TestFieldNames(), &decoder_);
  EXPECT_TRUE(node->proxy->Start());
  nodes_.push_back(std::move(node));
  return nodes_.back().get();
}

RegistryBatch MeshFixture::MakeCompleteBatch() {
  RegistryBatch batch;
  batch.complete = true;
  batch.position = Position(++revision_);
  const std::string stamp = std::to_string(revision_);
  config_.version = {revision_, revision_};
  decoder_.configurations[stamp] = config_;
  batch.items.push_back({"config", stamp, Position(revision_), false});
  std::vector<BackendEntry> entries = other_servers_;
  for (const auto& node : nodes_) {
    BackendEntry entry;
    entry.instance = node->backend->instance;
    entry.service = node->settings.service;
    entry.ip = node->settings.ip;
    entry.address = node->settings.backend;
    entry.failure_domain = node->settings.failure_domain;
    entry.slots = 4;
    entries.push_back(std::move(entry));
  }
  for (const BackendEntry& entry : entries) {
    const std::string value = entry.instance + "@" + stamp;
    decoder_.servers[value] = entry;
    batch.items.push_back({entry.instance, value, Position(revision_), false});
  }
  return batch;
}

void MeshFixture::Publish() {
  const RegistryBatch batch = MakeCompleteBatch();
  for (const auto& node : nodes_) {
    node->proxy->registry()->SetConfirmed();
    ApplyBatch(node.get(), batch);
  }
  // Wait until the nodes have applied it and probed each other.
  RunFor(milliseconds(300));
}

void MeshFixture::ApplyBatch(TestNode* node, const RegistryBatch& batch) {
  node->proxy->registry()->Apply(batch, RegistrySource::kStore, "test");
}

bool MeshFixture::RunUntil(const std::function<bool()>& done) {
  const Instant until = BootClock::now() + kTestTimeout;
  while (!done() && BootClock::now() < until) {
    loop_.run_one_for(milliseconds(5));
  }
  return done();
}

void MeshFixture::RunFor(milliseconds time) {
  const Instant until = BootClock::now() + time;
  while (BootClock::now() < until) loop_.run_one_for(milliseconds(1));
}

Task<void> MeshFixture::ExchangeTask(asio::ip::tcp::endpoint to,
                                     HttpRequest request,
                                     TestResponse* response, bool* done) {
  ClientConnection connection(&loop_, std::move(to));
  const Status connected = co_await connection.Connect(seconds(5));
  EXPECT_TRUE(connected);
  const Status sent = co_await connection.Send(SerializeRequestHead(request),
                                               &request.body, seconds(5));
  EXPECT_TRUE(sent);
  const auto head = co_await connection.ReadHead(seconds(15));
  if (head) {
    response->status = head.value().status;
    response->fields = head.value().fields;
    std::string chunk(4096, '\0');
    for (;;) {
      const auto read =
          co_await connection.ReadBody(chunk.data(), chunk.size(), seconds(15));
      if (!read) break;
      response->body_complete = read.value() == 0;
      if (response->body_complete) break;
      response->body.append(chunk, 0, read.value());
    }
  }
  *done = true;
}

TestResponse MeshFixture::SendRequest(TestNode* node, const std::string& method,
                                      const std::string& target,
                                      const HttpFields& extra_fields,
                                      const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  request.fields = {{"Host", "mesh"},
                    {"Test-Id", "r" + std::to_string(++last_request_)},
                    {"Test-Deadline", "5000"}};
  for (const HttpField& field : extra_fields) {
    SetField(&request.fields, field.name, field.value);
  }
  TestResponse response;
  bool done = false;
  const auto to = ParseEndpoint(node->settings.caller_listen).value();
  asio::co_spawn(loop_, ExchangeTask(to, std::move(request), &response, &done),
                 asio::detached);
  EXPECT_TRUE(RunUntil([&done] { return done; }));
  return response;
}

std::string MeshFixture::SendRaw(TestNode* node, const std::string& bytes) {
  asio::ip::tcp::socket socket(loop_);
  const auto to = ParseEndpoint(node->settings.caller_listen).value();
  socket.connect(to);
  asio::write(socket, asio::buffer(bytes));
  socket.non_blocking(true);
  std::string received;
  Instant quiet_since = BootClock::now();
  while (BootClock::now() < quiet_since + milliseconds(300)) {
    loop_.run_one_for(milliseconds(2));
    char chunk[4096];
    error_code error;
    const std::size_t read = socket.read_some(asio::buffer(chunk), error);
    if (error == asio::error::eof) break;
    if (read > 0) quiet_since = BootClock::now();
    received.append(chunk, read);
  }
  return received;
}

}  // namespace wisteriarill
