/// \file
/// A test fixture with a small deployment of real processes.
#ifndef WISTERIARILL_TEST_FLEET_FIXTURE_H_
#define WISTERIARILL_TEST_FLEET_FIXTURE_H_

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "wisteriarill/standin/fleet.h"
#include "wisteriarill/standin/guarantee_check.h"
#include "wisteriarill/standin/load_generator.h"

namespace wisteriarill {

/// Returns a deployment of one service with three servers in each of two
/// failure domains, workspaces "alpha" and "beta" with ample rates, and a route
/// without authentication.
Deployment SmallDeployment();

/// Starts a fleet in a temporary directory, which is kept if the test fails.
class FleetTest : public testing::Test {
 protected:
  void SetUp() override;
  void TearDown() override;

  /// Starts a fleet and waits until it serves calls.
  void StartFleet(FleetOptions options);
  /// Expects that `samples` and the fleet violate no guarantee.
  void ExpectGuarantees(const std::vector<LoadSample>& samples);
  /// Waits up to `timeout` until `done` returns true; returns whether it did.
  static bool WaitFor(const std::function<bool()>& done, nanoseconds timeout);
  /// Publishes `deployment` with the next version number.
  void PublishNextVersion(Deployment deployment);

  std::string directory_;
  std::unique_ptr<Fleet> fleet_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_TEST_FLEET_FIXTURE_H_
