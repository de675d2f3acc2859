/// \file
/// Case: a zone is evacuated, so that requests with long heads, which its own
/// upstreams served, go to other machines.
#include <thread>

#include "load.h"

namespace wisteriarill::review {
namespace {

constexpr const char* kService = "depot";
constexpr const char* kEvacuatedZone = "brest";
constexpr int kMachinesPerZone = 2;
constexpr int kSlots = 12;
constexpr int kClients = 4;
constexpr milliseconds kSendInterval{200};
/// Bytes of the field that makes the head long: about 16,330 in all, where
/// MaxHeaderBytes allows 16,384.
constexpr std::size_t kLongFieldBytes = 16190;
constexpr milliseconds kCalmTime{4000};
constexpr milliseconds kEvacuation{8000};

// Bounds of the rule DENIED.
constexpr int kAllowedDenials = 5;
constexpr int kRequestsPerDenial = 500;

bool IsDenial(int status) {
  const bool is_promise = status == 408 || status == 421 || status == 429;
  return status >= 300 && status < 500 && !is_promise;
}

Configuration MakeConfiguration() {
  Configuration configuration;
  configuration.services = {kService};
  configuration.routes = {{"r-slots", "/depot/", kService}};
  return configuration;
}

int EvacuateZone(Case* test) {
  Mesh& mesh = *test->mesh;
  for (const char* zone : {kEvacuatedZone, "rennes"}) {
    for (int i = 0; i < kMachinesPerZone; ++i)
      mesh.Add(zone, kService, UpstreamBehavior{}, kSlots);
  }
  if (!mesh.OpenStore()) return kExitNotRun;
  mesh.Publish(MakeConfiguration());
  mesh.Register();
  if (!mesh.Start()) return kExitNotRun;
  mesh.WatchReadiness();
  CallRequest request;
  request.path = "/depot/slots";
  request.extra_fields =
      "Cookie: " + std::string(kLongFieldBytes, 'c') + "\r\n";
  Load load(test, kSendInterval);
  load.Start(mesh.machines().front().get(), kClients, request);
  std::this_thread::sleep_for(kCalmTime);
  const std::string key = std::string("op/evacuate/") + kEvacuatedZone;
  if (test->with_trouble) mesh.store().Put(key, EncodeEmptyDocument());
  test->record->Add("operator: evacuation begins");
  std::this_thread::sleep_for(kEvacuation);
  if (test->with_trouble) mesh.store().Remove(key);
  test->record->Add("operator: evacuation ends");
  std::this_thread::sleep_for(kCalmTime);
  load.Stop();
  for (const Run& run : mesh.ReadRuns())
    test->record->AddAt(run.at, "upstream " + run.instance + " runs " + run.id);
  int denials = 0;
  for (const auto& [id, attempt] : load.attempts())
    denials += IsDenial(attempt.result.status) ? 1 : 0;
  const int requests = static_cast<int>(load.attempts().size());
  const bool broken = denials > kAllowedDenials + requests / kRequestsPerDenial;
  return Conclude(test, broken,
                  std::to_string(denials) + " of " + std::to_string(requests) +
                      " proper requests were ended with a 4xx");
}

}  // namespace
}  // namespace wisteriarill::review

int main(int argc, char** argv) {
  return wisteriarill::review::RunCase(argc, argv,
                                       wisteriarill::review::EvacuateZone);
}
