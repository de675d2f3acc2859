/// \file
/// Case: machines are stopped and started in turn while one tenant sends many
/// times its allotment.
#include <algorithm>
#include <csignal>
#include <map>
#include <thread>

#include "load.h"

namespace wisteriarill::review {
namespace {

constexpr const char* kService = "booking";
constexpr const char* kTenant = "tenant-374";
constexpr const char* kKey = "key-of-the-hot-tenant";
constexpr int kMachinesPerZone = 3;
constexpr int kSlots = 12;
constexpr milliseconds kWork{10};
constexpr int kRatePerS = 60;
constexpr int kBurst = 20;
constexpr int kClientsPerMachine = 3;
/// All clients together send 7.5 times the tenant's allotment.
constexpr milliseconds kSendInterval{40};
/// Ends shortly after the readiness questions, which come every second.
constexpr milliseconds kCalmTime{6200};
constexpr milliseconds kRollGap{1000};
constexpr milliseconds kGrace{6000};
constexpr milliseconds kRestartDelay{300};
constexpr milliseconds kPollInterval{10};
constexpr milliseconds kAfterwards{4000};

// Bounds of the rule QUOTA.
constexpr milliseconds kWindow{5000};
constexpr double kOver = 0.25;
constexpr double kSlack = 20;

Configuration MakeConfiguration() {
  Configuration configuration;
  configuration.services = {kService};
  configuration.routes = {{"r-list", "/booking/", kService}};
  configuration.tenants = {{kTenant, {kKey}, kRatePerS, kBurst}};
  return configuration;
}

/// Sends SIGTERM to one node after the other, and starts each again soon after
/// its end.
class RollingStop {
 public:
  explicit RollingStop(Case* test)
      : test_(test),
        began_(Clock::now()),
        stops_(test->mesh->machines().size()) {}

  /// Returns when all nodes have been started again.
  void Run() {
    while (restarted_ < stops_.size()) {
      SignalNext();
      for (std::size_t i = 0; i < signalled_; ++i) Follow(i);
      if (Clock::now() > began_ + kRollGap * stops_.size() + kGrace) KillAll();
      std::this_thread::sleep_for(kPollInterval);
    }
  }

 private:
  struct Stop {
    bool ended = false;
    bool restarted = false;
    Instant ended_at;
  };

  Machine* MachineAt(std::size_t i) { return test_->mesh->machines()[i].get(); }

  void SignalNext() {
    const bool due = Clock::now() >= began_ + kRollGap * signalled_;
    if (signalled_ == stops_.size() || !due) return;
    Machine* machine = MachineAt(signalled_++);
    test_->record->Add("platform: SIGTERM to " + machine->name);
    machine->node.Signal(SIGTERM);
  }

  /// Notices the end of a node that was stopped, and starts it again.
  void Follow(std::size_t i) {
    Machine* machine = MachineAt(i);
    Stop& stop = stops_[i];
    if (!stop.ended && machine->node.WaitForEnd(milliseconds(0))) {
      test_->record->Add("platform: node of " + machine->name + " has ended");
      stop.ended = true;
      stop.ended_at = Clock::now();
    }
    const bool due = stop.ended && !stop.restarted &&
                     Clock::now() >= stop.ended_at + kRestartDelay;
    if (!due) return;
    test_->mesh->StartNode(machine);
    stop.restarted = true;
    ++restarted_;
  }

  void KillAll() {
    for (std::size_t i = 0; i < stops_.size(); ++i)
      MachineAt(i)->node.Signal(SIGKILL);
  }

  Case* test_;
  Instant began_;
  std::vector<Stop> stops_;
  std::size_t signalled_ = 0;
  std::size_t restarted_ = 0;
};

/// Returns the largest number of requests that were both sent and run within
/// one window.
int LargestWindow(const std::vector<Run>& runs, const Load& load,
                  Instant* begin) {
  int most = 0;
  for (const Run& first : runs) {
    const Instant from = load.AttemptOf(first).result.sent_at;
    const auto count =
        std::count_if(runs.begin(), runs.end(), [&load, from](const Run& run) {
          return load.AttemptOf(run).result.sent_at >= from &&
                 run.at <= from + kWindow;
        });
    if (count > most) {
      most = static_cast<int>(count);
      *begin = from;
    }
  }
  return most;
}

int RollWithHotTenant(Case* test) {
  Mesh& mesh = *test->mesh;
  for (const char* zone : {"brest", "rennes"}) {
    for (int i = 0; i < kMachinesPerZone; ++i)
      mesh.Add(zone, kService, UpstreamBehavior{kWork}, kSlots);
  }
  if (!mesh.OpenStore()) return kExitNotRun;
  mesh.Publish(MakeConfiguration());
  mesh.Register();
  if (!mesh.Start()) return kExitNotRun;
  mesh.WatchReadiness();
  CallRequest request;
  request.path = "/booking/list";
  request.key = kKey;
  Load load(test, kSendInterval);
  load.StartEverywhere(kClientsPerMachine, request);
  std::this_thread::sleep_for(kCalmTime);
  if (test->with_trouble) {
    RollingStop(test).Run();
  } else {
    std::this_thread::sleep_for(kCalmTime);
  }
  std::this_thread::sleep_for(kAfterwards);
  load.Stop();
  const std::vector<Run> runs = mesh.ReadRuns();
  for (const Run& run : runs)
    test->record->AddAt(run.at, "upstream " + run.instance + " runs " + run.id);
  Instant begin;
  const int most = LargestWindow(runs, load, &begin);
  const double window_s = std::chrono::duration<double>(kWindow).count();
  const double bound = (kRatePerS * window_s + kBurst) * (1 + kOver) + kSlack;
  return Conclude(
      test, most > bound,
      std::to_string(most) + " requests of the tenant ran in the 5 s from " +
          std::to_string(test->record->Since(begin).count()) +
          " ms on; QUOTA allows " + std::to_string(static_cast<int>(bound)));
}

}  // namespace
}  // namespace wisteriarill::review

int main(int argc, char** argv) {
  return wisteriarill::review::RunCase(argc, argv,
                                       wisteriarill::review::RollWithHotTenant);
}
