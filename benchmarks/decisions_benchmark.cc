/// \file
/// What single decisions cost at today's sizes and at fleet size.
#include <benchmark/benchmark.h>

#include "wisteriarill/model/rate_model.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/leasing_rate_limiter.h"
#include "wisteriarill/process/rate_shard_owner.h"
#include "wisteriarill/process/load_balancer.h"
#include "wisteriarill/version/version_store.h"

namespace wisteriarill {
namespace {

constexpr int kDomains = 8;

// `servers` servers over 8 failure domains in services of about 26.
Deployment MakeMesh(int servers, int workspaces) {
  std::vector<WorkspaceSpec> specs;
  for (int i = 0; i < workspaces; ++i) {
    WorkspaceSpec spec =
        MakeModelWorkspace("workspace-" + std::to_string(i), 100, 50);
    spec.key_digests = {ToHex(Sha256("key-of-" + spec.name))};
    specs.push_back(std::move(spec));
  }
  Deployment mesh =
      MakeModelDeployment(1, kDomains, servers / kDomains, std::move(specs));
  constexpr std::size_t kServiceSize = 26;
  const std::vector<ServerSpec> all = mesh.services.front().servers;
  mesh.services.clear();
  mesh.routes.clear();
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (i % kServiceSize == 0) {
      ServiceSpec service;
      service.name = "service-" + std::to_string(i / kServiceSize);
      service.slots = 12;
      mesh.services.push_back(service);
      RouteSpec route;
      route.name = "route-" + std::to_string(i / kServiceSize);
      route.path_prefix = "/" + service.name + "/items";
      route.service = service.name;
      mesh.routes.push_back(route);
    }
    // Interleaved, so that a service spans failure domains.
    mesh.services.back().servers.push_back(all[(i * 31) % all.size()]);
  }
  return mesh;
}

std::shared_ptr<const Snapshot> Compile(const Deployment& mesh) {
  return Snapshot::Compile({1, 1}, mesh).value();
}

void BM_CompileSnapshot(benchmark::State& state) {
  const Deployment mesh = MakeMesh(static_cast<int>(state.range(0)),
                                   static_cast<int>(state.range(1)));
  for (auto _ : state) benchmark::DoNotOptimize(Compile(mesh));
}
BENCHMARK(BM_CompileSnapshot)
    ->Args({16, 8})
    ->Args({704, 100})
    ->Args({7104, 1000})
    ->Args({7104, 10000})
    ->Unit(benchmark::kMillisecond);

// A whole change of one workspace at a node: decode, compile, swap.
void BM_ApplyOneWorkspace(benchmark::State& state) {
  Deployment mesh = MakeMesh(static_cast<int>(state.range(0)),
                             static_cast<int>(state.range(1)));
  VersionStore store;
  std::uint64_t number = 0;
  for (auto _ : state) {
    state.PauseTiming();
    mesh.number = ++number;
    mesh.workspaces.front().rate += 1;
    const Release release = PackDeployment(mesh).value();
    state.ResumeTiming();
    store.OfferManifest({number, number}, release.manifest);
    const std::set<std::string> missing = store.missing();
    for (const std::string& digest : missing) {
      store.OfferChunk(release.chunks.at(digest));
    }
  }
  state.counters["stored_bytes"] = static_cast<double>(store.stored_bytes());
}
BENCHMARK(BM_ApplyOneWorkspace)
    ->Args({16, 8})
    ->Args({7104, 1000})
    ->Args({7104, 10000})
    ->Unit(benchmark::kMillisecond);

void BM_FindOwnParts(benchmark::State& state) {
  const auto snapshot = Compile(MakeMesh(static_cast<int>(state.range(0)),
                                         static_cast<int>(state.range(1))));
  const std::string self = snapshot->servers().front().name;
  for (auto _ : state) {
    RateShardOwner home({}, self, Instant{});
    home.OnSnapshot(snapshot, Instant{} + seconds(1));
    benchmark::DoNotOptimize(home.shard_count());
  }
}
BENCHMARK(BM_FindOwnParts)
    ->Args({704, 1000})
    ->Args({7104, 1000})
    ->Args({7104, 10000})
    ->Unit(benchmark::kMillisecond);

void BM_KeyCheck(benchmark::State& state) {
  const auto snapshot = Compile(MakeMesh(704, 10000));
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        snapshot->FindWorkspaceByKey(Sha256("key-of-workspace-77")));
  }
}
BENCHMARK(BM_KeyCheck);

void BM_FindRoute(benchmark::State& state) {
  const auto snapshot = Compile(MakeMesh(7104, 8));
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        snapshot->FindRoute("mesh", "/service-100/items/7/detail", "GET"));
  }
}
BENCHMARK(BM_FindRoute);

void BM_ChooseServer(benchmark::State& state) {
  PowerOfTwoLoadBalancer chooser({}, "s-0-0", 1);
  chooser.OnSnapshot(Compile(MakeMesh(7104, 8)));
  const Instant now{seconds(10)};
  for (auto _ : state) {
    const auto choice = chooser.Choose("service-100", {}, now);
    chooser.OnEnded(choice->server, nullptr, now);
  }
}
BENCHMARK(BM_ChooseServer);

void BM_HomeGivesToken(benchmark::State& state) {
  RateShardOwnerOptions options;
  options.enforce_waits = false;
  const auto snapshot = Compile(MakeMesh(16, 100));
  const auto part =
      PlanRateShards(*snapshot, WorkspaceId{5}, options.parts).front();
  RateShardOwner home(options, snapshot->server(part.owner).name, Instant{});
  Instant now{seconds(10)};
  home.OnSnapshot(snapshot, now);
  TokenLeaseRequest ask;
  ask.workspace = "workspace-5";
  ask.slot = part.slot;
  ask.need = 1;
  for (auto _ : state) {
    now += milliseconds(100);
    const TokenLeaseReply answer = home.OnTokenRequest(ask, now);
    ask.settlements = {{answer.grant, answer.granted, 0}};
    if (answer.granted == 0) ask.settlements.clear();
  }
}
BENCHMARK(BM_HomeGivesToken);

void BM_EncodeAndDecodeAsk(benchmark::State& state) {
  TokenLeaseRequest ask;
  ask.workspace = "workspace-5";
  ask.need = 1;
  constexpr std::size_t kPrefix = 4;
  for (auto _ : state) {
    const std::string frame = EncodeFrame(ask);
    benchmark::DoNotOptimize(
        DecodeFrameBody(std::string_view(frame).substr(kPrefix)));
  }
}
BENCHMARK(BM_EncodeAndDecodeAsk);

}  // namespace
}  // namespace wisteriarill
