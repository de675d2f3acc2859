/// \file
/// Publishes releases during faults. No node may go back to an older version or
/// apply an incomplete release, and every node must have an accepted version in
/// force within ten seconds of the end of the fault.
#include <thread>

#include "fleet_fixture.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/version/release.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kInForceTimeout = seconds(10);
constexpr nanoseconds kWithdrawalTimeout = seconds(5);

class ConfigurationFaultTest : public FleetTest {
 protected:
  void Start() {
    FleetOptions options;
    options.deployment = SmallDeployment();
    options.relays = true;
    StartFleet(std::move(options));
  }

  Deployment DeploymentWithHigherRate() {
    Deployment deployment = fleet_->deployment();
    deployment.workspaces[0].rate += kMicroTokensPerToken;
    return deployment;
  }

  void ExpectInForce(std::uint64_t number) {
    EXPECT_TRUE(fleet_->WaitForVersion(number, kInForceTimeout).has_value());
    ExpectGuarantees({});
  }

  void SetFaultBetweenDomains(LinkFault fault) {
    for (const auto& [name, server] : fleet_->servers()) {
      for (const auto& [other_name, other] : fleet_->servers()) {
        if (server.failure_domain != other.failure_domain) {
          fleet_->relay().SetFault(server.node_ip, other.node_ip, fault);
        }
      }
    }
  }
};

TEST_F(ConfigurationFaultTest, PlatformDownWhileNodesRestart) {
  Start();
  fleet_->SetPlatformMode("down");
  for (const char* name : {"north-1", "north-2", "south-3"}) {
    fleet_->KillNode(name);
    ASSERT_TRUE(fleet_->StartNode(name).has_value());
  }
  // Restarted nodes get the version from their peers.
  EXPECT_TRUE(fleet_->WaitForVersion(1, kInForceTimeout).has_value());
  fleet_->SetPlatformMode("normal");
  PublishNextVersion(DeploymentWithHigherRate());
  ExpectInForce(2);
}

TEST_F(ConfigurationFaultTest, EveryNodeRestartsDuringARelease) {
  Start();
  PublishNextVersion(DeploymentWithHigherRate());
  for (const auto& [name, server] : fleet_->servers()) fleet_->KillNode(name);
  for (const auto& [name, server] : fleet_->servers()) {
    ASSERT_TRUE(fleet_->StartNode(name).has_value());
  }
  ExpectInForce(2);
}

TEST_F(ConfigurationFaultTest, NodesAreSuspendedDuringARelease) {
  Start();
  fleet_->FreezeNode("north-1");
  fleet_->FreezeNode("south-2");
  PublishNextVersion(DeploymentWithHigherRate());
  std::this_thread::sleep_for(seconds(3));
  fleet_->ResumeNode("north-1");
  fleet_->ResumeNode("south-2");
  ExpectInForce(2);
}

TEST_F(ConfigurationFaultTest, FailureDomainsArePartitionedDuringReleases) {
  Start();
  for (const LinkFault fault :
       {LinkFault::kDisconnected, LinkFault::kStalled, LinkFault::kBlackHole}) {
    SetFaultBetweenDomains(fault);
    PublishNextVersion(DeploymentWithHigherRate());
    std::this_thread::sleep_for(seconds(2));
    fleet_->relay().Heal();
    ExpectInForce(fleet_->deployment().number);
  }
}

TEST_F(ConfigurationFaultTest, PlatformFailsInEveryModeDuringReleases) {
  Start();
  for (const char* mode : {"down", "silent", "stale", "garbage"}) {
    SCOPED_TRACE(mode);
    fleet_->SetPlatformMode(mode);
    PublishNextVersion(DeploymentWithHigherRate());
    std::this_thread::sleep_for(seconds(2));
    fleet_->SetPlatformMode("normal");
    ExpectInForce(fleet_->deployment().number);
  }
}

// Operators publish two versions with the same number and then an older one.
// Every node must end at the highest pair of number and revision.
TEST_F(ConfigurationFaultTest, ConflictingPublicationsConverge) {
  Start();
  Deployment second_published = DeploymentWithHigherRate();
  second_published.number = 5;
  Deployment first_published = DeploymentWithHigherRate();
  first_published.workspaces[1].rate += kMicroTokensPerToken;
  first_published.number = 5;
  Deployment lower_number = DeploymentWithHigherRate();
  lower_number.number = 4;
  std::thread first_operator(
      [&] { EXPECT_TRUE(fleet_->Publish(first_published).has_value()); });
  first_operator.join();
  EXPECT_TRUE(fleet_->Publish(second_published).has_value());
  EXPECT_TRUE(fleet_->Publish(lower_number).has_value());
  ExpectInForce(5);
  std::this_thread::sleep_for(seconds(2));
  for (const auto& [name, server] : fleet_->servers()) {
    EXPECT_EQ(fleet_->VersionAt(name), 5U) << name;
  }
}

