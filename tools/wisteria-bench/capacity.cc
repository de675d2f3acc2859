#include "capacity.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <ostream>
#include <sstream>
#include <thread>
#include <vector>

#include "runner.h"
#include "wisteriarill/model/rate_model.h"
#include "wisteriarill/model/spread_model.h"

namespace wisteriarill {
namespace {

constexpr int kDomains = 8;
constexpr int kWorkspaces = 100;
constexpr nanoseconds kIdle = seconds(10);
constexpr nanoseconds kServingTimeout = seconds(60);

Deployment MakeMesh(std::uint64_t number, int domains, int servers_each) {
  std::vector<WorkspaceSpec> workspaces;
  for (int i = 0; i < kWorkspaces; ++i) {
    workspaces.push_back(MakeModelWorkspace("w" + std::to_string(i), 500, 200));
    workspaces.back().key_digests = {"replaced by the fleet"};
  }
  return MakeModelDeployment(number, domains, servers_each, workspaces);
}

double Seconds(nanoseconds length) {
  return std::chrono::duration<double>(length).count();
}

void WriteSpreadRow(int servers_each, bool share, std::ostream* out) {
  SpreadModelOptions options;
  options.spread.coalesce_fetches = share;
  Deployment mesh = MakeMesh(1, kDomains, servers_each);
  for (WorkspaceSpec& workspace : mesh.workspaces) {
    workspace.key_digests.clear();
  }
  SpreadModel model(options, mesh);
  model.Publish(mesh);
  const auto first = model.RunUntilInForce(seconds(120));
  model.RunFor(seconds(10));
  const SpreadModelCounts before_quiet = model.counts();
  model.RunFor(seconds(20));
  const SpreadModelCounts quiet = model.counts();
  ++mesh.number;
  mesh.workspaces.front().rate += 1;
  model.Publish(mesh);
  const auto change = model.RunUntilInForce(seconds(60));
  model.RunFor(seconds(2));
  const SpreadModelCounts changed = model.counts();
  model.RestartAll();
  const auto restart = model.RunUntilInForce(seconds(300));
  const auto nodes = static_cast<double>(model.size());
  const double quiet_bytes =
      static_cast<double>(quiet.bytes - before_quiet.bytes) / 20 / nodes;
  const double change_bytes =
      static_cast<double>(changed.bytes - quiet.bytes) / nodes -
      quiet_bytes * (Seconds(change.value_or(nanoseconds(0))) + 2);
  const auto reads =
      static_cast<double>(quiet.platform_reads - before_quiet.platform_reads);
  *out << "| " << model.size() << " | " << (share ? "yes" : "no") << " | "
       << std::setprecision(2) << Seconds(first.value_or(nanoseconds(-1)))
       << " | " << Seconds(change.value_or(nanoseconds(-1))) << " | "
       << std::setprecision(0) << change_bytes << " | " << quiet_bytes << " | "
       << std::setprecision(1) << reads / 20 << " | " << std::setprecision(2)
       << Seconds(restart.value_or(nanoseconds(-1))) << " | "
       << model.counts().most_reads_in_second << " | "
       << model.counts().platform_reads - changed.platform_reads << " |\n";
}

struct Usage {
  double resident_mb = 0;
  double cpu_seconds = 0;
};

Usage UsageOf(pid_t pid) {
  Usage usage;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      usage.resident_mb = std::stod(line.substr(6)) / 1024;
    }
  }
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  // Fields 14 and 15 are user and system time in clock ticks.
  for (int field = 1; field <= 15 && stat >> word; ++field) {
    if (field >= 14) {
      usage.cpu_seconds +=
          std::stod(word) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
  }
  return usage;
}

Usage UsageOfNodes(Fleet* fleet) {
  Usage sum;
  for (const auto& [name, server] : fleet->servers()) {
    const Usage usage = UsageOf(server.node_process->pid());
    sum.resident_mb += usage.resident_mb;
    sum.cpu_seconds += usage.cpu_seconds;
  }
  return sum;
}

// Latencies of one connection that sends `count` requests, one by one, a
// little apart.
std::vector<double> Sequence(const std::string& address, const HttpCall& call,
                             int count) {
  HttpConnection connection(address, seconds(5));
  std::vector<double> millis;
  for (int i = 0; i < count; ++i) {
    const Instant began = BootClock::now();
    const HttpCallResult reply = connection.Call(call);
    if (reply.status == 200) {
      millis.push_back(
          std::chrono::duration<double, std::milli>(BootClock::now() - began)
              .count());
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  std::sort(millis.begin(), millis.end());
  return millis;
}

void WriteLatencyRow(const std::string& name, const std::vector<double>& millis,
                     std::ostream* out) {
  *out << "| " << name << " | " << millis.size() << " | "
       << std::setprecision(2) << Percentile(millis, 0.5) << " | "
       << Percentile(millis, 0.99) << " | " << Percentile(millis, 0.999)
       << " |\n";
}

// A mesh of one backend server in use, so that the way is known.
void WriteAddedLatency(Fleet* fleet, std::ostream* out) {
  constexpr int kCount = 2000;
  HttpCall call = *fleet->MakeCall("w0");
  call.path = "/x?work_ms=0";
  const FleetServer& server = fleet->servers().begin()->second;
  *out << "\n| way | requests | p50 ms | p99 ms | p99.9 ms |\n"
       << "|---|---|---|---|---|\n";
  WriteLatencyRow("straight to a backend stand-in",
                  Sequence(server.backend_address, call, kCount), out);
  WriteLatencyRow("through the mesh",
                  Sequence(server.caller_address, call, kCount), out);
}

}  // namespace

void WriteSpreadTable(std::ostream* out) {
  *out << std::fixed
       << "| nodes | fetches shared | first version everywhere s | one change "
          "everywhere s | bytes sent a change a node | quiet bytes/s sent a "
          "node | quiet platform reads/s | restart of all s | most reads in a "
          "second | reads in the restart |\n"
       << "|---|---|---|---|---|---|---|---|---|---|\n";
  for (const int each : {2, 13, 63, 125}) WriteSpreadRow(each, true, out);
  WriteSpreadRow(63, false, out);
}

int WriteProcessTable(const std::string& programs, const std::string& directory,
                      std::ostream* out) {
  *out << std::fixed
       << "| nodes | resident MB a node | idle CPU % of a core a node | idle "
          "bytes/s a node, both ways | one change everywhere ms |\n"
       << "|---|---|---|---|---|\n";
  std::ostringstream latency;
  latency << std::fixed;
  for (const int each : {1, 4, 12}) {
    FleetOptions options;
    options.programs = programs;
    options.directory = directory + "/" + std::to_string(each);
    options.deployment = MakeMesh(1, 4, each);
    std::filesystem::create_directories(options.directory);
    Fleet fleet(std::move(options));
    const Status started = fleet.Start();
    if (!started || !fleet.WaitUntilServing(kServingTimeout)) {
      std::cerr << "a fleet did not start; read its logs\n";
      return 1;
    }
    std::this_thread::sleep_for(seconds(5));
    const Usage before = UsageOfNodes(&fleet);
    const double bytes = PeerBytes(&fleet);
    std::this_thread::sleep_for(kIdle);
    const Usage after = UsageOfNodes(&fleet);
    const double idle_bytes = PeerBytes(&fleet) - bytes;
    FleetDriver driver(&fleet);
    Deployment next = fleet.deployment();
    next.workspaces.front().rate += 1;
    const Status published = driver.Publish(std::move(next));
    const auto nodes = static_cast<double>(fleet.servers().size());
    *out << "| " << fleet.servers().size() << " | " << std::setprecision(1)
         << after.resident_mb / nodes << " | " << std::setprecision(2)
         << 100 * (after.cpu_seconds - before.cpu_seconds) / Seconds(kIdle) /
                nodes
         << " | " << std::setprecision(0) << idle_bytes / Seconds(kIdle) / nodes
         << " | " << (published ? driver.convergence_millis().front() : -1.0)
         << " |\n";
    if (each == 4) WriteAddedLatency(&fleet, &latency);
  }
  *out << latency.str();
  return 0;
}

}  // namespace wisteriarill
