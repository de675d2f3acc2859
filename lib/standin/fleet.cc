#include "wisteriarill/standin/fleet.h"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/standin/http_call.h"
#include "wisteriarill/version/release.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kStartTimeout = seconds(20);
constexpr nanoseconds kPollInterval = milliseconds(10);
// Second octet of the loopback addresses in the first failure domain.
constexpr int kFirstDomainOctet = 20;

Error NotListeningError(const std::string& name) {
  return MakeError(ErrorKind::kUnavailable,
                   name + " did not report that it is listening",
                   "read its log file in the directory of the fleet");
}

}  // namespace

Fleet::Fleet(FleetOptions options) : options_(std::move(options)) {
  relay_ = std::make_unique<LinkRelay>();
  AddServers();
}

Fleet::~Fleet() = default;

std::string Fleet::KeyForWorkspace(const std::string& workspace) {
  return "key-of-" + workspace;
}

std::string Fleet::LogPath(const std::string& name) const {
  return options_.directory + "/" + name + ".log";
}

// Gives every node its own loopback IP address, with an octet for the failure
// domain, so that LinkRelay can tell the ends of a connection.
void Fleet::AddServers() {
  std::map<std::string, int> domains;
  for (const auto& domain : options_.deployment.failure_domains) {
    domains.emplace(domain.name, static_cast<int>(domains.size()));
  }
  std::map<std::string, int> used;
  for (const ServiceSpec& service : options_.deployment.services) {
    for (const ServerSpec& spec : service.servers) {
      FleetServer server;
      server.name = spec.name;
      server.failure_domain = spec.failure_domain;
      server.slots = service.slots;
      server.node_ip =
          "127." +
          std::to_string(kFirstDomainOctet + domains[spec.failure_domain]) +
          ".0." + std::to_string(++used[spec.failure_domain]);
      servers_[spec.name] = std::move(server);
    }
  }
}

Status Fleet::StartPlatform() {
  auto started = ChildProcess::Start(
      {options_.programs + "/wisteria-platform", "serve", "--latency-ms",
       std::to_string(options_.platform_latency_ms)},
      LogPath("platform"));
  if (!started) return started.error();
  platform_process_ = std::move(started).value();
  auto fields = platform_process_->WaitForEvent("listening", kStartTimeout);
  if (!fields.has_value()) return NotListeningError("platform");
  platform_address_ = (*fields)["address"];
  return OkStatus();
}

Status Fleet::Start() {
  Status platform = StartPlatform();
  if (!platform) return platform;
  for (auto& [name, server] : servers_) {
    Status backend = StartBackend(name);
    if (!backend) return backend;
  }
  for (auto& [name, server] : servers_) {
    Status node = StartNode(name);
    if (!node) return node;
  }
  return Publish(options_.deployment);
}

Status Fleet::StartBackend(const std::string& name) {
  FleetServer& server = servers_.at(name);
  const std::string listen =
      server.backend_address.empty() ? "127.0.0.1:0" : server.backend_address;
  std::vector<std::string> command = {options_.programs + "/wisteria-backend",
                                      "--listen",
                                      listen,
                                      "--name",
                                      name,
                                      "--slots",
                                      std::to_string(server.slots),
                                      "--work-ms",
                                      std::to_string(options_.work_ms),
                                      "--warmup-ms",
                                      std::to_string(options_.warmup_ms)};
  if (options_.log_executions) command.emplace_back("--log-executions");
  server.backend_logs.push_back(
      LogPath(name + ".backend" + std::to_string(server.backend_logs.size())));
  auto started = ChildProcess::Start(command, server.backend_logs.back());
  if (!started) return started.error();
  server.backend_process = std::move(started).value();
  auto fields =
      server.backend_process->WaitForEvent("listening", kStartTimeout);
  if (!fields.has_value()) return NotListeningError("backend of " + name);
  server.backend_address = (*fields)["address"];
  return OkStatus();
}

Status Fleet::StartNode(const std::string& name) {
  FleetServer& server = servers_.at(name);
  const auto address_or_any_port = [&](const std::string& address) {
    return address.empty() ? server.node_ip + ":0" : address;
  };
  std::string seeds;
  for (const auto& [other, peer] : servers_) {
    if (other == name || peer.published_peer_address.empty()) continue;
    seeds +=
        (seeds.empty() ? "\"" : ", \"") + peer.published_peer_address + "\"";
  }
  std::vector<std::string> command = {options_.programs + "/wisterianode"};
  const auto set = [&command](const std::string& text) {
    command.emplace_back("--set");
    command.push_back(text);
  };
  set("name=\"" + name + "\"");
  set("failure_domain=\"" + server.failure_domain + "\"");
  set("backend=\"" + server.backend_address + "\"");
  set("platform=\"" + platform_address_ + "\"");
  set("caller_listen=\"" + address_or_any_port(server.caller_address) + "\"");
  set("operator_listen=\"" + address_or_any_port(server.operator_address) +
      "\"");
  set("peer_listen=\"" + address_or_any_port(server.peer_address) + "\"");
  set("fleet_size=" + std::to_string(servers_.size()));
  set("seeds=[" + seeds + "]");
  for (const std::string& text : options_.node_settings) set(text);
  auto started = ChildProcess::Start(command, LogPath(name + ".node"));
  if (!started) return started.error();
  server.node_process = std::move(started).value();
  auto fields = server.node_process->WaitForEvent("listening", kStartTimeout);
  if (!fields.has_value()) return NotListeningError("node of " + name);
  server.caller_address = (*fields)["callers"];
  server.operator_address = (*fields)["operators"];
  server.peer_address = (*fields)["peers"];
  if (!options_.relays) {
    server.published_peer_address = server.peer_address;
    return OkStatus();
  }
  if (!server.published_peer_address.empty()) return OkStatus();
  const Result<std::string> relay = relay_->Open(server.peer_address);
  if (!relay) return relay.error();
  server.published_peer_address = relay.value();
  return OkStatus();
}

