/// \file
/// Plays the platform, the backend servers and the callers of one script and
/// checks its rule. Prints free ports with the argument "ports".
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mesh.h"

namespace wisteriarill::review {
namespace {

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;
constexpr int kStatusOk = 200;
constexpr seconds kStartTimeout{25};
constexpr milliseconds kWorkTime{5};
constexpr milliseconds kLongWorkTime{1500};

/// Bounds as they stand in the settings of a small deployment.
constexpr seconds kQuotaWindow{5};
constexpr double kQuotaOver = 0.25;
constexpr double kQuotaSlack = 20;
constexpr seconds kRecover{15};

/// Arguments of the program.
struct Options {
  std::string script;
  bool trouble = true;
  Ports ports;
  std::string folder;  ///< For files that run.sh waits for.
  std::string record;  ///< Path of the record.
};

void TouchFile(const std::string& path) { std::ofstream(path) << "\n"; }

/// Eight tenants with the same limit, which the callers exceed fourfold.
std::vector<Tenant> LimitedTenants() {
  constexpr int kTenants = 8;
  constexpr std::uint32_t kRate = 20;
  std::vector<Tenant> tenants;
  for (int i = 1; i <= kTenants; ++i) {
    const std::string number = std::to_string(i);
    tenants.push_back({"tenant-" + number, "key-" + number, kRate, kRate});
  }
  return tenants;
}

/// Returns the greatest number of requests of `tenant` that were both sent and
/// run within one window.
std::size_t MostInWindow(const Journal& journal, const std::string& tenant) {
  std::vector<const RequestRecord*> run;
  for (const RequestRecord& record : journal.records()) {
    if (record.tenant == tenant && !record.runs.empty()) run.push_back(&record);
  }
  std::size_t most = 0;
  for (const RequestRecord* first : run) {
    const Instant end = first->sent + kQuotaWindow;
    const auto in_window = std::count_if(
        run.begin(), run.end(), [first, end](const RequestRecord* record) {
          return record->sent >= first->sent && record->runs.front() <= end;
        });
    most = std::max<std::size_t>(most, static_cast<std::size_t>(in_window));
  }
  return most;
}

/// Checks QUOTA for each tenant; returns whether it was broken.
bool CheckQuota(const Journal& journal, const std::vector<Tenant>& tenants,
                std::string* summary) {
  bool broken = false;
  for (const Tenant& tenant : tenants) {
    const double allowed =
        (tenant.rate * static_cast<double>(kQuotaWindow.count()) +
         tenant.burst) *
            (1 + kQuotaOver) +
        kQuotaSlack;
    const std::size_t most = MostInWindow(journal, tenant.name);
    const bool over = static_cast<double>(most) > allowed;
    broken = broken || over;
    summary->append(tenant.name + ": " + std::to_string(most) +
                    " requests ran in 5 s, allowed " + std::to_string(allowed) +
                    (over ? " BROKEN\n" : "\n"));
  }
  return broken;
}

/// QUOTA while another writer lists the servers of a service that no
/// configuration names.
Task<int> RunQuota(Mesh* mesh, const Options& options, std::string* summary) {
  constexpr int kForeignServers = 24;
  constexpr double kCallsPerSecond = 6;  // Of each tenant at each node.
  constexpr seconds kSettleTime{6};
  constexpr seconds kTrafficTime{25};
  const std::vector<Tenant> tenants = LimitedTenants();
  mesh->Publish(tenants);
  const bool ready = co_await mesh->AwaitReady(kStartTimeout);
  if (!ready) co_return kExitNotRun;
  for (int i = 1; options.trouble && i <= kForeignServers; ++i) {
    const std::string number = std::to_string(i);
    mesh->AddForeignEntry("reports-" + number, "reports",
                          "127.77.2." + number + ":9000", "north");
  }
  co_await SleepFor(kSettleTime);
  for (const Tenant& tenant : tenants) {
    mesh->StartCallers(tenant, kCallsPerSecond,
                       BootClock::now() + kTrafficTime);
  }
  co_await SleepFor(kTrafficTime + seconds(3));
  co_return CheckQuota(*mesh->journal(), tenants, summary) ? kExitBroken
                                                           : kExitHeld;
}

/// Returns the fraction of the requests sent from `begin` to `end` that were
/// served.
double ServedFraction(const Journal& journal, Instant begin, Instant end) {
  std::size_t sent = 0;
  std::size_t served = 0;
  for (const RequestRecord& record : journal.records()) {
    if (record.sent < begin || record.sent >= end) continue;
    ++sent;
    if (record.status == kStatusOk) ++served;
  }
  if (sent == 0) return 0;
  return static_cast<double>(served) / static_cast<double>(sent);
}

/// RECOVER after all processes were killed, while another writer lists an entry
/// at the address of each server.
Task<int> RunRecover(Mesh* mesh, const Options& options, std::string* summary) {
  constexpr double kCallsPerSecond = 10;  // At each node.
  constexpr seconds kCalmTime{10};
  constexpr seconds kCheckedTime{15};
  constexpr double kLeastServed = 0.25;
  const Tenant tenant{"tenant-1", "key-1", 0, 0};
  mesh->Publish({tenant});
  const bool ready = co_await mesh->AwaitReady(kStartTimeout);
  if (!ready) co_return kExitNotRun;
  const Instant began = BootClock::now();
  mesh->StartCallers(
      tenant, kCallsPerSecond,
      began + kCalmTime + kRecover + kCheckedTime + kStartTimeout);
  co_await SleepFor(kCalmTime);
  for (int node = 1; options.trouble && node <= mesh->nodes(); ++node) {
    mesh->AddForeignEntry("uptime-" + std::to_string(node), "uptime",
                          mesh->ServerAddress(node), "north");
  }
  const Instant fault = BootClock::now();
  TouchFile(options.folder + "/kill");
  co_await SleepFor(seconds(2));
  const bool back = co_await mesh->AwaitReady(kStartTimeout);
  const Instant checked = BootClock::now() + kRecover;
  co_await SleepFor(kRecover + kCheckedTime);
  const Instant end = checked + kCheckedTime - seconds(3);
  const double before = ServedFraction(*mesh->journal(), began, fault);
  const double after = ServedFraction(*mesh->journal(), checked, end);
  summary->append("served before the final fault: " + std::to_string(before) +
                  "\nserved later than Recover after the machines are back: " +
                  std::to_string(after) +
                  "\nall nodes ready again: " + (back ? "yes" : "no") + "\n");
  if (before < kLeastServed) co_return kExitNotRun;
  co_return after < kLeastServed ? kExitBroken : kExitHeld;
}

/// Returns whether `record` lost its answer at a node whose planned stop began
/// at `stopped`: a server ran it, its time limit wasn't reached, and it isn't
/// one of those that were sent early and still ran at the end of the grace.
bool IsLost(const RequestRecord& record, Instant stopped) {
  constexpr milliseconds kTimeLimit{2400};
  constexpr seconds kEarly{3};
  constexpr seconds kLastSixth{5};  // Of a grace of six seconds.
  const bool cut = record.status == 0 && record.answered != kNever &&
                   record.answered < record.sent + kTimeLimit;
  if (!cut || record.runs.empty() || record.sent < stopped) return false;
  const bool excused = record.sent <= stopped + kEarly &&
                       record.answered >= stopped + kLastSixth;
  return !excused;
}

/// LOST around the planned stop of one node, while the requests on a route
/// without keys take more than a second.
Task<int> RunPlannedStop(Mesh* mesh, const Options& options,
                         std::string* summary) {
  constexpr double kCallsPerSecond = 10;  // At each node.
  constexpr seconds kCalmTime{6};         // More than Touch.
  constexpr seconds kStopTime{10};
  const Tenant tenant{"tenant-1", "key-1", 0, 0};
  mesh->Publish({tenant}, true);
  const bool ready = co_await mesh->AwaitReady(kStartTimeout);
  if (!ready) co_return kExitNotRun;
  mesh->StartCallers(tenant, kCallsPerSecond,
                     BootClock::now() + kCalmTime + kStopTime);
  co_await SleepFor(kCalmTime);
  const Instant stopped = BootClock::now();
  if (options.trouble) TouchFile(options.folder + "/stop");
  co_await SleepFor(kStopTime + seconds(3));
  std::size_t lost = 0;
  for (const RequestRecord& record : mesh->journal()->records()) {
    if (!IsLost(record, stopped)) continue;
    ++lost;
    summary->append(record.id + ": sent " +
                    std::to_string(ToMillis(record.sent - stopped)) +
                    " ms after the stop began, run " +
                    std::to_string(ToMillis(record.runs.front() - stopped)) +
                    " ms after it, cut without an answer " +
                    std::to_string(ToMillis(record.answered - stopped)) +
                    " ms after it\n");
  }
  summary->append("lost: " + std::to_string(lost) + "\n");
  co_return lost > 0 ? kExitBroken : kExitHeld;
}

Task<void> RunScript(Mesh* mesh, const Options& options, int* result) {
  std::string summary;
  if (options.script == "quota") {
    *result = co_await RunQuota(mesh, options, &summary);
  } else if (options.script == "recover") {
    *result = co_await RunRecover(mesh, options, &summary);
  } else if (options.script == "stop") {
    *result = co_await RunPlannedStop(mesh, options, &summary);
  }
  mesh->journal()->Write(options.record, summary);
  std::cout << summary << std::flush;
}

/// Prints `count` ports that are free on all addresses.
int PrintFreePorts(int count) {
  asio::io_context loop(1);
  std::vector<asio::ip::tcp::acceptor> held;
  for (int i = 0; i < count; ++i) {
    held.emplace_back(loop,
                      asio::ip::tcp::endpoint(asio::ip::address_v4::any(), 0));
    std::cout << held.back().local_endpoint().port() << "\n";
  }
  return kExitHeld;
}

int Run(const Options& options, int nodes) {
  asio::io_context loop(1);
  const milliseconds work_time =
      options.script == "stop" ? kLongWorkTime : kWorkTime;
  // Never destroyed, because pending handlers of the event loop refer to it.
  auto* const mesh = new Mesh(&loop, nodes, options.ports, work_time);
  if (!mesh->Listen()) return kExitNotRun;
  int result = kExitNotRun;
  SpawnTask(&loop, "script", [&]() -> Task<void> {
    co_await RunScript(mesh, options, &result);
    loop.stop();
  });
  RunLoop(&loop);
  return result;
}

}  // namespace
}  // namespace wisteriarill::review

int main(int argc, char** argv) {
  constexpr int kPorts = 7;
  const std::vector<std::string> args(argv + 1, argv + argc);
  if (args.size() == 1 && args[0] == "ports") {
    return wisteriarill::review::PrintFreePorts(kPorts);
  }
  if (args.size() != 9) {
    std::cerr << "arguments: SCRIPT TROUBLE NODES STORE_PORT BACKEND_PORT "
                 "CALLER_PORT READY_PORT FOLDER RECORD\n";
    return wisteriarill::review::kExitNotRun;
  }
  const wisteriarill::review::Options options{
      args[0],
      args[1] != "0",
      {args[3], args[4], args[5], args[6]},
      args[7],
      args[8]};
  // The event loop may still hold handlers, so nothing is destroyed.
  std::_Exit(wisteriarill::review::Run(options, std::atoi(args[2].c_str())));
}
