/// \file
/// Long random runs of rates under faults: the whole never admits more than
/// one bucket of the published size would, whatever fails.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>
#include <set>

#include "wisteriarill/model/rate_model.h"
#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

constexpr int kDomains = 8;
constexpr int kServersEach = 13;
constexpr int kSteps = 60;
constexpr int kRuns = 16;

// Short fences, so that a run of minutes sees parts change hands.
RateModelOptions FastOptions(std::uint64_t seed) {
  RateModelOptions options;
  options.seed = seed;
  options.owner.confirmation_timeout = seconds(20);
  options.owner.max_claim_confirmation_age = seconds(5);
  return options;
}

class RandomRun {
 public:
  RandomRun(std::uint64_t seed, const RateModelOptions& options)
      : random_(seed),
        deployment_(
            MakeModelDeployment(1, kDomains, kServersEach,
                                {MakeModelWorkspace("busy", 100, 60),
                                 MakeModelWorkspace("small", 12, 6),
                                 MakeModelWorkspace("lonely", 50, 40)})),
        model_(options, deployment_) {}

  void Run() {
    model_.RunFor(seconds(8));
    model_.OfferCalls("busy", 500, model_.servers(), seconds(300));
    model_.OfferCalls("small", 20, model_.servers(), seconds(300));
    model_.OfferCalls("lonely", 70, {model_.servers()[7]}, seconds(300));
    for (int step = 0; step < kSteps; ++step) {
      Fault();
      model_.RunFor(milliseconds(random_() % 6000));
    }
    model_.Heal();
    model_.SetPlatformGroup(-1);
    model_.RunFor(seconds(5));
  }

  std::uint64_t Overshoot() const {
    std::uint64_t overshoot = 0;
    for (const auto& [name, tally] : model_.Report().tallies) {
      overshoot += tally.overshoot;
    }
    return overshoot;
  }

  std::uint64_t Admitted() const {
    return model_.Report().tallies.at("busy").admitted;
  }

 private:
  std::string AnyServer() {
    const auto& names = model_.servers();
    return names[random_() % names.size()];
  }

