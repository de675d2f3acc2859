#include "mesh.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <thread>

namespace wisteriarill::review {
namespace {

constexpr const char* kStoreIp = "127.77.0.1";
constexpr int kFirstHost = 10;
constexpr milliseconds kStartTimeout{20000};
constexpr milliseconds kPollInterval{50};
constexpr milliseconds kReadinessInterval{1000};
constexpr milliseconds kReadinessTimeout{500};
constexpr int kMissesUntilOut = 2;
constexpr const char* kQuestion =
    "GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";

}  // namespace

Mesh::Mesh(MeshOptions options, Record* record)
    : options_(std::move(options)), record_(record) {}

Machine* Mesh::Add(const std::string& zone, const std::string& service,
                   const UpstreamBehavior& behavior, int slots) {
  const std::string number = std::to_string(machines_.size() + 1);
  auto machine = std::make_unique<Machine>();
  machine->name = "sidecar-" + zone + "-" + number;
  machine->ip = "127.77.0." + std::to_string(kFirstHost + machines_.size());
  machine->zone = zone;
  machine->service = service;
  machine->instance = "i-" + number;
  machine->behavior = behavior;
  machine->slots = slots;
  machines_.push_back(std::move(machine));
  return machines_.back().get();
}

bool Mesh::ChoosePorts() {
  std::vector<std::string> ips = {kStoreIp};
  for (const auto& machine : machines_) ips.push_back(machine->ip);
  std::uint16_t next = options_.first_port;
  std::uint16_t store_port = 0;
  for (std::uint16_t* port :
       {&store_port, &app_port_, &inbound_port_, &outbound_port_, &ready_port_,
        &operator_port_, &beat_port_}) {
    *port = FindFreePort(ips, next);
    if (*port == 0) return false;
    next = *port + 1;
  }
  store_endpoint_ = {kStoreIp, store_port};
  return true;
}

bool Mesh::OpenStore(std::vector<milliseconds> replica_lags) {
  if (!ChoosePorts()) return false;
  store_ = std::make_unique<Store>(store_endpoint_, std::move(replica_lags));
  return true;
}

void Mesh::Publish(const Configuration& configuration) {
  const std::uint64_t revision =
      store_->Put("op/config", Encode(configuration));
  record_->Add("operator: version " + std::to_string(configuration.version) +
               " acknowledged, revision " + std::to_string(revision));
}

std::string Mesh::FileOf(const Machine& machine,
                         const std::string& kind) const {
  return options_.directory + "/" + machine.name + "." + kind;
}

std::string Mesh::SettingsText(const Machine& machine) const {
  const auto address = [&machine](std::uint16_t port) {
    return "\"" + Endpoint{machine.ip, port}.ToString() + "\"\n";
  };
  std::ostringstream text;
  text << "name = \"" << machine.name << "\"\n"
       << "ip = \"" << machine.ip << "\"\n"
       << "failure_domain = \"" << machine.zone << "\"\n"
       << "service = \"" << machine.service << "\"\n"
       << "backend = " << address(app_port_) << "store = \""
       << store_endpoint_.ToString() << "\"\n"
       << "caller_listen = " << address(outbound_port_)
       << "peer_listen = " << address(inbound_port_)
       << "ready_listen = " << address(ready_port_)
       << "operator_listen = " << address(operator_port_)
       << "beat_port = " << beat_port_ << "\n"
       << "stop_grace = \"6s\"\n"
       << "propagation_bound = \"2000ms\"\n"
       << "retry_ratio = 0.2\nretry_window = \"10s\"\nretry_slack = 62\n"
       << "rate_tolerance = 0.25\nrate_slack = 20\nrate_window = \"5s\"\n"
       << "cold_over = 1.5\ncold_slack = 5\n"
       << "link_mbps = 1000.0\nmemory_mb = 260\n";
  return text.str();
}

void Mesh::StartUpstream(Machine* machine) const {
  const UpstreamBehavior& behavior = machine->behavior;
  machine->upstream = ChildProcess::Start(
      {options_.upstream, AppAddress(*machine).ToString(), machine->instance,
       std::to_string(behavior.work.count()), std::to_string(behavior.pieces),
       std::to_string(behavior.body_bytes), FileOf(*machine, "runs")},
      "LANG=C", FileOf(*machine, "upstream.log"));
}

void Mesh::StartNode(Machine* machine) {
  machine->node = ChildProcess::Start(
      {options_.program}, "WISTERIARILL_CONFIG=" + FileOf(*machine, "settings"),
      FileOf(*machine, "node.log"));
  record_->Add("platform: starts the node of " + machine->name);
}

void Mesh::Register() {
  for (const auto& machine : machines_) {
    store_->Put(
        "servers/" + machine->instance,
        Encode(UpstreamEntry{machine->service, AppAddress(*machine).ToString(),
                             machine->zone, machine->slots}));
  }
}

bool Mesh::Start() {
  for (const auto& machine : machines_) {
    std::ofstream(FileOf(*machine, "settings")) << SettingsText(*machine);
    StartUpstream(machine.get());
    StartNode(machine.get());
  }
  const Instant end = Clock::now() + kStartTimeout;
  const auto all_ready = [this] {
    return std::all_of(
        machines_.begin(), machines_.end(),
        [this](const auto& machine) { return IsReady(*machine); });
  };
  while (!all_ready()) {
    if (Clock::now() >= end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  for (const auto& machine : machines_) machine->takes_clients = true;
  return true;
}

bool Mesh::IsReady(const Machine& machine) const {
  const Socket socket = Connect({machine.ip, ready_port_});
  if (!socket.is_open()) return false;
  socket.SetReadTimeout(kReadinessTimeout);
  if (!SendAll(socket, kQuestion)) return false;
  const auto answer = HttpReader(&socket).Read();
  return answer && answer->Status() == 200;
}

void Mesh::WatchReadiness() {
  for (const auto& entry : machines_) {
    std::thread([this, machine = entry.get()] {
      for (int misses = 0;;) {
        const bool ready = IsReady(*machine);
        misses = ready ? 0 : misses + 1;
        const bool takes_clients = misses < kMissesUntilOut;
        if (machine->takes_clients.exchange(takes_clients) != takes_clients) {
          record_->Add("platform: clients of " + machine->name +
                       (takes_clients ? " go on" : " get no new work"));
        }
        std::this_thread::sleep_for(kReadinessInterval);
      }
    }).detach();
  }
}

std::vector<Run> Mesh::ReadRuns() const {
  std::vector<Run> runs;
  for (const auto& machine : machines_) {
    std::ifstream file(FileOf(*machine, "runs"));
    std::int64_t micros = 0;
    Run run;
    while (file >> micros >> run.id >> run.instance) {
      run.at = Instant(std::chrono::microseconds(micros));
      runs.push_back(run);
    }
  }
  std::sort(runs.begin(), runs.end(),
            [](const Run& a, const Run& b) { return a.at < b.at; });
  return runs;
}

}  // namespace wisteriarill::review