TEST_F(ConfigurationFaultTest, AnInvalidVersionIsRejectedAndReported) {
  Start();
  Deployment invalid = DeploymentWithHigherRate();
  invalid.number = 2;
  invalid.routes[0].service = "missing";
  const Release release =
      PackDeployment(fleet_->WithFleetAddresses(invalid)).value();
  for (const auto& [digest, bytes] : release.chunks) {
    HttpPut(fleet_->platform_address(), "/admin/values/chunks/" + ToHex(digest),
            bytes);
  }
  HttpPut(fleet_->platform_address(), "/admin/values/manifest",
          release.manifest);
  for (const auto& [name, server] : fleet_->servers()) {
    const std::string& operators = server.operator_address;
    EXPECT_TRUE(WaitFor(
        [&] {
          return HttpGet(operators, "/status").find("missing") !=
                 std::string::npos;
        },
        kInForceTimeout))
        << name;
    EXPECT_EQ(fleet_->VersionAt(name), 1U) << name;
  }
  Deployment valid = DeploymentWithHigherRate();
  valid.number = 3;
  ASSERT_TRUE(fleet_->Publish(valid).has_value());
  ExpectInForce(3);
}

// A version with a chunk that was never published does not come into force; the
// next version does.
TEST_F(ConfigurationFaultTest, AVersionWithAMissingChunkIsNotInForce) {
  Start();
  Deployment next = DeploymentWithHigherRate();
  next.number = 2;
  const Release release =
      PackDeployment(fleet_->WithFleetAddresses(next)).value();
  HttpPut(fleet_->platform_address(), "/admin/values/manifest",
          release.manifest);
  std::this_thread::sleep_for(seconds(2));
  for (const auto& [name, server] : fleet_->servers()) {
    EXPECT_EQ(fleet_->VersionAt(name), 1U) << name;
  }
  Deployment complete = DeploymentWithHigherRate();
  complete.number = 3;
  ASSERT_TRUE(fleet_->Publish(complete).has_value());
  ExpectInForce(3);
}

TEST_F(ConfigurationFaultTest, AWithdrawnKeyIsRefusedOnOpenConnections) {
  Start();
  std::map<std::string, std::unique_ptr<HttpConnection>> connections;
  HttpCall call;
  call.path = "/x";
  call.key = Fleet::KeyForWorkspace("beta");
  for (const auto& [name, server] : fleet_->servers()) {
    connections[name] =
        std::make_unique<HttpConnection>(server.caller_address, seconds(5));
    EXPECT_EQ(connections[name]->Call(call).status, 200) << name;
  }
  Deployment next = fleet_->deployment();
  next.workspaces[1].key_digests.clear();
  PublishNextVersion(next);
  for (auto& [name, connection] : connections) {
    EXPECT_TRUE(WaitFor([&] { return connection->Call(call).status == 401; },
                        kWithdrawalTimeout))
        << name;
  }
  call.key = Fleet::KeyForWorkspace("alpha");
  EXPECT_EQ(connections.begin()->second->Call(call).status, 200);
}

TEST_F(ConfigurationFaultTest, AFailureDomainOutOfServiceGetsNoCalls) {
  Start();
  LoadStream stream;
  stream.workspace = "alpha";
  stream.rate = 150;
  stream.call.path = "/x";
  stream.call.method = "POST";
  stream.call.key = Fleet::KeyForWorkspace("alpha");
  for (const auto& [name, server] : fleet_->servers()) {
    stream.addresses.push_back(server.caller_address);
  }
  LoadGenerator load({stream}, 32, 3);
  load.Start();
  std::this_thread::sleep_for(seconds(1));
  Deployment out_of_service = fleet_->deployment();
  out_of_service.failure_domains[0].in_service = false;
  PublishNextVersion(out_of_service);
  std::this_thread::sleep_for(seconds(3));
  const auto executed_in_north = [this] {
    double sum = 0;
    for (const auto& [name, server] : fleet_->servers()) {
      if (server.failure_domain != "north") continue;
      sum += FindMetric(HttpGet(server.backend_address, "/admin/stats"),
                        "started");
    }
    return sum;
  };
  const double before = executed_in_north();
  std::this_thread::sleep_for(seconds(2));
  EXPECT_EQ(executed_in_north(), before);
  Deployment in_service_again = fleet_->deployment();
  in_service_again.failure_domains[0].in_service = true;
  PublishNextVersion(in_service_again);
  EXPECT_TRUE(
      WaitFor([&] { return executed_in_north() > before; }, seconds(10)));
  const std::vector<LoadSample> samples = load.Stop();
  for (const LoadSample& sample : samples) {
    EXPECT_EQ(sample.status, 200) << sample.outcome;
  }
  ExpectGuarantees(samples);
}

}  // namespace
}  // namespace wisteriarill
