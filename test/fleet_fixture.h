/// \file
/// A small fleet of real processes for fault tests.
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

/// Two failure domains with three servers of one service each; workspaces
/// "alpha" and "beta" with ample rates, and a route open to all.
Deployment SmallMesh();

class FleetTest : public testing::Test {
 protected:
  void SetUp() override;
  void TearDown() override;

  /// Starts a fleet and waits until it serves.
  void StartFleet(FleetOptions options);
  /// Expects that every promise holds for `samples`.
  void ExpectPromises(const std::vector<LoadSample>& samples);
  /// Waits until `done` is true, at most `timeout`; returns whether it was.
  static bool WaitFor(const std::function<bool()>& done, nanoseconds timeout);
  /// Publishes the fleet's deployment with the next number.
  void PublishNext(Deployment deployment);

  std::string directory_;
  std::unique_ptr<Fleet> fleet_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_TEST_FLEET_FIXTURE_H_
