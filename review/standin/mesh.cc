#include "mesh.h"

#include <array>
#include <utility>

namespace wisteriarill::review {
namespace {

constexpr const char* kStoreIp = "127.77.0.1";
constexpr const char* kNodeNetwork = "127.77.1.";
constexpr std::array<const char*, 4> kZones = {"north", "east", "south",
                                               "west"};
constexpr milliseconds kHeartbeatInterval{1500};
constexpr milliseconds kReadyPollInterval{200};
constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kDeadline{2500};
constexpr milliseconds kMaxIdleTime{10000};
constexpr std::size_t kReadBytes = 4096;
constexpr int kStatusOk = 200;

}  // namespace

Mesh::Mesh(asio::io_context* loop, int nodes, Ports ports,
           milliseconds work_time)
    : loop_(loop),
      nodes_(nodes),
      ports_(std::move(ports)),
      work_time_(work_time) {
  for (int node = 1; node <= nodes_; ++node) {
    const auto callers =
        ParseEndpoint(NodeIp(node) + ":" + ports_.callers).value();
    callers_.push_back(
        std::make_unique<ClientConnectionPool>(loop_, callers, kMaxIdleTime));
  }
}

std::string Mesh::NodeIp(int node) const {
  return kNodeNetwork + std::to_string(node);
}

std::string Mesh::ServerAddress(int node) const {
  return NodeIp(node) + ":" + ports_.backend;
}

HttpServer* Mesh::Serve(RequestHandler* handler) {
  servers_.push_back(std::make_unique<HttpServer>(
      loop_, handler, [] { return CallerLimits(); }));
  return servers_.back().get();
}

bool Mesh::Listen() {
  const std::string store = std::string(kStoreIp) + ":" + ports_.store;
  if (!Serve(&store_)->Listen(store)) return false;
  for (int node = 1; node <= nodes_; ++node) {
    const std::string instance = "i-" + std::to_string(1000 + node);
    backends_.push_back(
        std::make_unique<Backend>(instance, &journal_, work_time_));
    if (!Serve(backends_.back().get())->Listen(ServerAddress(node)))
      return false;
    entries_["servers/" + instance] = {kService, ServerAddress(node),
                                       kZones[(node - 1) % kZones.size()]};
  }
  return true;
}

void Mesh::Publish(const std::vector<Tenant>& tenants, bool open) {
  store_.Put("op/config", EncodeConfig(kService, tenants, open));
  SpawnService(loop_, "heartbeats", [this] { return HeartbeatLoop(); });
}

void Mesh::AddForeignEntry(const std::string& name, const std::string& service,
                           const std::string& address,
                           const std::string& zone) {
  store_.Put("servers/" + name,
             EncodeServer(service, address, zone, heartbeat_));
  entries_["servers/" + name] = {service, address, zone};
}

Task<void> Mesh::HeartbeatLoop() {
  for (;;) {
    ++heartbeat_;
    for (const auto& [key, entry] : entries_) {
      store_.Put(key, EncodeServer(entry.service, entry.address, entry.zone,
                                   heartbeat_));
    }
    co_await SleepFor(kHeartbeatInterval);
  }
}

Task<int> Mesh::Exchange(ClientConnection* connection, HttpRequest request) {
  if (!connection->has_sent_request()) {
    const Status connected = co_await connection->Connect(kConnectTimeout);
    if (!connected) co_return 0;
  }
  const Status sent = co_await connection->Send(SerializeRequestHead(request),
                                                &request.body, kDeadline);
  if (!sent) co_return 0;
  const auto head = co_await connection->ReadHead(kDeadline);
  if (!head) co_return 0;
  std::string buffer(kReadBytes, '\0');
  for (;;) {
    const auto read =
        co_await connection->ReadBody(buffer.data(), buffer.size(), kDeadline);
    if (!read) co_return 0;
    if (read.value() == 0) co_return head.value().status;
  }
}

Task<bool> Mesh::IsReady(int node) {
  const auto address = ParseEndpoint(NodeIp(node) + ":" + ports_.ready).value();
  ClientConnection connection(loop_, address);
  HttpRequest request;
  request.method = "GET";
  request.target = "/readyz";
  request.fields.push_back({"Host", NodeIp(node)});
  const int status = co_await Exchange(&connection, std::move(request));
  co_return status == kStatusOk;
}

Task<bool> Mesh::AwaitReady(nanoseconds timeout) {
  const Instant end = BootClock::now() + timeout;
  for (int node = 1; node <= nodes_;) {
    const bool ready = co_await IsReady(node);
    if (ready) {
      ++node;
      continue;
    }
    if (BootClock::now() >= end) co_return false;
    co_await SleepFor(kReadyPollInterval);
  }
  co_return true;
}

void Mesh::StartCallers(const Tenant& tenant, double per_second, Instant end) {
  const auto interval = std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double>(1 / per_second));
  for (int node = 1; node <= nodes_; ++node) {
    SpawnTask(loop_, "caller", [this, node, tenant, interval, end] {
      return CallerLoop(node, tenant, interval, end);
    });
  }
}

Task<void> Mesh::CallerLoop(int node, Tenant tenant, nanoseconds interval,
                            Instant end) {
  Instant next = BootClock::now() + interval * node / (nodes_ + 1);
  while (next < end) {
    co_await SleepFor(next - BootClock::now());
    SpawnTask(loop_, "call",
              [this, node, tenant] { return Call(node, tenant); });
    next += interval;
  }
}

Task<void> Mesh::Call(int node, Tenant tenant) {
  const std::string id = journal_.OnSend(tenant.name, NodeIp(node));
  HttpRequest request;
  request.method = "GET";
  request.target = "/lookup/" + id;
  request.fields = {{"Host", "shop.example"},
                    {"Wisteriarill-Attempt-Id", id},
                    {"Wisteriarill-Deadline-Ms",
                     std::to_string(milliseconds(kDeadline).count())},
                    {"Authorization", "Bearer " + tenant.key}};
  ClientConnectionPool* pool =
      callers_.at(static_cast<std::size_t>(node) - 1).get();
  const std::shared_ptr<ClientConnection> connection =
      pool->Take(BootClock::now());
  const int status = co_await Exchange(connection.get(), std::move(request));
  journal_.OnAnswer(id, status);
  if (status != 0) pool->Return(connection, BootClock::now());
}

}  // namespace wisteriarill::review
