#include "fleet_fixture.h"

#include <cstdlib>
#include <filesystem>
#include <thread>
#include <utility>

namespace wisteriarill {
namespace {

constexpr nanoseconds kServingTimeout = seconds(40);
constexpr nanoseconds kPollInterval = milliseconds(20);

WorkspaceSpec MakeWorkspace(const std::string& name) {
  WorkspaceSpec workspace;
  workspace.name = name;
  workspace.rate = 2000 * kMicroTokensPerToken;
  workspace.burst = 1000 * kMicroTokensPerToken;
  workspace.key_digests = {"replaced by the fleet"};
  return workspace;
}

RouteSpec MakeRoute(const std::string& name, const std::string& prefix) {
  RouteSpec route;
  route.name = name;
  route.path_prefix = prefix;
  route.service = "depot";
  return route;
}

}  // namespace

Deployment SmallDeployment() {
  Deployment deployment;
  deployment.number = 1;
  deployment.failure_domains = {{"north", "r", true, {}},
                                {"south", "r", true, {}}};
  ServiceSpec service;
  service.name = "depot";
  service.slots = 8;
  service.cold_slots = 2;
  service.warmup = milliseconds(2500);
  service.timeout = milliseconds(4000);
  for (const char* domain : {"north", "south"}) {
    for (const char* index : {"1", "2", "3"}) {
      service.servers.push_back(
          {std::string(domain) + "-" + index, domain, "", false, {}});
    }
  }
  deployment.services = {service};
  RouteSpec open = MakeRoute("open", "/open");
  open.open = true;
  RouteSpec only_beta = MakeRoute("beta", "/beta");
  only_beta.workspaces = {"beta"};
  RouteSpec slow = MakeRoute("slow", "/slow");
  slow.timeout = milliseconds(30000);
  deployment.routes = {MakeRoute("all", "/"), open, only_beta, slow};
  deployment.workspaces = {MakeWorkspace("alpha"), MakeWorkspace("beta")};
  return deployment;
}

void FleetTest::SetUp() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
  directory_ = mkdtemp(pattern.data());
}

void FleetTest::TearDown() {
  fleet_.reset();
  if (!HasFailure()) std::filesystem::remove_all(directory_);
}

void FleetTest::StartFleet(FleetOptions options) {
  options.programs = WISTERIARILL_PROGRAMS;
  options.directory = directory_;
  options.log_executions = true;
  fleet_ = std::make_unique<Fleet>(std::move(options));
  const Status started = fleet_->Start();
  ASSERT_TRUE(started.has_value()) << started.error().Describe();
  ASSERT_TRUE(fleet_->WaitUntilServing(kServingTimeout));
}

void FleetTest::ExpectGuarantees(const std::vector<LoadSample>& samples) {
  for (const GuaranteeResult& result :
       CheckGuarantees(fleet_.get(), samples, ReadExecutions(fleet_.get()))) {
    EXPECT_EQ(result.violations, 0U)
        << result.guarantee << ", of " << result.checked;
  }
}

bool FleetTest::WaitFor(const std::function<bool()>& done,
                        nanoseconds timeout) {
  const Instant end = BootClock::now() + timeout;
  while (!done()) {
    if (BootClock::now() > end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

void FleetTest::PublishNextVersion(Deployment deployment) {
  deployment.number = fleet_->deployment().number + 1;
  const Status published = fleet_->Publish(deployment);
  ASSERT_TRUE(published.has_value()) << published.error().Describe();
}

}  // namespace wisteriarill
