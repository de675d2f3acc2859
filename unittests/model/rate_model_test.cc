#include "wisteriarill/model/rate_model.h"

#include <gtest/gtest.h>

#include "wisteriarill/process/invariant.h"

namespace wisteriarill {
namespace {

constexpr int kDomains = 8;
constexpr int kServersEach = 13;
constexpr double kWrongfulTarget = 0.001;

Deployment Mesh(std::uint64_t number = 1) {
  return MakeModelDeployment(number, kDomains, kServersEach,
                             {MakeModelWorkspace("crates", 400, 200),
                              MakeModelWorkspace("small", 10, 5)});
}

// Past the wait of processes that have just started, until buckets are full.
void WarmUp(RateModel* model) { model->RunFor(seconds(10)); }

void ExpectNoOvershoot(const RateModel& model) {
  for (const auto& [name, tally] : model.Report().tallies) {
    EXPECT_EQ(tally.overshoot, 0U) << name;
  }
  EXPECT_EQ(InvariantViolations(), 0U);
}

TEST(RateModelTest, QuietLoadWithinTheRateIsNeverRefused) {
  RateModel model({}, Mesh());
  WarmUp(&model);
  model.OfferCalls("crates", 320, model.servers(), seconds(30));
  model.OfferCalls("small", 5, model.servers(), seconds(30));
  model.RunFor(seconds(31));
  ExpectNoOvershoot(model);
  const RateTally tally = model.Report().tallies.at("crates");
  EXPECT_GT(tally.admitted, 9000U);
  EXPECT_LT(tally.wrongly_refused_share(), kWrongfulTarget);
}

TEST(RateModelTest, OneNodeWithAllTheDemandGetsTheWholeRate) {
  RateModel model({}, Mesh());
  WarmUp(&model);
  model.OfferCalls("crates", 320, {model.servers()[0]}, seconds(30));
  model.RunFor(seconds(31));
  ExpectNoOvershoot(model);
  EXPECT_LT(model.Report().tallies.at("crates").wrongly_refused_share(),
            kWrongfulTarget);
}

TEST(RateModelTest, FiveTimesTheRateGetsTheRateAndNoMore) {
  RateModel model({}, Mesh());
  WarmUp(&model);
  model.OfferCalls("crates", 2000, model.servers(), seconds(30));
  model.RunFor(seconds(31));
  ExpectNoOvershoot(model);
  const RateTally tally = model.Report().tallies.at("crates");
  EXPECT_GT(tally.admitted, tally.ideal * 98 / 100);
}

TEST(RateModelTest, OneNodeKilledWithinTheRate) {
  RateModel model({}, Mesh());
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
            kWrongfulTarget);
}

// Nobody is left who knows the past: what counts is that no version was
// published for long, and that most of the mesh is within reach.
TEST(RateModelTest, RatesComeBackAfterARestartOfAllOnALaterVersion) {
  RateModel model({}, Mesh(1));
  WarmUp(&model);
  model.Publish(Mesh(2));
  model.RunFor(RateShardOwnerOptions().takeover_wait() + seconds(10));
  const std::vector<std::string> names = model.servers();
  for (const std::string& name : names) model.Kill(name);
  for (const std::string& name : names) model.Start(name);
  model.RunFor(seconds(60));
  model.OfferCalls("crates", 320, model.servers(), seconds(20));
  model.RunFor(seconds(21));
  ExpectNoOvershoot(model);
  EXPECT_LT(model.Report().tallies.at("crates").wrongly_refused_share(),
            kWrongfulTarget);
}

}  // namespace
}  // namespace wisteriarill
