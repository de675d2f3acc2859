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

constexpr int kNumDomains = 8;
constexpr int kServersPerDomain = 13;
constexpr std::int64_t kRate = 400;
constexpr std::int64_t kBurst = 200;
constexpr double kBelowLimitRate = 0.8 * kRate;
constexpr nanoseconds kWarmup = seconds(10);

// A rate limit policy and its configuration.
struct RatePolicyCase {
  std::string name;
  RateDivisionPolicy policy;
  std::uint32_t max_shards;
};

// A load and a sequence of faults to apply to the model.
struct Scenario {
  std::string name;
  std::function<void(RateModel*)> run;
};

Deployment MakeRateDeployment(std::uint64_t number) {
  return MakeModelDeployment(number, kNumDomains, kServersPerDomain,
                             {MakeModelWorkspace("w", kRate, kBurst)});
}

// Returns the servers that own the shards of the workspace's token bucket.
std::vector<std::string> ShardOwners(std::uint32_t max_shards) {
  const auto snapshot =
      Snapshot::Compile({1, 1}, MakeRateDeployment(1)).value();
  RateShardOptions options;
  options.max_shards = max_shards;
  std::vector<std::string> owners;
  for (const RateShard& shard :
       PlanRateShards(*snapshot, WorkspaceId{0}, options)) {
    owners.push_back(snapshot->server(shard.owner).name);
  }
  return owners;
}

// Offers calls at 80 % of the rate limit, spread over all servers.
void OfferBelowLimit(RateModel* model, nanoseconds length) {
  model->OfferCalls("w", kBelowLimitRate, model->servers(), length);
}

void KillOwner(RateModel* model, const std::string& owner) {
  OfferBelowLimit(model, seconds(40));
  model->RunFor(seconds(5));
  model->Kill(owner);
  model->RunFor(seconds(5));
  model->Start(owner);
  model->RunFor(seconds(31));
}

void KillOwnerDomain(RateModel* model, const std::string& owner) {
  // Server names are "s-D-I", where D is the failure domain.
  const std::string prefix = owner.substr(0, 4);
  OfferBelowLimit(model, seconds(40));
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

// Partitions the network into two halves of the failure domains, of which one
// reaches the platform. The load of each half stays within its share of the
// rate limit.
void PartitionInHalves(RateModel* model) {
  std::map<std::string, int> groups;
  for (const std::string& name : model->servers()) {
    groups[name] = name[2] >= '4' ? 1 : 0;
  }
  model->Partition(groups, false);
  model->SetPlatformGroup(0);
  OfferBelowLimit(model, seconds(130));
  model->RunFor(seconds(120));
  model->Heal();
  model->SetPlatformGroup(-1);
  model->RunFor(seconds(11));
}

void RestartAll(RateModel* model) {
  OfferBelowLimit(model, seconds(60));
  model->RunFor(seconds(5));
  const std::vector<std::string> names = model->servers();
  for (const std::string& name : names) model->Kill(name);
  model->RunFor(milliseconds(500));
  for (const std::string& name : names) model->Start(name);
  model->RunFor(seconds(56));
}

void FreezeAndReplace(RateModel* model, const std::string& owner) {
  OfferBelowLimit(model, seconds(60));
  model->RunFor(seconds(5));
  model->Freeze(owner, seconds(20));
  model->Replace(owner);
  model->RunFor(seconds(56));
}

void MoveOwner(RateModel* model, const std::string& owner) {
  OfferBelowLimit(model, seconds(60));
  model->RunFor(seconds(5));
  Deployment next = MakeRateDeployment(2);
  for (ServerSpec& server : next.services.front().servers) {
    if (server.name == owner) server.leaving = true;
  }
  model->Publish(next);
  model->RunFor(seconds(56));
}

std::vector<Scenario> MakeScenarios(const std::string& owner) {
  return {
      {"quiet, 80 % everywhere",
       [](RateModel* m) {
         OfferBelowLimit(m, seconds(30));
         m->RunFor(seconds(31));
       }},
      {"one hot node, 80 %",
       [](RateModel* m) {
         m->OfferCalls("w", kBelowLimitRate, {m->servers()[3]}, seconds(30));
         m->RunFor(seconds(31));
       }},
      {"all at once, 300 calls in 50 ms after rest",
       [](RateModel* m) {
         m->OfferCalls("w", 6000, m->servers(), milliseconds(50));
         m->RunFor(seconds(2));
       }},
      {"five times the rate",
       [](RateModel* m) {
         m->OfferCalls("w", 5.0 * kRate, m->servers(), seconds(30));
         m->RunFor(seconds(31));
       }},
      {"one home killed for 5 s",
       [owner](RateModel* m) { KillOwner(m, owner); }},
      {"one failure domain killed for 15 s",
       [owner](RateModel* m) { KillOwnerDomain(m, owner); }},
      {"cut in halves for two minutes", PartitionInHalves},
      {"restart of all", RestartAll},
      {"frozen VM wakes beside its replacement",
       [owner](RateModel* m) { FreezeAndReplace(m, owner); }},
      {"a version moves a home",
       [owner](RateModel* m) { MoveOwner(m, owner); }},
  };
}

}  // namespace

bool WriteRateTable(std::ostream* out) {
  const std::vector<RatePolicyCase> policies = {
      {"fixed homes, 8 parts", RateDivisionPolicy::kShardOwners, 8},
      {"one home", RateDivisionPolicy::kSingleOwner, 1},
      {"static split", RateDivisionPolicy::kStaticSplit, 8}};
  bool ok = true;
  *out << "| scenario | way | overshoot (calls) | wrongly refused | admitted "
          "of what one bucket would | control bytes/s a node | wait p50 ms | "
          "wait p99 ms |\n|---|---|---|---|---|---|---|---|\n"
       << std::fixed;
  for (const RatePolicyCase& policy : policies) {
    for (const Scenario& scenario :
         MakeScenarios(ShardOwners(policy.max_shards).front())) {
      RateModelOptions options;
      options.policy = policy.policy;
      options.owner.shard_options.max_shards = policy.max_shards;
      options.rate_limiter.shard_options = options.owner.shard_options;
      options.count_bytes = true;
      RateModel model(options, MakeRateDeployment(1));
      model.RunFor(kWarmup);
      const RateModelReport before = model.Report();
      const Instant began = model.now();
      scenario.run(&model);
      RateModelReport after = model.Report();
      const RateTally& tally = after.tallies.at("w");
      const double length =
          std::chrono::duration<double>(model.now() - began).count();
      const double bytes = static_cast<double>(after.bytes - before.bytes) /
                           length / (kNumDomains * kServersPerDomain);
      std::sort(after.decision_latency_millis.begin(),
                after.decision_latency_millis.end());
      *out << "| " << scenario.name << " | " << policy.name << " | "
           << tally.overshoot << " | " << std::setprecision(3)
           << 100 * tally.wrongly_refused_share() << " % | "
           << std::setprecision(1)
           << 100.0 * static_cast<double>(tally.admitted) /
                  static_cast<double>(std::max<std::uint64_t>(tally.ideal, 1))
           << " % | " << std::setprecision(0) << bytes << " | "
           << std::setprecision(2)
           << Percentile(after.decision_latency_millis, 0.5) << " | "
           << Percentile(after.decision_latency_millis, 0.99) << " |\n";
      if (policy.policy == RateDivisionPolicy::kShardOwners &&
          tally.overshoot > 0)
        ok = false;
    }
  }
  return ok;
}

}  // namespace wisteriarill
