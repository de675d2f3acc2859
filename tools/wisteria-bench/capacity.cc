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
#include "wisteriarill/model/dissemination_model.h"
#include "wisteriarill/model/rate_model.h"

namespace wisteriarill {
namespace {

constexpr int kNumDomains = 8;
constexpr int kNumWorkspaces = 100;
constexpr nanoseconds kIdleMeasurementTime = seconds(10);
constexpr nanoseconds kServingTimeout = seconds(60);

Deployment MakeBenchDeployment(std::uint64_t number, int domains,
                               int servers_per_domain) {
  std::vector<WorkspaceSpec> workspaces;
  for (int i = 0; i < kNumWorkspaces; ++i) {
    workspaces.push_back(MakeModelWorkspace("w" + std::to_string(i), 500, 200));
    workspaces.back().key_digests = {"replaced by the fleet"};
  }
  return MakeModelDeployment(number, domains, servers_per_domain, workspaces);
}

double Seconds(nanoseconds length) {
  return std::chrono::duration<double>(length).count();
}

// Simulates a first publication, an idle period, one change and a restart of
// all nodes, and writes their figures as one table row. A time of -1 means that
// the nodes did not converge within the time limit.
void WriteDisseminationRow(int servers_per_domain, bool coalesce_fetches,
                           std::ostream* out) {
  DisseminationModelOptions options;
  options.disseminator.coalesce_fetches = coalesce_fetches;
  Deployment mesh = MakeBenchDeployment(1, kNumDomains, servers_per_domain);
  for (WorkspaceSpec& workspace : mesh.workspaces) {
    workspace.key_digests.clear();
  }
  DisseminationModel model(options, mesh);
  model.Publish(mesh);
  const auto first_convergence = model.RunUntilConverged(seconds(120));
  model.RunFor(seconds(10));
  const DisseminationModelCounts before_idle = model.counts();
  model.RunFor(seconds(20));
  const DisseminationModelCounts idle = model.counts();
  ++mesh.number;
  mesh.workspaces.front().rate += 1;
  model.Publish(mesh);
  const auto change_convergence = model.RunUntilConverged(seconds(60));
  model.RunFor(seconds(2));
  const DisseminationModelCounts after_change = model.counts();
  model.RestartAll();
  const auto restart_convergence = model.RunUntilConverged(seconds(300));
  const auto nodes = static_cast<double>(model.size());
  const double idle_bytes_per_second =
      static_cast<double>(idle.bytes - before_idle.bytes) / 20 / nodes;
  const double bytes_per_change =
      static_cast<double>(after_change.bytes - idle.bytes) / nodes -
      idle_bytes_per_second *
          (Seconds(change_convergence.value_or(nanoseconds(0))) + 2);
  const auto idle_reads =
      static_cast<double>(idle.platform_reads - before_idle.platform_reads);
  *out << "| " << model.size() << " | " << (coalesce_fetches ? "yes" : "no")
       << " | " << std::setprecision(2)
       << Seconds(first_convergence.value_or(nanoseconds(-1))) << " | "
       << Seconds(change_convergence.value_or(nanoseconds(-1))) << " | "
       << std::setprecision(0) << bytes_per_change << " | "
       << idle_bytes_per_second << " | " << std::setprecision(1)
       << idle_reads / 20 << " | " << std::setprecision(2)
       << Seconds(restart_convergence.value_or(nanoseconds(-1))) << " | "
       << model.counts().max_reads_per_second << " | "
       << model.counts().platform_reads - after_change.platform_reads << " |\n";
}

// Memory and CPU time that processes use.
struct ResourceUsage {
  double resident_mb = 0;
  double cpu_seconds = 0;
};

ResourceUsage ReadProcessUsage(pid_t pid) {
  ResourceUsage usage;
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      usage.resident_mb = std::stod(line.substr(6)) / 1024;
    }
  }
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  // Fields 14 and 15 of /proc/PID/stat are the user and system time in clock
  // ticks.
  for (int field = 1; field <= 15 && stat >> word; ++field) {
    if (field >= 14) {
      usage.cpu_seconds +=
          std::stod(word) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
  }
  return usage;
}

ResourceUsage SumNodeUsage(Fleet* fleet) {
  ResourceUsage sum;
  for (const auto& [name, server] : fleet->servers()) {
    const ResourceUsage usage = ReadProcessUsage(server.node_process->pid());
    sum.resident_mb += usage.resident_mb;
    sum.cpu_seconds += usage.cpu_seconds;
  }
  return sum;
}

// Sends `count` requests one after another on one connection, with a pause of
// 2 ms between them. Returns the sorted latencies of the successful ones in
// milliseconds.
std::vector<double> MeasureLatencies(const std::string& address,
                                     const HttpCall& call, int count) {
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

// Compares the latency of requests sent directly to a backend server with that
// of requests sent to the node next to it. Only one request is in flight at
// a time, on an otherwise idle mesh. The node may pick any backend server of
// its failure domain.
void WriteLatencyComparison(Fleet* fleet, std::ostream* out) {
  constexpr int kNumRequests = 2000;
  HttpCall call = *fleet->MakeCall("w0");
  call.path = "/x?work_ms=0";
  const FleetServer& server = fleet->servers().begin()->second;
  *out << "\n| way | requests | p50 ms | p99 ms | p99.9 ms |\n"
       << "|---|---|---|---|---|\n";
  WriteLatencyRow("straight to a backend stand-in",
                  MeasureLatencies(server.backend_address, call, kNumRequests),
                  out);
  WriteLatencyRow("through the mesh",
                  MeasureLatencies(server.caller_address, call, kNumRequests),
                  out);
}

}  // namespace

void WriteDisseminationTable(std::ostream* out) {
  *out << std::fixed
       << "| nodes | fetches shared | first version everywhere s | one change "
          "everywhere s | bytes sent a change a node | quiet bytes/s sent a "
          "node | quiet platform reads/s | restart of all s | most reads in a "
          "second | reads in the restart |\n"
       << "|---|---|---|---|---|---|---|---|---|---|\n";
  // Servers per failure domain.
  for (const int n : {2, 13, 63, 125}) WriteDisseminationRow(n, true, out);
  WriteDisseminationRow(63, false, out);
}

int WriteResourceTable(const std::string& programs,
                       const std::string& directory, std::ostream* out) {
  *out << std::fixed
       << "| nodes | resident MB a node | idle CPU % of a core a node | idle "
          "bytes/s a node, both ways | one change everywhere ms |\n"
       << "|---|---|---|---|---|\n";
  std::ostringstream latency;
  latency << std::fixed;
  for (const int servers_per_domain : {1, 4, 12}) {
    FleetOptions options;
    options.programs = programs;
    options.directory = directory + "/" + std::to_string(servers_per_domain);
    options.deployment = MakeBenchDeployment(1, 4, servers_per_domain);
    std::filesystem::create_directories(options.directory);
    Fleet fleet(std::move(options));
    const Status started = fleet.Start();
    if (!started || !fleet.WaitUntilServing(kServingTimeout)) {
      std::cerr << "the mesh did not start; read the logs of its processes\n";
      return 1;
    }
    std::this_thread::sleep_for(seconds(5));
    const ResourceUsage before = SumNodeUsage(&fleet);
    const double bytes = TotalPeerBytes(&fleet);
    std::this_thread::sleep_for(kIdleMeasurementTime);
    const ResourceUsage after = SumNodeUsage(&fleet);
    const double idle_bytes = TotalPeerBytes(&fleet) - bytes;
    FleetDriver driver(&fleet);
    Deployment next = fleet.deployment();
    next.workspaces.front().rate += 1;
    const Status published = driver.Publish(std::move(next));
    const auto nodes = static_cast<double>(fleet.servers().size());
    *out << "| " << fleet.servers().size() << " | " << std::setprecision(1)
         << after.resident_mb / nodes << " | " << std::setprecision(2)
         << 100 * (after.cpu_seconds - before.cpu_seconds) /
                Seconds(kIdleMeasurementTime) / nodes
         << " | " << std::setprecision(0)
         << idle_bytes / Seconds(kIdleMeasurementTime) / nodes << " | "
         << (published ? driver.convergence_millis().front() : -1.0) << " |\n";
    if (servers_per_domain == 4) WriteLatencyComparison(&fleet, &latency);
  }
  *out << latency.str();
  return 0;
}

}  // namespace wisteriarill
