/// \file
/// Measures the cost of single decisions for small meshes and for meshes of the
/// size of a whole fleet.
#include <benchmark/benchmark.h>

#include "wisteriarill/model/rate_model.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/leasing_rate_limiter.h"
#include "wisteriarill/process/load_balancer.h"
#include "wisteriarill/process/rate_shard_owner.h"
#include "wisteriarill/version/version_store.h"

namespace wisteriarill {
namespace {

constexpr int kDomains = 8;

// Builds a mesh of `servers` servers in 8 failure domains. Each service has up
// to 26 servers.
Deployment MakeMesh(int servers, int workspaces) {
  std::vector<WorkspaceSpec> workspace_specs;
  for (int i = 0; i < workspaces; ++i) {
    WorkspaceSpec spec =
        MakeModelWorkspace("workspace-" + std::to_string(i), 100, 50);
    spec.key_digests = {ToHex(Sha256("key-of-" + spec.name))};
    workspace_specs.push_back(std::move(spec));
  }
  Deployment mesh = MakeModelDeployment(1, kDomains, servers / kDomains,
                                        std::move(workspace_specs));
  constexpr std::size_t kServersPerService = 26;
  const std::vector<ServerSpec> all = mesh.services.front().servers;
  mesh.services.clear();
  mesh.routes.clear();
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (i % kServersPerService == 0) {
      ServiceSpec service;
      service.name = "service-" + std::to_string(i / kServersPerService);
      service.slots = 12;
      mesh.services.push_back(service);
      RouteSpec route;
      route.name = "route-" + std::to_string(i / kServersPerService);
      route.path_prefix = "/" + service.name + "/items";
      route.service = service.name;
      mesh.routes.push_back(route);
    }
    // Interleave the servers, so that a service spans failure domains.
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

// Measures how a node applies a version in which one workspace changed:
// decoding, compiling and swapping the snapshot.
void BM_ApplyWorkspaceChange(benchmark::State& state) {
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
BENCHMARK(BM_ApplyWorkspaceChange)
    ->Args({16, 8})
    ->Args({7104, 1000})
    ->Args({7104, 10000})
    ->Unit(benchmark::kMillisecond);

void BM_FindOwnShards(benchmark::State& state) {
  const auto snapshot = Compile(MakeMesh(static_cast<int>(state.range(0)),
                                         static_cast<int>(state.range(1))));
  const std::string self = snapshot->servers().front().name;
  for (auto _ : state) {
    RateShardOwner owner({}, self, Instant{});
    owner.OnSnapshot(snapshot, Instant{} + seconds(1));
    benchmark::DoNotOptimize(owner.shard_count());
  }
}
BENCHMARK(BM_FindOwnShards)
    ->Args({704, 1000})
    ->Args({7104, 1000})
    ->Args({7104, 10000})
    ->Unit(benchmark::kMillisecond);

void BM_FindWorkspaceByKey(benchmark::State& state) {
  const auto snapshot = Compile(MakeMesh(704, 10000));
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        snapshot->FindWorkspaceByKey(Sha256("key-of-workspace-77")));
  }
}
BENCHMARK(BM_FindWorkspaceByKey);

void BM_FindRoute(benchmark::State& state) {
  const auto snapshot = Compile(MakeMesh(7104, 8));
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        snapshot->FindRoute("mesh", "/service-100/items/7/detail", "GET"));
  }
}
BENCHMARK(BM_FindRoute);

void BM_ChooseServer(benchmark::State& state) {
  PowerOfTwoLoadBalancer load_balancer({}, "s-0-0", 1);
  load_balancer.OnSnapshot(Compile(MakeMesh(7104, 8)));
  const Instant now{seconds(10)};
  for (auto _ : state) {
    const auto chosen = load_balancer.Choose("service-100", {}, now);
    load_balancer.OnEnded(chosen->server, nullptr, now);
  }
}
BENCHMARK(BM_ChooseServer);

void BM_GrantToken(benchmark::State& state) {
  RateShardOwnerOptions options;
  options.enforce_waits = false;
  const auto snapshot = Compile(MakeMesh(16, 100));
  const auto shard =
      PlanRateShards(*snapshot, WorkspaceId{5}, options.shard_options).front();
  RateShardOwner owner(options, snapshot->server(shard.owner).name, Instant{});
  Instant now{seconds(10)};
  owner.OnSnapshot(snapshot, now);
  TokenLeaseRequest request;
  request.workspace = "workspace-5";
  request.slot = shard.slot;
  request.need = 1;
  for (auto _ : state) {
    now += milliseconds(100);
    const TokenLeaseReply reply = owner.OnTokenRequest(request, now);
    request.settlements = {{reply.grant, reply.granted, 0}};
    if (reply.granted == 0) request.settlements.clear();
  }
}
BENCHMARK(BM_GrantToken);

void BM_EncodeAndDecodeTokenRequest(benchmark::State& state) {
  TokenLeaseRequest request;
  request.workspace = "workspace-5";
  request.need = 1;
  constexpr std::size_t kLengthPrefixBytes = 4;
  for (auto _ : state) {
    const std::string frame = EncodeFrame(request);
    benchmark::DoNotOptimize(
        DecodeFrameBody(std::string_view(frame).substr(kLengthPrefixBytes)));
  }
}
BENCHMARK(BM_EncodeAndDecodeTokenRequest);

}  // namespace
}  // namespace wisteriarill
