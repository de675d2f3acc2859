/// \file
/// Case: a key is taken away, then many processes are killed at the same
/// moment. The store's replicas for stale reads are of different age.
#include <algorithm>
#include <csignal>
#include <map>
#include <thread>

#include "load.h"

namespace wisteriarill::review {
namespace {

constexpr const char* kService = "depot";
constexpr const char* kTenant = "removals";
constexpr const char* kKeptKey = "key-that-stays";
constexpr const char* kRevokedKey = "key-taken-away";
constexpr int kSlots = 12;
/// Items of the store's other users.
constexpr int kOtherItems = 520;
/// Lag of the one replica that is behind.
constexpr milliseconds kReplicaLag{3000};
constexpr milliseconds kCalmTime{3000};
constexpr milliseconds kKillAfterRevocation{1000};
constexpr milliseconds kRestartDelay{300};
/// Time between the restarts of two nodes.
constexpr milliseconds kRestartGap{50};
/// Machines whose nodes are killed, by their order: 0.54 of all. None of them
/// is among those that read the store for the others.
constexpr std::size_t kKilled[] = {0, 3, 5, 7, 8, 11, 12};
constexpr milliseconds kSendInterval{100};
constexpr milliseconds kWatchTime{20000};

// Bounds of the rule CONFIG.
constexpr milliseconds kConfig{2000};
constexpr milliseconds kTouch{3000};

Configuration MakeConfiguration(int version, std::vector<std::string> keys) {
  Configuration configuration;
  configuration.version = version;
  configuration.services = {kService};
  configuration.routes = {{"r-slots", "/depot/", kService}};
  configuration.tenants = {{kTenant, std::move(keys), 0, 0}};
  return configuration;
}

/// Kills the nodes of a part of the machines at once and starts them again.
/// Returns when they were started.
Instant KillManyNodes(Case* test) {
  const auto& machines = test->mesh->machines();
  for (const std::size_t i : kKilled) {
    test->record->Add("platform: SIGKILL to the node of " + machines[i]->name);
    machines[i]->node.Signal(SIGKILL);
  }
  std::this_thread::sleep_for(kRestartDelay);
  for (const std::size_t i : kKilled) {
    machines[i]->node.End();
    test->mesh->StartNode(machines[i].get());
    std::this_thread::sleep_for(kRestartGap);
  }
  return Clock::now();
}

int RevokeAndKill(Case* test) {
  Mesh& mesh = *test->mesh;
  for (const char* zone :
       {"brest", "brest", "brest", "brest", "rennes", "rennes", "rennes",
        "rennes", "lannion", "lannion", "vannes", "vannes", "vannes"}) {
    mesh.Add(zone, kService, UpstreamBehavior{}, kSlots);
  }
  if (!mesh.OpenStore({milliseconds(0), kReplicaLag})) return kExitNotRun;
  for (int i = 0; i < kOtherItems; ++i)
    mesh.store().Put("my/item-" + std::to_string(i), "other user's value");
  mesh.Publish(MakeConfiguration(1, {kKeptKey, kRevokedKey}));
  mesh.Register();
  std::this_thread::sleep_for(kReplicaLag);
  if (!mesh.Start()) return kExitNotRun;
  mesh.WatchReadiness();
  Load load(test, kSendInterval);
  for (const char* key : {kRevokedKey, kKeptKey}) {
    CallRequest request;
    request.path = "/depot/slots";
    request.key = key;
    load.StartEverywhere(1, request);
  }
  std::this_thread::sleep_for(kCalmTime);
  mesh.Publish(MakeConfiguration(4, {kKeptKey}));
  const Instant acknowledged = Clock::now();
  std::this_thread::sleep_for(kKillAfterRevocation);
  const Instant restarted =
      test->with_trouble ? KillManyNodes(test) : acknowledged;
  std::this_thread::sleep_for(kWatchTime);
  load.Stop();
  const Instant bound_from =
      std::max(acknowledged + kConfig, restarted + kTouch);
  std::map<std::string, int> machines;
  int broken = 0;
  for (const Run& run : mesh.ReadRuns()) {
    test->record->AddAt(run.at, "upstream " + run.instance + " runs " + run.id);
    const Attempt& attempt = load.AttemptOf(run);
    const bool is_late = attempt.result.sent_at >= bound_from;
    if (attempt.key != kRevokedKey || !is_late) continue;
    ++broken;
    ++machines[attempt.machine->name];
  }
  std::string names;
  for (const auto& [name, count] : machines) names += " " + name;
  return Conclude(
      test, broken > 0,
      std::to_string(broken) + " requests with the key ran that were sent " +
          std::to_string(test->record->Since(bound_from).count() -
                         test->record->Since(acknowledged).count()) +
          " ms or more after its withdrawal was acknowledged; through:" +
          names);
}

}  // namespace
}  // namespace wisteriarill::review

int main(int argc, char** argv) {
  return wisteriarill::review::RunCase(argc, argv,
                                       wisteriarill::review::RevokeAndKill);
}
