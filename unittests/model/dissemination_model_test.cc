#include "wisteriarill/model/dissemination_model.h"

#include <gtest/gtest.h>

#include "wisteriarill/model/rate_model.h"
#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kConvergenceTimeout = seconds(10);
constexpr std::uint64_t kMaxPlatformReadsPerSecond = 2000;

Deployment MakeMesh(std::uint64_t number, int servers_per_domain) {
  std::vector<WorkspaceSpec> workspaces;
  for (int i = 0; i < 60; ++i) {
    workspaces.push_back(MakeModelWorkspace("w" + std::to_string(i), 10, 20));
  }
  return MakeModelDeployment(number, 8, servers_per_domain, workspaces);
}

TEST(DisseminationModelTest, AChangeIsInForceOnAllNodesWithinTheTimeout) {
  DisseminationModel model({}, MakeMesh(1, 25));
  model.Publish(MakeMesh(1, 25));
  ASSERT_TRUE(model.RunUntilConverged(seconds(60)).has_value());
  for (std::uint64_t number = 2; number < 6; ++number) {
    Deployment next = MakeMesh(number, 25);
    next.workspaces[number].rate += 1;
    model.Publish(next);
    EXPECT_TRUE(model.RunUntilConverged(kConvergenceTimeout).has_value());
    model.RunFor(seconds(2));
  }
  EXPECT_EQ(InvariantViolations(), 0U);
}

TEST(DisseminationModelTest,
     ARestartOfAllNodesStaysBelowThePlatformsReadLimit) {
  DisseminationModel model({}, MakeMesh(1, 25));
  model.Publish(MakeMesh(1, 25));
  ASSERT_TRUE(model.RunUntilConverged(seconds(60)).has_value());
  model.RestartAll();
  EXPECT_TRUE(model.RunUntilConverged(seconds(60)).has_value());
  EXPECT_LT(model.counts().max_reads_per_second, kMaxPlatformReadsPerSecond);
  EXPECT_EQ(model.counts().refused_reads, 0U);
}

// Each node is entitled to a first read of the platform. If all nodes of a
// large fleet read at the same time, they exceed the platform's read limit.
TEST(DisseminationModelTest, FirstReadsOfAllNodesAreSpreadOverTime) {
  DisseminationModelOptions options;
  options.disseminator.fleet_reads_per_second = 100;
  options.platform_reads_per_second = 250;
  DisseminationModel model(options, MakeMesh(1, 50));
  model.Publish(MakeMesh(1, 50));
  EXPECT_TRUE(model.RunUntilConverged(seconds(60)).has_value());
  EXPECT_EQ(model.counts().refused_reads, 0U);
}

TEST(DisseminationModelTest,
     AVersionPublishedDuringAnOutageIsInForceSoonAfterIt) {
  DisseminationModel model({}, MakeMesh(1, 10));
  model.Publish(MakeMesh(1, 10));
  ASSERT_TRUE(model.RunUntilConverged(seconds(60)).has_value());
  model.SetPlatformUp(false);
  model.Publish(MakeMesh(2, 10));
  model.RunFor(seconds(30));
  model.SetPlatformUp(true);
  EXPECT_TRUE(model.RunUntilConverged(kConvergenceTimeout).has_value());
}

}  // namespace
}  // namespace wisteriarill
