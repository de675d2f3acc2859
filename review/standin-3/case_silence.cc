/// \file
/// Case: while configurations come in quick succession, all open connections
/// between the machines and to the store go silent. A version follows once the
/// machines are in touch again.
#include <map>
#include <thread>

#include "load.h"

namespace wisteriarill::review {
namespace {

constexpr const char* kService = "depot";
constexpr int kMachinesPerZone = 4;
constexpr int kSlots = 12;
constexpr int kIdleRoutes = 300;
constexpr int kStormVersions = 18;
constexpr milliseconds kStormGap{330};
constexpr milliseconds kProbeInterval{20};
constexpr milliseconds kAfterwards{8000};

// Bounds of the rule CONFIG.
constexpr milliseconds kConfig{2000};
constexpr milliseconds kTouch{3000};
/// Time from the end of kTouch to the version that is judged.
constexpr milliseconds kAfterTouch{50};

/// The versions differ in the timeout of an unused route.
Configuration MakeConfiguration(int version, bool with_dropped_route) {
  Configuration configuration;
  configuration.version = version;
  configuration.services = {kService};
  configuration.routes = {{"r-slots", "/depot/", kService}};
  for (int i = 0; i < kIdleRoutes; ++i) {
    const std::string name = "idle" + std::to_string(i * 7919 % 100003);
    configuration.routes.push_back({"r-" + name, "/" + name + "/", kService});
  }
  configuration.routes.back().timeout += milliseconds(version);
  if (with_dropped_route)
    configuration.routes.push_back({"r-dropped", "/dropped/", kService});
  return configuration;
}

int SilenceInStorm(Case* test) {
  Mesh& mesh = *test->mesh;
  for (const char* zone : {"brest", "rennes", "vannes"}) {
    for (int i = 0; i < kMachinesPerZone; ++i)
      mesh.Add(zone, kService, UpstreamBehavior{milliseconds(1)}, kSlots);
  }
  mesh.UseRelays();
  if (!mesh.OpenStore()) return kExitNotRun;
  int version = 1;
  mesh.Publish(MakeConfiguration(version, true));
  mesh.Register();
  if (!mesh.Start()) return kExitNotRun;
  mesh.WatchReadiness();
  CallRequest request;
  request.path = "/dropped/x";
  Load load(test, kProbeInterval);
  load.StartEverywhere(1, request);
  for (int i = 0; i < kStormVersions; ++i) {
    std::this_thread::sleep_for(kStormGap);
    version += 3;
    mesh.Publish(MakeConfiguration(version, true));
  }
  std::this_thread::sleep_for(kStormGap);
  if (test->with_trouble) mesh.SilenceOpenConnections();
  std::this_thread::sleep_for(kTouch + kAfterTouch);
  version += 3;
  mesh.Publish(MakeConfiguration(version, false));
  const Instant acknowledged = Clock::now();
  std::this_thread::sleep_for(kAfterwards);
  load.Stop();
  std::map<std::string, milliseconds> latest;
  int broken = 0;
  for (const Run& run : mesh.ReadRuns()) {
    test->record->AddAt(run.at, "upstream " + run.instance + " runs " + run.id);
    const Attempt& attempt = load.AttemptOf(run);
    const Instant sent_at = attempt.result.sent_at;
    if (sent_at < acknowledged + kConfig) continue;
    ++broken;
    latest[attempt.machine->name] =
        std::chrono::duration_cast<milliseconds>(sent_at - acknowledged);
  }
  std::string machines;
  for (const auto& [name, time] : latest)
    machines += " " + name + " until " + std::to_string(time.count()) + " ms";
  return Conclude(test, broken > 0,
                  std::to_string(broken) +
                      " requests on the dropped route ran that were sent over "
                      "2000 ms after the ack;" +
                      machines);
}

}  // namespace
}  // namespace wisteriarill::review

int main(int argc, char** argv) {
  return wisteriarill::review::RunCase(argc, argv,
                                       wisteriarill::review::SilenceInStorm);
}
