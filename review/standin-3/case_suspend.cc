/// \file
/// Case: a machine is suspended while its upstream sends answers in pieces.
#include <csignal>
#include <thread>

#include "load.h"

namespace wisteriarill::review {
namespace {

constexpr const char* kCallingService = "booking";
constexpr const char* kCalledService = "depot";
constexpr int kCallingMachines = 2;
constexpr int kCalledMachines = 3;
constexpr int kSlots = 24;
constexpr milliseconds kWork{600};
constexpr int kPieces = 12;
constexpr std::size_t kBodyBytes = 280000;
constexpr int kClients = 90;
constexpr milliseconds kSendInterval{1000};
constexpr milliseconds kTimeout{1500};
constexpr milliseconds kDeadline{8000};
constexpr milliseconds kCalmTime{4000};
constexpr milliseconds kSuspension{8000};
constexpr milliseconds kAfterwards{6000};

// Bounds of the rule CONFIG.
constexpr milliseconds kSlack{500};
constexpr int kFewUnanswered = 8;
constexpr int kUnansweredPart = 4;  ///< One in so many is allowed.

Configuration MakeConfiguration() {
  Configuration configuration;
  configuration.services = {kCallingService, kCalledService};
  const Route route{"r-plan", "/depot/", kCalledService, "download", kTimeout};
  configuration.routes = {route};
  return configuration;
}

void SuspendMachine(Case* test) {
  Machine* machine = test->mesh->machines()[kCallingMachines].get();
  test->record->Add("platform: " + machine->name + " is suspended");
  machine->node.Signal(SIGSTOP);
  machine->upstream.Signal(SIGSTOP);
  std::this_thread::sleep_for(kSuspension);
  machine->upstream.Signal(SIGCONT);
  machine->node.Signal(SIGCONT);
  test->record->Add("platform: " + machine->name + " runs again");
}

int SuspendWhileAnswering(Case* test) {
  Mesh& mesh = *test->mesh;
  for (int i = 0; i < kCallingMachines; ++i)
    mesh.Add("brest", kCallingService, UpstreamBehavior{}, kSlots);
  for (int i = 0; i < kCalledMachines; ++i) {
    mesh.Add("rennes", kCalledService,
             UpstreamBehavior{kWork, kPieces, kBodyBytes}, kSlots);
  }
  if (!mesh.OpenStore()) return kExitNotRun;
  mesh.Publish(MakeConfiguration());
  mesh.Register();
  if (!mesh.Start()) return kExitNotRun;
  mesh.WatchReadiness();
  CallRequest request;
  request.path = "/depot/plan";
  request.deadline = kDeadline;
  Load load(test, kSendInterval);
  load.Start(mesh.machines().front().get(), kClients, request);
  std::this_thread::sleep_for(kCalmTime);
  if (test->with_trouble) {
    SuspendMachine(test);
  } else {
    std::this_thread::sleep_for(kSuspension);
  }
  std::this_thread::sleep_for(kAfterwards);
  load.Stop();
  for (const Run& run : mesh.ReadRuns())
    test->record->AddAt(run.at, "upstream " + run.instance + " runs " + run.id);
  int late = 0;
  int unanswered = 0;
  for (const auto& [id, attempt] : load.attempts()) {
    const milliseconds duration = attempt.result.duration();
    if (duration > kTimeout) ++late;
    if (duration > kTimeout + kSlack) ++unanswered;
  }
  const bool broken =
      unanswered >= kFewUnanswered && unanswered * kUnansweredPart > late;
  return Conclude(test, broken,
                  std::to_string(late) +
                      " requests were unanswered at the route's Timeout, " +
                      std::to_string(unanswered) +
                      " of them had no final answer 0.5 s later");
}

}  // namespace
}  // namespace wisteriarill::review

int main(int argc, char** argv) {
  return wisteriarill::review::RunCase(
      argc, argv, wisteriarill::review::SuspendWhileAnswering);
}
