#include "runner.h"

#include <filesystem>
#include <iostream>
#include <thread>
#include <utility>

#include "wisteriarill/version/deployment_parser.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kServingTimeout = seconds(40);
constexpr nanoseconds kConvergenceTimeout = seconds(30);
constexpr nanoseconds kStopTimeout = seconds(30);
constexpr nanoseconds kSettleTime = seconds(3);
constexpr std::uint64_t kSeed = 20261204;

std::vector<LoadStream> MakeStreams(const Experiment& experiment,
                                    Fleet* fleet) {
  std::vector<LoadStream> streams;
  for (const ExperimentLoad& load : experiment.loads) {
    LoadStream stream;
    stream.workspace = load.workspace;
    stream.rate = load.rate;
    stream.call.method = load.method;
    stream.call.path = load.path;
    stream.call.key = Fleet::KeyForWorkspace(load.workspace);
    for (const auto& [name, server] : fleet->servers()) {
      if (load.from.empty() || load.from == server.failure_domain) {
        stream.addresses.push_back(server.caller_address);
      }
    }
    if (!stream.addresses.empty()) streams.push_back(std::move(stream));
  }
  return streams;
}

// Adds the counters of all running backend servers to `result`.
void AddBackendCounters(Fleet* fleet, VariantResult* result) {
  for (auto& [name, server] : fleet->servers()) {
    if (!server.backend_process.has_value()) continue;
    const std::string stats = HttpGet(server.backend_address, "/admin/stats");
    result->overloaded +=
        static_cast<std::uint64_t>(FindMetric(stats, "overloaded"));
    result->shed += static_cast<std::uint64_t>(FindMetric(stats, "shed"));
  }
}

double TotalPlatformReads(Fleet* fleet) {
  return FindMetric(HttpGet(fleet->platform_address(), "/admin/stats"),
                    "reads");
}

}  // namespace

double TotalPeerBytes(Fleet* fleet) {
  double bytes = 0;
  for (auto& [name, server] : fleet->servers()) {
    if (!server.node_process.has_value()) continue;
    const std::string metrics = HttpGet(server.operator_address, "/metrics");
    bytes += FindMetric(metrics, "wisteria_peer_bytes_sent") +
             FindMetric(metrics, "wisteria_peer_bytes_received");
  }
  return bytes;
}

Status FleetDriver::Publish(Deployment deployment) {
  deployment.number = fleet_->deployment().number + 1;
  const Instant began = BootClock::now();
  const std::uint64_t number = deployment.number;
  Status published = fleet_->Publish(deployment);
  if (!published) return published;
  if (!fleet_->WaitForVersion(number, kConvergenceTimeout).has_value()) {
    return MakeError(ErrorKind::kTimeout,
                     "not all nodes activated the published version",
                     "read the nodes' logs");
  }
  convergence_millis_.push_back(
      std::chrono::duration<double, std::milli>(BootClock::now() - began)
          .count());
  return OkStatus();
}

Status FleetDriver::SetDomainInService(const std::string& name, bool in) {
  Deployment deployment = fleet_->deployment();
  for (FailureDomainSpec& domain : deployment.failure_domains) {
    if (domain.name == name) domain.in_service = in;
  }
  return Publish(std::move(deployment));
}

// Applies `fault` to all connections between a failure domain and the others.
void FleetDriver::SetDomainLinks(const std::string& domain, LinkFault fault) {
  for (const auto& [name, server] : fleet_->servers()) {
    if (server.failure_domain != domain) continue;
    for (const auto& [other_name, other] : fleet_->servers()) {
      if (other.failure_domain == domain) continue;
      fleet_->relay().SetFault(server.node_ip, other.node_ip, fault);
    }
  }
}

Status FleetDriver::ChangeWorkspace(const ExperimentEvent& event) {
  Deployment deployment = fleet_->deployment();
  for (WorkspaceSpec& workspace : deployment.workspaces) {
    if (workspace.name != event.target) continue;
    if (event.action == ExperimentAction::kWithdrawKeys) {
      workspace.key_digests.clear();
    } else {
      workspace.rate =
          static_cast<std::int64_t>(event.value * kMicroTokensPerToken);
    }
  }
  return Publish(std::move(deployment));
}