Deployment Fleet::WithFleetAddresses(Deployment deployment) const {
  for (ServiceSpec& service : deployment.services) {
    for (ServerSpec& spec : service.servers) {
      const auto server = servers_.find(spec.name);
      if (server != servers_.end())
        spec.node_address = server->second.published_peer_address;
    }
  }
  for (WorkspaceSpec& workspace : deployment.workspaces) {
    if (workspace.key_digests.empty()) continue;  // The key is withdrawn.
    workspace.key_digests = {ToHex(Sha256(KeyForWorkspace(workspace.name)))};
  }
  return deployment;
}

Status Fleet::Publish(const Deployment& deployment) {
  options_.deployment = deployment;
  for (const WorkspaceSpec& workspace : deployment.workspaces) {
    TokenRate& max_rate = max_rates_[workspace.name];
    max_rate.rate = std::max(max_rate.rate, workspace.rate);
    max_rate.burst = std::max(max_rate.burst, workspace.burst);
  }
  const Result<Release> release =
      PackDeployment(WithFleetAddresses(deployment));
  if (!release) return release.error();
  bool accepted = true;
  for (const auto& [digest, bytes] : release.value().chunks) {
    accepted =
        accepted && HttpPut(platform_address_,
                            "/admin/values/chunks/" + ToHex(digest), bytes);
  }
  accepted = accepted && HttpPut(platform_address_, "/admin/values/manifest",
                                 release.value().manifest);
  if (accepted) return OkStatus();
  return MakeError(ErrorKind::kRefused, "the platform did not accept a value",
                   "read the log file of the platform");
}

std::uint64_t Fleet::VersionAt(const std::string& name) {
  const std::string status =
      HttpGet(servers_.at(name).operator_address, "/status");
  const std::string prefix = "\"version\": \"";
  const std::size_t at = status.find(prefix);
  if (at == std::string::npos) return 0;
  const std::string text = status.substr(at + prefix.size());
  if (text.starts_with("none")) return 0;
  return std::stoull(text.substr(0, text.find('.')));
}

std::optional<nanoseconds> Fleet::WaitForVersion(std::uint64_t number,
                                                 nanoseconds timeout) {
  const Instant start = BootClock::now();
  for (auto& [name, server] : servers_) {
    if (!server.node_process.has_value()) continue;
    while (VersionAt(name) < number) {
      if (BootClock::now() - start > timeout) return std::nullopt;
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return BootClock::now() - start;
}

bool Fleet::WaitUntilServing(nanoseconds timeout) {
  const Instant end = BootClock::now() + timeout;
  for (auto& [name, server] : servers_) {
    if (!server.node_process.has_value()) continue;
    while (HttpGet(server.operator_address, "/readyz").empty()) {
      if (BootClock::now() > end) return false;
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  for (const WorkspaceSpec& workspace : options_.deployment.workspaces) {
    if (!WaitForWorkspace(workspace, end)) return false;
  }
  return true;
}

// Waits until a call of `workspace` succeeds. Until rates are in use, its calls
// are refused as over the rate.
bool Fleet::WaitForWorkspace(const WorkspaceSpec& workspace, Instant end) {
  const std::optional<HttpCall> call = MakeCall(workspace.name);
  if (!call.has_value()) return true;
  HttpConnection connection(servers_.begin()->second.caller_address,
                            seconds(5));
  while (connection.Call(*call).status != 200) {
    if (BootClock::now() > end) return false;
    std::this_thread::sleep_for(kPollInterval * 5);
  }
  return true;
}

std::optional<HttpCall> Fleet::MakeCall(const std::string& workspace) const {
  for (const RouteSpec& route : options_.deployment.routes) {
    const auto& workspaces = route.workspaces;
    const bool allows_workspace =
        workspaces.empty() || std::find(workspaces.begin(), workspaces.end(),
                                        workspace) != workspaces.end();
    const auto& methods = route.methods;
    const bool allows_get =
        methods.empty() ||
        std::find(methods.begin(), methods.end(), "GET") != methods.end();
    if (route.open || !allows_workspace || !allows_get) continue;
    HttpCall call;
    call.path = route.path_prefix;
    call.key = KeyForWorkspace(workspace);
    if (route.host != "*") call.host = route.host;
    return call;
  }
  return std::nullopt;
}

void Fleet::KillNode(const std::string& name) {
  servers_.at(name).node_process.reset();
}

void Fleet::FreezeNode(const std::string& name) {
  servers_.at(name).node_process->Signal(SIGSTOP);
}

void Fleet::ResumeNode(const std::string& name) {
  servers_.at(name).node_process->Signal(SIGCONT);
}

bool Fleet::StopNode(const std::string& name, nanoseconds timeout) {
  FleetServer& server = servers_.at(name);
  server.node_process->Signal(SIGTERM);
  const std::optional<int> status = server.node_process->WaitForExit(timeout);
  server.node_process.reset();
  return status == 0;
}

void Fleet::KillBackend(const std::string& name) {
  servers_.at(name).backend_process.reset();
}

void Fleet::SetPlatformMode(const std::string& mode) {
  HttpGet(platform_address_, "/admin/mode?name=" + mode);
}

}  // namespace wisteriarill
