#include "wisteriarill/model/dissemination_model.h"

#include <gtest/gtest.h>

#include "wisteriarill/model/rate_model.h"
#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kInForce = seconds(10);
constexpr std::uint64_t kPlatformBudget = 2000;

Deployment Mesh(std::uint64_t number, int servers_each) {
  std::vector<WorkspaceSpec> workspaces;
  for (int i = 0; i < 60; ++i) {
    workspaces.push_back(MakeModelWorkspace("w" + std::to_string(i), 10, 20));
  }
  return MakeModelDeployment(number, 8, servers_each, workspaces);
}

TEST(SpreadModelTest, AChangeIsInForceEverywhereInTime) {
  DisseminationModel model({}, Mesh(1, 25));
  model.Publish(Mesh(1, 25));
  ASSERT_TRUE(model.RunUntilConverged(seconds(60)).has_value());
  for (std::uint64_t number = 2; number < 6; ++number) {
    Deployment next = Mesh(number, 25);
    next.workspaces[number].rate += 1;
    model.Publish(next);
    EXPECT_TRUE(model.RunUntilConverged(kInForce).has_value());
    model.RunFor(seconds(2));
  }
  EXPECT_EQ(InvariantViolations(), 0U);
}

TEST(SpreadModelTest, AHerdRestartStaysUnderThePlatformsBudget) {
  DisseminationModel model({}, Mesh(1, 25));
  model.Publish(Mesh(1, 25));
  ASSERT_TRUE(model.RunUntilConverged(seconds(60)).has_value());
  model.RestartAll();
  EXPECT_TRUE(model.RunUntilConverged(seconds(60)).has_value());
  EXPECT_LT(model.counts().max_reads_per_second, kPlatformBudget);
  EXPECT_EQ(model.counts().refused_reads, 0U);
}

// Every node has an equal right to a first read; all of them at once would
// exceed the budget at fleet size.
TEST(SpreadModelTest, FirstReadsOfAHerdAreSpreadOverTime) {
  DisseminationModelOptions options;
  options.disseminator.fleet_reads_per_second = 100;
  options.platform_budget = 250;
  DisseminationModel model(options, Mesh(1, 50));
  model.Publish(Mesh(1, 50));
  EXPECT_TRUE(model.RunUntilConverged(seconds(60)).has_value());
  EXPECT_EQ(model.counts().refused_reads, 0U);
}

TEST(SpreadModelTest, AnOutageDelaysOnlyUntilItsEnd) {
  DisseminationModel model({}, Mesh(1, 10));
  model.Publish(Mesh(1, 10));
  ASSERT_TRUE(model.RunUntilConverged(seconds(60)).has_value());
  model.SetPlatformUp(false);
  model.Publish(Mesh(2, 10));
  model.RunFor(seconds(30));
  model.SetPlatformUp(true);
  EXPECT_TRUE(model.RunUntilConverged(kInForce).has_value());
}

}  // namespace
}  // namespace wisteriarill
