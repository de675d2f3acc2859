#include "mesh.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <msgpack.hpp>
#include <thread>
#include <utility>

namespace wisteriarill::review {
namespace {

constexpr std::uint16_t kCallerPort = 18365;
constexpr std::uint16_t kPeerPort = 18366;
constexpr std::uint16_t kReadyPort = 18369;
constexpr std::uint16_t kBackendPort = 18363;
constexpr std::uint16_t kStorePort = 18362;
constexpr std::uint16_t kOperatorPort = 17780;
constexpr std::uint16_t kDatagramPort = 17795;
constexpr int kFirstNetwork = 36;
constexpr int kNetworks = 200;
constexpr unsigned kSlots = 12;
constexpr milliseconds kStartTimeout{30000};
constexpr milliseconds kReadyTimeout{500};
constexpr milliseconds kPollInterval{100};
constexpr const char* kProgram = "target/wisteriaproxy";

using Packer = msgpack::packer<msgpack::sbuffer>;

std::string DurationText(milliseconds time) {
  return std::to_string(time.count()) + "ms";
}

/// Returns the second byte of a loopback network that no other trial uses. The
/// network is taken by a listening socket that stays open until the process
/// ends.
int ClaimNetwork() {
  const int first = getpid() % kNetworks;
  for (int i = 0; i < kNetworks; ++i) {
    const int network = kFirstNetwork + (first + i) % kNetworks;
    Socket lock =
        TryListen({"127." + std::to_string(network) + ".0.1", kStorePort});
    if (!lock.valid()) continue;
    lock.Release();
    return network;
  }
  CannotRun("no free loopback network");
}

/// Address number `number` of the subnet `subnet`.
Address LoopbackAddress(int subnet, int number, std::uint16_t port) {
  static const int kNetwork = ClaimNetwork();
  return {"127." + std::to_string(kNetwork) + "." + std::to_string(subnet) +
              "." + std::to_string(number),
          port};
}

void PackText(Packer* packer, const char* name, const std::string& value) {
  packer->pack(std::string(name));
  packer->pack(value);
}

void PackNumber(Packer* packer, const char* name, std::uint64_t value) {
  packer->pack(std::string(name));
  packer->pack(value);
}

/// Packs the start of a resource, up to the fields of its Spec.
void BeginResource(Packer* packer, const char* type, const std::string& name,
                   std::uint32_t fields) {
  packer->pack_map(3);
  PackText(packer, "ResourceType", type);
  packer->pack(std::string("Metadata"));
  packer->pack_map(1);
  PackText(packer, "Name", name);
  packer->pack(std::string("Spec"));
  packer->pack_map(fields);
}

void PackRoute(Packer* packer, const RouteSpec& route) {
  BeginResource(packer, "Routes", route.name, 9);
  PackText(packer, "Host", kHost);
  PackText(packer, "Prefix", route.prefix);
  PackText(packer, "Kind", route.kind);
  PackText(packer, "Timeout", DurationText(route.timeout));
  PackText(packer, "Slo", DurationText(route.objective));
  PackNumber(packer, "Priority", 1);
  PackText(packer, "Service", route.service);
  PackNumber(packer, "Attempts", 2);
  packer->pack(std::string("NoAuth"));
  packer->pack(route.open);
}

void PackService(Packer* packer, const std::string& service) {
  BeginResource(packer, "Services", service, 4);
  PackText(packer, "HealthPath", "/health");
  PackNumber(packer, "MaxConns", 130);
  PackText(packer, "Cold", "3s");
  packer->pack(std::string("ColdPerS"));
  packer->pack(23.0);
}

void PackTenant(Packer* packer, const TenantSpec& tenant) {
  BeginResource(packer, "Tenants", tenant.name, 4);
  packer->pack(std::string("ApiKeys"));
  packer->pack(tenant.keys);
  PackNumber(packer, "Priority", 1);
  PackNumber(packer, "RatePerS", tenant.rate);
  PackNumber(packer, "Burst", tenant.burst);
}

void PackLimits(Packer* packer) {
  BeginResource(packer, "Limits", "limits", 4);
  PackNumber(packer, "MaxHeaderBytes", 16384);
  PackNumber(packer, "MaxBodyBytes", 67108864);
  PackText(packer, "HeaderTimeout", "3000ms");
  PackText(packer, "IdleTimeout", "15000ms");
}

std::string EncodeServer(const Node& node, const Address& address) {
  msgpack::sbuffer value;
  Packer packer(value);
  packer.pack_map(8);
  PackText(&packer, "Service", node.options.service);
  PackText(&packer, "Addr", address.ToString());
  PackText(&packer, "Zone", node.options.zone);
  PackText(&packer, "Version", "v1");
  PackNumber(&packer, "Slots", kSlots);
  PackText(&packer, "State", "ready");
  PackText(&packer, "ColdLeft", "0ms");
  PackNumber(&packer, "Seq", 1);
  return {value.data(), value.size()};
}

std::string SerializeRequest(const Request& request, const std::string& id) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  text += std::string("Host: ") + kHost + "\r\n";
  text += "Wisteriarill-Attempt-Id: " + id + "\r\n";
  text += "Wisteriarill-Deadline-Ms: " +
          std::to_string(request.time_limit.count()) + "\r\n";
  if (!request.key.empty())
    text += "Authorization: Bearer " + request.key + "\r\n";
  if (!request.body.empty())
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  if (request.head_bytes > 0) {
    const std::string name = "X-Trace: ";
    const std::size_t others = text.size() + name.size() + 4;
    text += name + std::string(request.head_bytes - others, 't') + "\r\n";
  }
  return text + "\r\n" + request.body;
}

}  // namespace