Status FleetDriver::Perform(const ExperimentEvent& event) {
  switch (event.action) {
    case ExperimentAction::kDomainOut:
      return SetDomainInService(event.target, false);
    case ExperimentAction::kDomainIn:
      return SetDomainInService(event.target, true);
    case ExperimentAction::kKillNode:
      fleet_->KillNode(event.target);
      return OkStatus();
    case ExperimentAction::kStartNode:
      return fleet_->StartNode(event.target);
    case ExperimentAction::kFreezeNode:
      fleet_->FreezeNode(event.target);
      return OkStatus();
    case ExperimentAction::kResumeNode:
      fleet_->ResumeNode(event.target);
      return OkStatus();
    case ExperimentAction::kStopNode:
      if (fleet_->StopNode(event.target, kStopTimeout)) return OkStatus();
      return MakeError(ErrorKind::kTimeout,
                       "the node did not stop cleanly in time",
                       "read the node's log");
    case ExperimentAction::kKillBackend:
      fleet_->KillBackend(event.target);
      return OkStatus();
    case ExperimentAction::kStartBackend:
      return fleet_->StartBackend(event.target);
    case ExperimentAction::kColdBackend:
      HttpGet(fleet_->servers().at(event.target).backend_address,
              "/admin/cold");
      return OkStatus();
    case ExperimentAction::kDisconnectDomain:
      SetDomainLinks(event.target, LinkFault::kDisconnected);
      return OkStatus();
    case ExperimentAction::kStallDomain:
      SetDomainLinks(event.target, LinkFault::kStalled);
      return OkStatus();
    case ExperimentAction::kHeal:
      fleet_->relay().Heal();
      return OkStatus();
    case ExperimentAction::kPlatformMode:
      fleet_->SetPlatformMode(event.target);
      return OkStatus();
    case ExperimentAction::kWithdrawKeys:
    case ExperimentAction::kSetRate:
      return ChangeWorkspace(event);
  }
  return OkStatus();
}

Result<VariantResult> RunVariant(const Experiment& experiment,
                                 const ExperimentVariant& variant,
                                 const std::string& programs,
                                 const std::string& directory) {
  ParsedDeployment parsed = ParseDeployment(experiment.deployment);
  if (!parsed.diagnostics.empty()) {
    return MakeError(ErrorKind::kInvalidConfiguration,
                     ToString(parsed.diagnostics.front()),
                     "run wisteriactl check");
  }
  std::filesystem::create_directories(directory);
  FleetOptions options;
  options.programs = programs;
  options.directory = directory;
  options.deployment = std::move(parsed.deployment);
  options.node_settings = variant.node_settings;
  options.relays = experiment.relays;
  options.work_ms = experiment.work_ms;
  options.warmup_ms = experiment.warmup_ms;
  Fleet fleet(std::move(options));
  Status started = fleet.Start();
  if (!started) return started.error();
  if (!fleet.WaitUntilServing(kServingTimeout)) {
    return MakeError(ErrorKind::kTimeout,
                     "the mesh did not become ready in time",
                     "read the nodes' logs");
  }
  std::this_thread::sleep_for(kSettleTime);

  VariantResult result;
  result.variant = variant;
  FleetDriver driver(&fleet);
  LoadGenerator load(MakeStreams(experiment, &fleet), experiment.connections,
                     kSeed);
  const double bytes_before = TotalPeerBytes(&fleet);
  const double reads_before = TotalPlatformReads(&fleet);
  result.began = BootClock::now();
  load.Start();
  for (const ExperimentEvent& event : experiment.events) {
    std::this_thread::sleep_for(result.began + event.at - BootClock::now());
    const Status performed = driver.Perform(event);
    if (!performed) return performed.error();
  }
  std::this_thread::sleep_for(result.began + experiment.length -
                              BootClock::now());
  result.ended = BootClock::now();
  result.samples = load.Stop();
  const double length =
      std::chrono::duration<double>(BootClock::now() - result.began).count();
  result.control_bytes_per_node_second =
      (TotalPeerBytes(&fleet) - bytes_before) / length /
      static_cast<double>(fleet.servers().size());
  result.platform_reads_per_second =
      (TotalPlatformReads(&fleet) - reads_before) / length;
  result.convergence_millis = driver.convergence_millis();
  AddBackendCounters(&fleet, &result);
  result.guarantees =
      CheckGuarantees(&fleet, result.samples, ReadExecutions(&fleet));
  return result;
}

}  // namespace wisteriarill