  void Fault() {
    switch (random_() % 9) {
      case 0:
        model_.Kill(AnyServer());
        break;
      case 1:
        RestartHerd();
        break;
      case 2:
        model_.Freeze(AnyServer(), milliseconds(random_() % 60'000));
        break;
      case 3:
        FreezeAndReplace();
        break;
      case 4:
        CutDomains();
        break;
      case 5:
        CutAcross();
        break;
      case 6:
        model_.Heal();
        model_.SetPlatformGroup(-1);
        break;
      case 7:
        ChangeRates();
        break;
      default:
        ChangeServers();
        break;
    }
  }

  void RestartHerd() {
    for (const std::string& name : model_.servers()) {
      if (random_() % 4 != 0) continue;
      model_.Kill(name);
      model_.Start(name);
    }
  }

  void FreezeAndReplace() {
    const std::string server = AnyServer();
    model_.Freeze(server, milliseconds(random_() % 20'000));
    model_.Replace(server);
  }

  void CutDomains() {
    std::map<std::string, int> groups;
    const std::uint64_t mask = random_();
    for (const std::string& name : model_.servers()) {
      const int domain = name[2] - '0';
      groups[name] = static_cast<int>((mask >> domain) & 1);
    }
    Cut(std::move(groups));
  }

  void CutAcross() {
    std::map<std::string, int> groups;
    for (const std::string& name : model_.servers()) {
      groups[name] = random_() % 3 == 0 ? 1 : 0;
    }
    Cut(std::move(groups));
  }

  void Cut(std::map<std::string, int> groups) {
    model_.Partition(std::move(groups), random_() % 2 == 0);
    // The platform is reached from one side, all sides, or none.
    model_.SetPlatformGroup(static_cast<int>(random_() % 4) - 2);
  }

  void ChangeRates() {
    ++deployment_.number;
    for (WorkspaceSpec& workspace : deployment_.workspaces) {
      const auto factor = static_cast<std::int64_t>(random_() % 3 + 1);
      workspace.rate = workspace.rate * factor / 2;
      workspace.rate = std::clamp<std::int64_t>(
          workspace.rate, kMicroTokensPerToken, 500 * kMicroTokensPerToken);
      workspace.burst =
          kMicroTokensPerToken * static_cast<std::int64_t>(random_() % 120 + 1);
    }
    model_.Publish(deployment_);
  }

  // Servers leave and come back, homes above all.
  void ChangeServers() {
    ++deployment_.number;
    const auto snapshot = Snapshot::Compile({1, 1}, deployment_).value();
    std::set<std::string> homes;
    for (std::uint32_t i = 0; i < snapshot->workspaces().size(); ++i) {
      for (const RateShard& part :
           PlanRateShards(*snapshot, WorkspaceId{i}, {})) {
        homes.insert(snapshot->server(part.owner).name);
      }
    }
    for (ServerSpec& server : deployment_.services.front().servers) {
      const unsigned odds = homes.count(server.name) > 0 ? 3 : 12;
      if (random_() % odds == 0) server.leaving = !server.leaving;
    }
    model_.Publish(deployment_);
  }

  std::mt19937_64 random_;
  Deployment deployment_;
  RateModel model_;
};

TEST(RateRandomTest, NoFaultsLetMoreThroughThanOneBucket) {
  ResetInvariantViolations();
  for (int run = 0; run < kRuns; ++run) {
    const auto seed = static_cast<std::uint64_t>(run) + 1;
    RandomRun random(seed, FastOptions(seed));
    random.Run();
    EXPECT_EQ(random.Overshoot(), 0U) << "seed " << seed;
    EXPECT_GT(random.Admitted(), 1000U) << "seed " << seed;
  }
  EXPECT_EQ(InvariantViolations(), 0U);
}

// A part's home leaves while it is cut off with half of the mesh: the new
// home on the other side must not give out the same tokens.
std::uint64_t OvershootWhenHomesMoveInACut(bool waits) {
  RateModelOptions options = FastOptions(5);
  options.owner.enforce_waits = waits;
  Deployment deployment = MakeModelDeployment(
      1, kDomains, kServersEach, {MakeModelWorkspace("busy", 100, 60)});
  RateModel model(options, deployment);
  model.RunFor(seconds(8));
  model.OfferCalls("busy", 500, model.servers(), seconds(60));
  const auto snapshot = Snapshot::Compile({1, 1}, deployment).value();
  std::map<std::string, int> groups;
  int turn = 0;
  for (const std::string& name : model.servers()) groups[name] = ++turn % 2;
  for (const RateShard& part : PlanRateShards(*snapshot, WorkspaceId{0}, {})) {
    const std::string& home = snapshot->server(part.owner).name;
    groups[home] = 1;
    for (ServerSpec& server : deployment.services.front().servers) {
      if (server.name == home) server.leaving = true;
    }
  }
  model.Partition(groups, true);
  model.SetPlatformGroup(0);
  ++deployment.number;
  model.Publish(deployment);
  model.RunFor(seconds(15));
  model.Heal();
  model.RunFor(seconds(45));
  const std::uint64_t overshoot = model.Report().tallies.at("busy").overshoot;
  ResetInvariantViolations();
  return overshoot;
}

TEST(RateRandomTest, HomesThatMoveInACutBreakThePromiseWithoutWaits) {
  EXPECT_GT(OvershootWhenHomesMoveInACut(false), 0U);
}

TEST(RateRandomTest, HomesThatMoveInACutKeepThePromise) {
  EXPECT_EQ(OvershootWhenHomesMoveInACut(true), 0U);
}

// A home freezes, is replaced, and wakes with callers still connected to it.
std::uint64_t OvershootWhenFrozenHomeWakes(bool waits) {
  RateModelOptions options = FastOptions(6);
  options.owner.enforce_waits = waits;
  const Deployment deployment =
      MakeModelDeployment(1, 1, 2, {MakeModelWorkspace("busy", 100, 60)});
  RateModel model(options, deployment);
  model.RunFor(seconds(8));
  model.OfferCalls("busy", 800, model.servers(), seconds(60));
  for (const std::string& server : model.servers()) {
    model.Freeze(server, seconds(12));
    model.Replace(server);
  }
  model.RunFor(seconds(40));
  const std::uint64_t overshoot = model.Report().tallies.at("busy").overshoot;
  ResetInvariantViolations();
  return overshoot;
}

TEST(RateRandomTest, AFrozenHomeThatWakesBreaksThePromiseWithoutWaits) {
  EXPECT_GT(OvershootWhenFrozenHomeWakes(false), 0U);
}

TEST(RateRandomTest, AFrozenHomeThatWakesKeepsThePromise) {
  EXPECT_EQ(OvershootWhenFrozenHomeWakes(true), 0U);
}

}  // namespace
}  // namespace wisteriarill