std::string EncodeConfig(const ConfigSpec& config) {
  msgpack::sbuffer value;
  Packer packer(value);
  packer.pack_map(2);
  PackNumber(&packer, "Version", config.version);
  packer.pack(std::string("Resources"));
  packer.pack_array(static_cast<std::uint32_t>(config.routes.size() +
                                               config.services.size() +
                                               config.tenants.size() + 1));
  for (const RouteSpec& route : config.routes) PackRoute(&packer, route);
  for (const std::string& service : config.services)
    PackService(&packer, service);
  for (const TenantSpec& tenant : config.tenants) PackTenant(&packer, tenant);
  PackLimits(&packer);
  return {value.data(), value.size()};
}

Mesh::Mesh(std::string folder, Record* record)
    : folder_(std::move(folder)), record_(record), store_(record) {}

void Mesh::KillAllNodes() {
  for (const auto& node : nodes_) KillNode(node.get());
}

Node* Mesh::AddNode(const NodeOptions& options) {
  const int number = static_cast<int>(nodes_.size()) + 1;
  auto node = std::make_unique<Node>();
  node->name = "sidecar-" + options.zone + "-" + std::to_string(number);
  node->options = options;
  node->callers = LoopbackAddress(1, number, kCallerPort);
  node->ready = LoopbackAddress(1, number, kReadyPort);
  node->settings_path = folder_ + "/" + node->name + ".toml";
  node->log_path = folder_ + "/" + node->name + ".log";
  node->backend =
      std::make_unique<Backend>("i-" + node->name, options.backend, record_);
  const Address server = LoopbackAddress(1, number, kBackendPort);
  node->backend->Serve(server);
  if (options.relay_peers) {
    node->peer_relay.Serve(LoopbackAddress(1, number, kPeerPort),
                           LoopbackAddress(2, number, kPeerPort));
  }
  store_.Serve(LoopbackAddress(3, number, kStorePort), node->name);
  store_.Put("servers/" + node->backend->instance(),
             EncodeServer(*node, server));
  WriteSettings(*node, number);
  nodes_.push_back(std::move(node));
  return nodes_.back().get();
}

