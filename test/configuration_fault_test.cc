/// \file
/// Releases under faults: no node moves back, none applies a part, and an
/// accepted version is in force everywhere within ten seconds of the fault's
/// end.
#include <thread>

#include "fleet_fixture.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/version/release.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kInForce = seconds(10);
constexpr nanoseconds kWithdrawn = seconds(5);

class ConfigurationFaultTest : public FleetTest {
 protected:
  void Start() {
    FleetOptions options;
    options.deployment = SmallMesh();
    options.relays = true;
    StartFleet(std::move(options));
  }

  Deployment NextRate() {
    Deployment deployment = fleet_->deployment();
    deployment.workspaces[0].rate += kMicroTokensPerToken;
    return deployment;
  }

  void ExpectInForce(std::uint64_t number) {
    EXPECT_TRUE(fleet_->WaitForVersion(number, kInForce).has_value());
    ExpectPromises({});
  }

  void CutSouth(LinkFault fault) {
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
  // Restarted nodes take the version from their peers.
  EXPECT_TRUE(fleet_->WaitForVersion(1, kInForce).has_value());
  fleet_->SetPlatformMode("normal");
  PublishNext(NextRate());
  ExpectInForce(2);
}

TEST_F(ConfigurationFaultTest, EveryNodeRestartsDuringARelease) {
  Start();
  PublishNext(NextRate());
  for (const auto& [name, server] : fleet_->servers()) fleet_->KillNode(name);
  for (const auto& [name, server] : fleet_->servers()) {
    ASSERT_TRUE(fleet_->StartNode(name).has_value());
  }
  ExpectInForce(2);
}

TEST_F(ConfigurationFaultTest, ANodeFreezesOverARelease) {
  Start();
  fleet_->FreezeNode("north-1");
  fleet_->FreezeNode("south-2");
  PublishNext(NextRate());
  std::this_thread::sleep_for(seconds(3));
  fleet_->ResumeNode("north-1");
  fleet_->ResumeNode("south-2");
  ExpectInForce(2);
}

TEST_F(ConfigurationFaultTest, FailureDomainsArePartedDuringReleases) {
  Start();
  for (const LinkFault fault :
       {LinkFault::kDisconnected, LinkFault::kStalled, LinkFault::kBlackHole}) {
    CutSouth(fault);
    PublishNext(NextRate());
    std::this_thread::sleep_for(seconds(2));
    fleet_->relay().Heal();
    ExpectInForce(fleet_->deployment().number);
  }
}

TEST_F(ConfigurationFaultTest, PlatformFailsInEveryWayDuringReleases) {
  Start();
  for (const char* mode : {"down", "silent", "stale", "garbage"}) {
    SCOPED_TRACE(mode);
    fleet_->SetPlatformMode(mode);
    PublishNext(NextRate());
    std::this_thread::sleep_for(seconds(2));
    fleet_->SetPlatformMode("normal");
    ExpectInForce(fleet_->deployment().number);
  }
}

// Two operators publish at once; the higher pair wins everywhere.
TEST_F(ConfigurationFaultTest, CrossingPublicationsConverge) {
  Start();
  Deployment mine = NextRate();
  mine.number = 5;
  Deployment theirs = NextRate();
  theirs.workspaces[1].rate += kMicroTokensPerToken;
  theirs.number = 5;
  Deployment older = NextRate();
  older.number = 4;
  std::thread other([&] { EXPECT_TRUE(fleet_->Publish(theirs).has_value()); });
  other.join();
  EXPECT_TRUE(fleet_->Publish(mine).has_value());
  EXPECT_TRUE(fleet_->Publish(older).has_value());
  ExpectInForce(5);
  std::this_thread::sleep_for(seconds(2));
  for (const auto& [name, server] : fleet_->servers()) {
    EXPECT_EQ(fleet_->NumberAt(name), 5U) << name;
  }
}

TEST_F(ConfigurationFaultTest, ABadVersionIsNowhereInForceAndSaysSo) {
  Start();
  Deployment bad = NextRate();
  bad.number = 2;
  bad.routes[0].service = "missing";
  const Release release = PackDeployment(fleet_->Localize(bad)).value();
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
        kInForce))
        << name;
    EXPECT_EQ(fleet_->NumberAt(name), 1U) << name;
  }
  Deployment good = NextRate();
  good.number = 3;
  ASSERT_TRUE(fleet_->Publish(good).has_value());
  ExpectInForce(3);
}

// A manifest whose chunk never came stays out of force, the next goes in.
TEST_F(ConfigurationFaultTest, AMissingChunkHoldsAVersionBack) {
  Start();
  Deployment next = NextRate();
  next.number = 2;
  const Release release = PackDeployment(fleet_->Localize(next)).value();
  HttpPut(fleet_->platform_address(), "/admin/values/manifest",
          release.manifest);
  std::this_thread::sleep_for(seconds(2));
  for (const auto& [name, server] : fleet_->servers()) {
    EXPECT_EQ(fleet_->NumberAt(name), 1U) << name;
  }
  Deployment whole = NextRate();
  whole.number = 3;
  ASSERT_TRUE(fleet_->Publish(whole).has_value());
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
  PublishNext(next);
  for (auto& [name, connection] : connections) {
    EXPECT_TRUE(WaitFor([&] { return connection->Call(call).status == 401; },
                        kWithdrawn))
        << name;
  }
  call.key = Fleet::KeyForWorkspace("alpha");
  EXPECT_EQ(connections.begin()->second->Call(call).status, 200);
}

TEST_F(ConfigurationFaultTest, AFailureDomainThatIsOutGetsNoNewWork) {
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
  Deployment out = fleet_->deployment();
  out.failure_domains[0].in_service = false;
  PublishNext(out);
  std::this_thread::sleep_for(seconds(3));
  const auto started = [this] {
    double sum = 0;
    for (const auto& [name, server] : fleet_->servers()) {
      if (server.failure_domain != "north") continue;
      sum += FindMetric(HttpGet(server.backend_address, "/admin/stats"),
                        "started");
    }
    return sum;
  };
  const double before = started();
  std::this_thread::sleep_for(seconds(2));
  EXPECT_EQ(started(), before);
  Deployment in = fleet_->deployment();
  in.failure_domains[0].in_service = true;
  PublishNext(in);
  EXPECT_TRUE(WaitFor([&] { return started() > before; }, seconds(10)));
  const std::vector<LoadSample> samples = load.Stop();
  for (const LoadSample& sample : samples) {
    EXPECT_EQ(sample.status, 200) << sample.outcome;
  }
  ExpectPromises(samples);
}

}  // namespace
}  // namespace wisteriarill
