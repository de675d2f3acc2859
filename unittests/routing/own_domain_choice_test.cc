// Guards against calls that cross failure domains though their own takes them
// well, and against calls that queue at home while others have room.
#include <gtest/gtest.h>

#include "wisteriarill/routing/server_selector.h"

namespace wisteriarill {
namespace {

constexpr microseconds kServiceTime{20000};
constexpr std::uint32_t kSlots = 4;

ServerCandidate MakeServer(bool same_domain, std::uint32_t ahead) {
  ServerCandidate server;
  server.same_failure_domain = same_domain;
  server.load.slots = kSlots;
  server.load.running = std::min(ahead, kSlots);
  server.load.waiting = ahead - server.load.running;
  server.load.service_time = kServiceTime;
  return server;
}

CallProfile MakeProfile(milliseconds min_saving) {
  CallProfile profile;
  profile.min_saving = min_saving;
  return profile;
}

TEST(OwnDomainChoiceTest, SamplesOnlyTheDomainAskedFor) {
  std::vector<ServerCandidate> servers;
  for (int i = 0; i < 12; ++i) servers.push_back(MakeServer(i % 3 == 0, 0));
  servers[0].local = true;
  ServerSelector selector(1);
  for (int i = 0; i < 100; ++i) {
    const std::vector<std::size_t> own = selector.SampleOwnDomain(servers);
    EXPECT_EQ(own.front(), 0U) << "the local server is compared first";
    for (const std::size_t index : own)
      EXPECT_TRUE(servers[index].same_failure_domain);
    for (const std::size_t index : selector.SampleOtherDomains(servers))
      EXPECT_FALSE(servers[index].same_failure_domain);
  }
}

TEST(OwnDomainChoiceTest, StaysUntilWaitingCostsMoreThanTheSaving) {
  const CallProfile profile = MakeProfile(milliseconds(30));
  EXPECT_TRUE(ServerSelector::TakesCallWell(MakeServer(true, kSlots - 1),
                                            kServiceTime, profile));
  EXPECT_FALSE(ServerSelector::TakesCallWell(MakeServer(true, 4 * kSlots),
                                             kServiceTime, profile));
}

// A server of half the speed may take the calls of its failure domain, one of a
// tenth of it may not.
TEST(OwnDomainChoiceTest, LeavesADomainWhoseServersAreSlow) {
  const CallProfile profile = MakeProfile(milliseconds(30));
  ServerCandidate server = MakeServer(true, 0);
  server.load.service_time = 2 * kServiceTime;
  EXPECT_TRUE(ServerSelector::TakesCallWell(server, kServiceTime, profile));
  server.load.service_time = 10 * kServiceTime;
  EXPECT_FALSE(ServerSelector::TakesCallWell(server, kServiceTime, profile));
}

// Guards against bodies that are sent to a link that has no room for them.
TEST(OwnDomainChoiceTest, CountsTheLinkOnlyForBodies) {
  CallProfile profile = MakeProfile(milliseconds(30));
  ServerCandidate server = MakeServer(true, 0);
  server.load.receive_delay = milliseconds(100);
  EXPECT_TRUE(ServerSelector::TakesCallWell(server, kServiceTime, profile));
  profile.upload = true;
  EXPECT_FALSE(ServerSelector::TakesCallWell(server, kServiceTime, profile));
}

}  // namespace
}  // namespace wisteriarill
