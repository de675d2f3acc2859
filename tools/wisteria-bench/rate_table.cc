#include "rate_table.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <ostream>
#include <string>
#include <vector>

#include "wisteriarill/model/rate_model.h"
#include "wisteriarill/standin/load_generator.h"

namespace wisteriarill {
namespace {

constexpr int kDomains = 8;
constexpr int kServersEach = 13;
constexpr std::int64_t kRate = 400;
constexpr std::int64_t kBurst = 200;
constexpr double kWithin = 0.8 * kRate;
constexpr nanoseconds kWarm = seconds(10);

struct Way {
  std::string name;
  RateWay way;
  std::uint32_t parts;
};

struct Scenario {
  std::string name;
  std::function<void(RateModel*)> run;
};

Deployment Mesh(std::uint64_t number) {
  return MakeModelDeployment(number, kDomains, kServersEach,
                             {MakeModelWorkspace("w", kRate, kBurst)});
}

// The homes of the workspace's parts.
std::vector<std::string> Homes(std::uint32_t parts) {
  const auto snapshot = Snapshot::Compile({1, 1}, Mesh(1)).value();
  RateShardOptions options;
  options.max_shards = parts;
  std::vector<std::string> homes;
  for (const RateShard& part :
       PlanRateShards(*snapshot, WorkspaceId{0}, options)) {
    homes.push_back(snapshot->server(part.owner).name);
  }
  return homes;
}

void OfferWithin(RateModel* model, nanoseconds length) {
  model->Offer("w", kWithin, model->servers(), length);
}

void KillOneHome(RateModel* model, const std::string& home) {
  OfferWithin(model, seconds(40));
  model->RunFor(seconds(5));
  model->Kill(home);
  model->RunFor(seconds(5));
  model->Start(home);
  model->RunFor(seconds(31));
}

void KillDomain(RateModel* model, const std::string& home) {
  const std::string prefix = home.substr(0, 4);
  OfferWithin(model, seconds(40));
  model->RunFor(seconds(5));
  for (const std::string& name : model->servers()) {
    if (name.starts_with(prefix)) model->Kill(name);
  }
  model->RunFor(seconds(15));
  for (const std::string& name : model->servers()) {
    if (name.starts_with(prefix)) model->Start(name);
  }
  model->RunFor(seconds(21));
}

// Each half offers what is within its share of the rate.
void CutInHalves(RateModel* model) {
  std::map<std::string, int> groups;
  for (const std::string& name : model->servers()) {
    groups[name] = name[2] >= '4' ? 1 : 0;
  }
  model->Cut(groups, false);
  model->SetPlatformGroup(0);
  OfferWithin(model, seconds(130));
  model->RunFor(seconds(120));
  model->Heal();
  model->SetPlatformGroup(-1);
  model->RunFor(seconds(11));
}

void RestartAll(RateModel* model) {
  OfferWithin(model, seconds(60));
  model->RunFor(seconds(5));
  const std::vector<std::string> names = model->servers();
  for (const std::string& name : names) model->Kill(name);
  model->RunFor(milliseconds(500));
  for (const std::string& name : names) model->Start(name);
  model->RunFor(seconds(56));
}

void FreezeAndReplace(RateModel* model, const std::string& home) {
  OfferWithin(model, seconds(60));
  model->RunFor(seconds(5));
  model->Freeze(home, seconds(20));
  model->Replace(home);
  model->RunFor(seconds(56));
}

void MoveHome(RateModel* model, const std::string& home) {
  OfferWithin(model, seconds(60));
  model->RunFor(seconds(5));
  Deployment next = Mesh(2);
  for (ServerSpec& server : next.services.front().servers) {
    if (server.name == home) server.leaving = true;
  }
  model->Publish(next);
  model->RunFor(seconds(56));
}

std::vector<Scenario> MakeScenarios(const std::string& home) {
  return {
      {"quiet, 80 % everywhere",
       [](RateModel* m) {
         OfferWithin(m, seconds(30));
         m->RunFor(seconds(31));
       }},
      {"one hot node, 80 %",
       [](RateModel* m) {
         m->Offer("w", kWithin, {m->servers()[3]}, seconds(30));
         m->RunFor(seconds(31));
       }},
      {"all at once, 300 calls in 50 ms after rest",
       [](RateModel* m) {
         m->Offer("w", 6000, m->servers(), milliseconds(50));
         m->RunFor(seconds(2));
       }},
      {"five times the rate",
       [](RateModel* m) {
         m->Offer("w", 5.0 * kRate, m->servers(), seconds(30));
         m->RunFor(seconds(31));
       }},
      {"one home killed for 5 s",
       [home](RateModel* m) { KillOneHome(m, home); }},
      {"one failure domain killed for 15 s",
       [home](RateModel* m) { KillDomain(m, home); }},
      {"cut in halves for two minutes", CutInHalves},
      {"restart of all", RestartAll},
      {"frozen VM wakes beside its replacement",
       [home](RateModel* m) { FreezeAndReplace(m, home); }},
      {"a version moves a home", [home](RateModel* m) { MoveHome(m, home); }},
  };
}

}  // namespace

bool WriteRateTable(std::ostream* out) {
  const std::vector<Way> ways = {{"fixed homes, 8 parts", RateWay::kHomes, 8},
                                 {"one home", RateWay::kOneHome, 1},
                                 {"static split", RateWay::kStaticSplit, 8}};
  bool held = true;
  *out << "| scenario | way | overshoot (calls) | wrongly refused | admitted "
          "of what one bucket would | control bytes/s a node | wait p50 ms | "
          "wait p99 ms |\n|---|---|---|---|---|---|---|---|\n"
       << std::fixed;
  for (const Way& way : ways) {
    for (const Scenario& scenario : MakeScenarios(Homes(way.parts).front())) {
      RateModelOptions options;
      options.way = way.way;
      options.home.parts.max_shards = way.parts;
      options.asker.parts = options.home.parts;
      options.measure_bytes = true;
      RateModel model(options, Mesh(1));
      model.RunFor(kWarm);
      const RateModelReport before = model.Report();
      const Instant began = model.now();
      scenario.run(&model);
      RateModelReport after = model.Report();
      const RateTally& tally = after.tallies.at("w");
      const double length =
          std::chrono::duration<double>(model.now() - began).count();
      const double bytes = static_cast<double>(after.bytes - before.bytes) /
                           length / (kDomains * kServersEach);
      std::sort(after.wait_millis.begin(), after.wait_millis.end());
      *out << "| " << scenario.name << " | " << way.name << " | "
           << tally.overshoot << " | " << std::setprecision(3)
           << 100 * tally.wrongful_share() << " % | " << std::setprecision(1)
           << 100.0 * static_cast<double>(tally.admitted) /
                  static_cast<double>(std::max<std::uint64_t>(tally.ideal, 1))
           << " % | " << std::setprecision(0) << bytes << " | "
           << std::setprecision(2) << Percentile(after.wait_millis, 0.5)
           << " | " << Percentile(after.wait_millis, 0.99) << " |\n";
      if (way.way == RateWay::kHomes && tally.overshoot > 0) held = false;
    }
  }
  return held;
}

}  // namespace wisteriarill
