#include "wisteriarill/model/rate_model.h"

#include <gtest/gtest.h>

#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

constexpr int kDomains = 8;
constexpr int kServersPerDomain = 13;
constexpr double kMaxWronglyRefusedShare = 0.001;

Deployment MakeMesh(std::uint64_t number = 1) {
  return MakeModelDeployment(number, kDomains, kServersPerDomain,
                             {MakeModelWorkspace("crates", 400, 200),
                              MakeModelWorkspace("small", 10, 5)});
}

// Runs until the restart wait of new processes has passed and the buckets are
// full.
void WarmUp(RateModel* model) { model->RunFor(seconds(10)); }

void ExpectNoOvershoot(const RateModel& model) {
  for (const auto& [name, tally] : model.Report().tallies) {
    EXPECT_EQ(tally.overshoot, 0U) << name;
  }
  EXPECT_EQ(InvariantViolations(), 0U);
}

TEST(RateModelTest, LoadWithinTheRateIsNotRefused) {
  RateModel model({}, MakeMesh());
  WarmUp(&model);
  model.OfferCalls("crates", 320, model.servers(), seconds(30));
  model.OfferCalls("small", 5, model.servers(), seconds(30));
  model.RunFor(seconds(31));
  ExpectNoOvershoot(model);
  const RateTally tally = model.Report().tallies.at("crates");
  EXPECT_GT(tally.admitted, 9000U);
  EXPECT_LT(tally.wrongly_refused_share(), kMaxWronglyRefusedShare);
}

TEST(RateModelTest, OneNodeWithAllTheDemandGetsTheWholeRate) {
  RateModel model({}, MakeMesh());
  WarmUp(&model);
  model.OfferCalls("crates", 320, {model.servers()[0]}, seconds(30));
  model.RunFor(seconds(31));
  ExpectNoOvershoot(model);
  EXPECT_LT(model.Report().tallies.at("crates").wrongly_refused_share(),
            kMaxWronglyRefusedShare);
}

TEST(RateModelTest, FiveTimesTheRateIsAdmittedAtTheRate) {
  RateModel model({}, MakeMesh());
  WarmUp(&model);
  model.OfferCalls("crates", 2000, model.servers(), seconds(30));
  model.RunFor(seconds(31));
  ExpectNoOvershoot(model);
  const RateTally tally = model.Report().tallies.at("crates");
  EXPECT_GT(tally.admitted, tally.ideal * 98 / 100);
}

TEST(RateModelTest, NodeRestartsDoNotRefuseLoadWithinTheRate) {
  RateModel model({}, MakeMesh());
  WarmUp(&model);
  model.OfferCalls("crates", 320, model.servers(), seconds(30));
  for (const char* server : {"s-1-2", "s-3-4", "s-5-6"}) {
    model.RunFor(seconds(5));
    model.Kill(server);
    model.RunFor(seconds(2));
    model.Start(server);
  }
  model.RunFor(seconds(12));
  ExpectNoOvershoot(model);
  EXPECT_LT(model.Report().tallies.at("crates").wrongly_refused_share(),
            kMaxWronglyRefusedShare);
}

// After all processes restarted, no peer has an ownership history that shortens
// the takeover wait. Owners may grant tokens again because the version has been
// published for longer than the wait and most of the mesh is reachable.
TEST(RateModelTest, RatesRecoverAfterARestartOfAllNodesOnALaterVersion) {
  RateModel model({}, MakeMesh(1));
  WarmUp(&model);
  model.Publish(MakeMesh(2));
  model.RunFor(RateShardOwnerOptions().takeover_wait() + seconds(10));
  const std::vector<std::string> names = model.servers();
  for (const std::string& name : names) model.Kill(name);
  for (const std::string& name : names) model.Start(name);
  model.RunFor(seconds(60));
  model.OfferCalls("crates", 320, model.servers(), seconds(20));
  model.RunFor(seconds(21));
  ExpectNoOvershoot(model);
  EXPECT_LT(model.Report().tallies.at("crates").wrongly_refused_share(),
            kMaxWronglyRefusedShare);
}

}  // namespace
}  // namespace wisteriarill