// The keys are those of deploy/node.toml.template, with the bounds of the site
// that the claims name.
void Mesh::WriteSettings(const Node& node, int number) {
  const auto address = [number](int subnet, std::uint16_t port) {
    return "\"" + LoopbackAddress(subnet, number, port).ToString() + "\"\n";
  };
  std::ofstream file(node.settings_path);
  file << "name = \"" << node.name << "\"\n"
       << "ip = \"" << node.callers.ip << "\"\n"
       << "failure_domain = \"" << node.options.zone << "\"\n"
       << "service = \"" << node.options.service << "\"\n"
       << "backend = " << address(1, kBackendPort)
       << "store = " << address(3, kStorePort)
       << "caller_listen = " << address(1, kCallerPort) << "peer_listen = "
       << address(node.options.relay_peers ? 2 : 1, kPeerPort)
       << "ready_listen = " << address(1, kReadyPort)
       << "operator_listen = " << address(1, kOperatorPort)
       << "beat_port = " << kDatagramPort << "\n"
       << "stop_grace = \"6s\"\npropagation_bound = \"2000ms\"\n"
       << "retry_ratio = 0.2\nretry_window = \"10s\"\nretry_slack = 62\n"
       << "rate_tolerance = 0.25\nrate_slack = 20\nrate_window = \"5s\"\n"
       << "cold_over = 1.5\ncold_slack = 5\nlink_mbps = 1000.0\n"
       << "memory_mb = 260\n";
}

void Mesh::StartNode(Node* node) {
  record_->Write("start: " + node->name);
  const pid_t child = fork();
  if (child < 0) CannotRun("cannot fork");
  if (child > 0) {
    node->process = child;
    return;
  }
  // The node ends with this process, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open(node->log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                       S_IRUSR | S_IWUSR);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  setenv("WISTERIARILL_CONFIG", node->settings_path.c_str(), 1);
  execl(kProgram, kProgram, nullptr);
  _exit(kExitCannotRun);
}

void Mesh::KillNode(Node* node) {
  if (node->process < 0) return;
  record_->Write("kill: " + node->name);
  kill(node->process, SIGKILL);
  waitpid(node->process, nullptr, 0);
  node->process = -1;
}

void Mesh::Publish(const ConfigSpec& config) {
  store_.Put("op/config", EncodeConfig(config));
  record_->Write("acknowledged: configuration " +
                 std::to_string(config.version));
}

bool Mesh::IsReady(const Node& node) {
  const Socket socket = Connect(node.ready);
  if (!socket.valid()) return false;
  SendAll(socket.handle(), "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
  MessageReader responses(socket.handle());
  const auto response = responses.Read(Clock::now() + kReadyTimeout);
  return response && response->Status() == 200;
}

void Mesh::WaitUntilReady() {
  const auto end = Clock::now() + kStartTimeout;
  for (const auto& node : nodes_) {
    while (!IsReady(*node)) {
      if (Clock::now() > end) CannotRun(node->name + " does not get ready");
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  record_->Write("all nodes are ready");
}

std::string Mesh::NextId() {
  char text[32];
  std::snprintf(text, sizeof text, "9c41d07b%08x", ++last_id_);
  return text;
}

Response Mesh::Send(const Node& node, const Request& request, std::string* id) {
  *id = NextId();
  const auto began = Clock::now();
  record_->Write("send: " + *id + " " + request.method + " " + request.target +
                 " to " + node.name +
                 (request.key.empty() ? "" : " key " + request.key));
  const milliseconds listens =
      request.listens.count() > 0 ? request.listens : request.time_limit;
  Response response;
  const Socket socket = Connect(node.callers);
  std::optional<Message> message;
  if (socket.valid() &&
      SendAll(socket.handle(), SerializeRequest(request, *id))) {
    MessageReader responses(socket.handle());
    message = responses.Read(began + listens);
  }
  response.elapsed =
      std::chrono::duration_cast<milliseconds>(Clock::now() - began);
  if (message) {
    response.status = message->Status();
    response.signature = message->Field("Wisteriarill-Response-Sig");
    response.body = message->body;
    response.complete = message->complete;
  }
  record_->Write("answer: " + *id + " status " +
                 std::to_string(response.status) + " signature \"" +
                 response.signature + "\" bytes " +
                 std::to_string(response.body.size()) +
                 (response.complete ? " complete" : " incomplete") + " after " +
                 std::to_string(response.elapsed.count()) + " ms");
  return response;
}

std::optional<Run> Mesh::FindRun(const std::string& id) {
  for (const auto& node : nodes_) {
    if (auto run = node->backend->FindRun(id)) return run;
  }
  return std::nullopt;
}

}  // namespace wisteriarill::review
