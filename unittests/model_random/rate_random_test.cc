/// \file
/// Long random runs of rate limiting under faults. Whatever fails, the nodes
/// together never admit more calls than a single bucket of the published rate
/// and burst allows.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>
#include <set>

#include "wisteriarill/model/rate_model.h"
#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

constexpr int kDomains = 8;
constexpr int kServersPerDomain = 13;
constexpr int kFaultsPerRun = 60;
constexpr int kRuns = 16;

// Uses short timeouts, so that shards change owners within a run of minutes.
RateModelOptions ShortTimeoutOptions(std::uint64_t seed) {
  RateModelOptions options;
  options.seed = seed;
  options.owner.confirmation_timeout = seconds(20);
  options.owner.max_claim_confirmation_age = seconds(5);
  return options;
}

class RandomFaultRun {
 public:
  RandomFaultRun(std::uint64_t seed, const RateModelOptions& options)
      : random_(seed),
        deployment_(
            MakeModelDeployment(1, kDomains, kServersPerDomain,
                                {MakeModelWorkspace("busy", 100, 60),
                                 MakeModelWorkspace("small", 12, 6),
                                 MakeModelWorkspace("lonely", 50, 40)})),
        model_(options, deployment_) {}

  void Run() {
    model_.RunFor(seconds(8));
    model_.OfferCalls("busy", 500, model_.servers(), seconds(300));
    model_.OfferCalls("small", 20, model_.servers(), seconds(300));
    model_.OfferCalls("lonely", 70, {model_.servers()[7]}, seconds(300));
    for (int step = 0; step < kFaultsPerRun; ++step) {
      InjectFault();
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
  std::string PickServer() {
    const auto& names = model_.servers();
    return names[random_() % names.size()];
  }

  void InjectFault() {
    switch (random_() % 9) {
      case 0:
        model_.Kill(PickServer());
        break;
      case 1:
        RestartRandomNodes();
        break;
      case 2:
        model_.Freeze(PickServer(), milliseconds(random_() % 60'000));
        break;
      case 3:
        FreezeAndReplace();
        break;
      case 4:
        PartitionByDomain();
        break;
      case 5:
        PartitionAtRandom();
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

  void RestartRandomNodes() {
    for (const std::string& name : model_.servers()) {
      if (random_() % 4 != 0) continue;
      model_.Kill(name);
      model_.Start(name);
    }
  }

  void FreezeAndReplace() {
    const std::string server = PickServer();
    model_.Freeze(server, milliseconds(random_() % 20'000));
    model_.Replace(server);
  }

  void PartitionByDomain() {
    std::map<std::string, int> groups;
    const std::uint64_t mask = random_();
    for (const std::string& name : model_.servers()) {
      const int domain = name[2] - '0';
      groups[name] = static_cast<int>((mask >> domain) & 1);
    }
    PartitionNetwork(std::move(groups));
  }

  void PartitionAtRandom() {
    std::map<std::string, int> groups;
    for (const std::string& name : model_.servers()) {
      groups[name] = random_() % 3 == 0 ? 1 : 0;
    }
    PartitionNetwork(std::move(groups));
  }

  void PartitionNetwork(std::map<std::string, int> groups) {
    model_.Partition(std::move(groups), random_() % 2 == 0);
    // The platform is reachable from one group, all groups, or none.
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

  // Toggles the leaving state of random servers. Owners of shards are four
  // times as likely to change as other servers.
  void ChangeServers() {
    ++deployment_.number;
    const auto snapshot = Snapshot::Compile({1, 1}, deployment_).value();
    std::set<std::string> owners;
    for (std::uint32_t i = 0; i < snapshot->workspaces().size(); ++i) {
      for (const RateShard& shard :
           PlanRateShards(*snapshot, WorkspaceId{i}, {})) {
        owners.insert(snapshot->server(shard.owner).name);
      }
    }
    for (ServerSpec& server : deployment_.services.front().servers) {
      const unsigned one_in = owners.count(server.name) > 0 ? 3 : 12;
      if (random_() % one_in == 0) server.leaving = !server.leaving;
    }
    model_.Publish(deployment_);
  }

  std::mt19937_64 random_;
  Deployment deployment_;
  RateModel model_;
};

TEST(RateRandomTest, FaultsAdmitNoMoreThanOneBucket) {
  ResetInvariantViolations();
  for (int run = 0; run < kRuns; ++run) {
    const auto seed = static_cast<std::uint64_t>(run) + 1;
    RandomFaultRun fault_run(seed, ShortTimeoutOptions(seed));
    fault_run.Run();
    EXPECT_EQ(fault_run.Overshoot(), 0U) << "seed " << seed;
    EXPECT_GT(fault_run.Admitted(), 1000U) << "seed " << seed;
  }
  EXPECT_EQ(InvariantViolations(), 0U);
}

// The owner of each shard leaves while a partition separates it and half of the
// mesh from the platform. The old owner does not learn of its replacement, and
// the new owner in the other group must not grant the same tokens.
std::uint64_t OvershootWhenOwnersChangeDuringAPartition(bool enforce_waits) {
  RateModelOptions options = ShortTimeoutOptions(5);
  options.owner.enforce_waits = enforce_waits;
  Deployment deployment = MakeModelDeployment(
      1, kDomains, kServersPerDomain, {MakeModelWorkspace("busy", 100, 60)});
  RateModel model(options, deployment);
  model.RunFor(seconds(8));
  model.OfferCalls("busy", 500, model.servers(), seconds(60));
  const auto snapshot = Snapshot::Compile({1, 1}, deployment).value();
  std::map<std::string, int> groups;
  int index = 0;
  for (const std::string& name : model.servers()) groups[name] = ++index % 2;
  for (const RateShard& shard : PlanRateShards(*snapshot, WorkspaceId{0}, {})) {
    const std::string& owner_name = snapshot->server(shard.owner).name;
    groups[owner_name] = 1;
    for (ServerSpec& server : deployment.services.front().servers) {
      if (server.name == owner_name) server.leaving = true;
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

TEST(RateRandomTest, OwnersThatChangeDuringAPartitionOvershootWithoutWaits) {
  EXPECT_GT(OvershootWhenOwnersChangeDuringAPartition(false), 0U);
}

TEST(RateRandomTest, OwnersThatChangeDuringAPartitionDoNotOvershoot) {
  EXPECT_EQ(OvershootWhenOwnersChangeDuringAPartition(true), 0U);
}

// Every node freezes and is replaced. The old processes resume with callers
// still connected and must not grant the tokens that their replacements grant.
std::uint64_t OvershootWhenAFrozenOwnerResumes(bool enforce_waits) {
  RateModelOptions options = ShortTimeoutOptions(6);
  options.owner.enforce_waits = enforce_waits;
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

TEST(RateRandomTest, AFrozenOwnerThatResumesOvershootsWithoutWaits) {
  EXPECT_GT(OvershootWhenAFrozenOwnerResumes(false), 0U);
}

TEST(RateRandomTest, AFrozenOwnerThatResumesDoesNotOvershoot) {
  EXPECT_EQ(OvershootWhenAFrozenOwnerResumes(true), 0U);
}

}  // namespace
}  // namespace wisteriarill
