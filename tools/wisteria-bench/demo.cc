#include "demo.h"

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <thread>
#include <utility>

#include "report.h"
#include "runner.h"
#include "wisteriarill/version/deployment_parser.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kServingTimeout = seconds(40);
constexpr nanoseconds kPhaseDuration = seconds(5);
constexpr nanoseconds kKeyWithdrawalDeadline = seconds(5);
constexpr int kConnections = 48;
constexpr double kLoadFraction = 0.4;
constexpr std::uint64_t kSeed = 1;

// Prints `error` and returns the exit code of a failure.
int Fail(const Error& error) {
  std::cerr << error.Describe() << "\n";
  return 1;
}

Result<std::unique_ptr<Fleet>> StartFleet(const DemoOptions& options) {
  ParsedDeployment parsed = ParseDeployment(options.deployment);
  if (!parsed.diagnostics.empty()) {
    return MakeError(ErrorKind::kInvalidConfiguration,
                     ToString(parsed.diagnostics.front()),
                     "run wisteriactl check");
  }
  std::filesystem::create_directories(options.directory);
  FleetOptions fleet_options;
  fleet_options.programs = options.programs;
  fleet_options.directory = options.directory;
  fleet_options.deployment = std::move(parsed.deployment);
  auto fleet = std::make_unique<Fleet>(std::move(fleet_options));
  const Status started = fleet->Start();
  if (!started) return started.error();
  if (!fleet->WaitUntilServing(kServingTimeout)) {
    return MakeError(ErrorKind::kTimeout,
                     "the mesh did not become ready in time",
                     "read the nodes' logs");
  }
  return fleet;
}

// Returns a stream of requests for each workspace at kLoadFraction of its rate
// limit, sent to all nodes.
std::vector<LoadStream> MakeStreams(Fleet* fleet) {
  std::vector<LoadStream> streams;
  for (const WorkspaceSpec& workspace : fleet->deployment().workspaces) {
    const std::optional<HttpCall> call = fleet->MakeCall(workspace.name);
    if (!call.has_value()) continue;
    LoadStream stream;
    stream.workspace = workspace.name;
    stream.rate = kLoadFraction * static_cast<double>(workspace.rate) /
                  kMicroTokensPerToken;
    stream.call = *call;
    for (const auto& [name, server] : fleet->servers()) {
      stream.addresses.push_back(server.caller_address);
    }
    streams.push_back(std::move(stream));
  }
  return streams;
}

// Returns version 2 of `deployment`: it raises the rate limit of the first
// workspace, withdraws the keys of the last one, and marks one backend server
// as leaving.
Deployment MakeSecondVersion(Deployment deployment,
                             std::string* withdrawn_workspace) {
  deployment.workspaces.front().rate += kMicroTokensPerToken * 10;
  WorkspaceSpec& last = deployment.workspaces.back();
  last.key_digests.clear();
  *withdrawn_workspace = last.name;
  for (ServiceSpec& service : deployment.services) {
    if (service.servers.size() < 3) continue;
    service.servers.back().leaving = true;
    break;
  }
  return deployment;
}

// Checks that every node refuses a withdrawn key within kKeyWithdrawalDeadline.
GuaranteeResult CheckKeyWithdrawn(Fleet* fleet, const HttpCall& call) {
  GuaranteeResult guarantee_result{
      "a withdrawn key is refused everywhere in 5 s", 0, 0};
  const Instant end = BootClock::now() + kKeyWithdrawalDeadline;
  for (const auto& [name, server] : fleet->servers()) {
    ++guarantee_result.checked;
    HttpConnection connection(server.caller_address, kKeyWithdrawalDeadline);
    int status = connection.Call(call).status;
    while (status != 401 && BootClock::now() < end) {
      std::this_thread::sleep_for(milliseconds(20));
      status = connection.Call(call).status;
    }
    if (status != 401) ++guarantee_result.violations;
  }
  return guarantee_result;
}

// Checks that the backend servers of a failure domain start no request between
// Begin and End. The caller waits for 3 s after it takes the failure domain out
// of service before it calls Begin.
class DomainOutCheck {
 public:
  DomainOutCheck(Fleet* fleet, std::string domain)
      : fleet_(fleet), domain_(std::move(domain)) {}

  void Begin() { started_before_ = TotalStarted(); }
  GuaranteeResult End() const {
    const double started = TotalStarted() - started_before_;
    return {"a failure domain that is out gets no new work after 3 s", 1,
            started > 0 ? 1U : 0U};
  }

 private:
  double TotalStarted() const {
    double started = 0;
    for (const auto& [name, server] : fleet_->servers()) {
      if (server.failure_domain != domain_) continue;
      started += FindMetric(HttpGet(server.backend_address, "/admin/stats"),
                            "started");
    }
    return started;
  }

  Fleet* const fleet_;
  const std::string domain_;
  double started_before_ = 0;
};

// Prints the fields of one process, without the end of the line.
void PrintProcessInfo(const std::string& role, const std::string& name,
                      pid_t pid, const std::string& address,
                      const std::string& domain) {
  std::cout << "role=" << role << " name=" << name << " pid=" << pid
            << " address=" << address;
  if (!domain.empty()) std::cout << " failure_domain=" << domain;
}

}  // namespace

int RunDemo(const DemoOptions& options) {
  auto started = StartFleet(options);
  if (!started) return Fail(started.error());
  Fleet& fleet = *started.value();
  std::cout << "mesh of " << fleet.servers().size()
            << " nodes is up; sending requests\n";
  VariantResult result;
  result.variant.name = "demonstration";
  FleetDriver driver(&fleet);
  LoadGenerator load(MakeStreams(&fleet), kConnections, kSeed);
  const double bytes = TotalPeerBytes(&fleet);
  result.began = BootClock::now();
  load.Start();
  std::this_thread::sleep_for(2 * kPhaseDuration);

  std::string withdrawn_workspace;
  const std::optional<HttpCall> withdrawn_call =
      fleet.MakeCall(fleet.deployment().workspaces.back().name);
  std::cout << "publishing version 2\n";
  Status published = driver.Publish(
      MakeSecondVersion(fleet.deployment(), &withdrawn_workspace));
  if (!published) return Fail(published.error());
  GuaranteeResult key_result;
  if (withdrawn_call.has_value()) {
    key_result = CheckKeyWithdrawn(&fleet, *withdrawn_call);
  }
  std::this_thread::sleep_for(kPhaseDuration);

  const std::string domain = fleet.deployment().failure_domains.front().name;
  std::cout << "taking failure domain " << domain << " out of service\n";
  Status out = driver.Perform({{}, ExperimentAction::kDomainOut, domain, 0});
  if (!out) return Fail(out.error());
  std::this_thread::sleep_for(seconds(3));
  DomainOutCheck domain_out_check(&fleet, domain);
  domain_out_check.Begin();
  std::this_thread::sleep_for(kPhaseDuration);
  const GuaranteeResult domain_out_result = domain_out_check.End();
  std::cout << "putting failure domain " << domain << " back into service\n";
  Status in = driver.Perform({{}, ExperimentAction::kDomainIn, domain, 0});
  if (!in) return Fail(in.error());
  std::this_thread::sleep_for(2 * kPhaseDuration);

  result.ended = BootClock::now();
  result.samples = load.Stop();
  const double length =
      std::chrono::duration<double>(result.ended - result.began).count();
  result.control_bytes_per_node_second =
      (TotalPeerBytes(&fleet) - bytes) / length /
      static_cast<double>(fleet.servers().size());
  result.convergence_millis = driver.convergence_millis();
  result.guarantees =
      CheckGuarantees(&fleet, result.samples, ReadExecutions(&fleet));
  if (withdrawn_call.has_value()) result.guarantees.push_back(key_result);
  result.guarantees.push_back(domain_out_result);
  WriteVariantReport(result, &std::cout);
  const bool all_held = WriteGuarantees(result.guarantees, &std::cout);
  std::cout << (all_held ? "\nall promises held\n"
                         : "\na promise was broken\n");
  return all_held ? 0 : 1;
}

int RunIdleMesh(const DemoOptions& options, nanoseconds length) {
  auto started = StartFleet(options);
  if (!started) return Fail(started.error());
  Fleet& fleet = *started.value();
  PrintProcessInfo("platform", "platform", fleet.platform_pid(),
                   fleet.platform_address(), "");
  std::cout << "\n";
  for (const auto& [name, server] : fleet.servers()) {
    PrintProcessInfo("backend", name, server.backend_process->pid(),
                     server.backend_address, server.failure_domain);
    std::cout << "\n";
    PrintProcessInfo("node", name, server.node_process->pid(),
                     server.caller_address, server.failure_domain);
    std::cout << " backend_server=" << name
              << " operators=" << server.operator_address << "\n";
  }
  for (const WorkspaceSpec& workspace : fleet.deployment().workspaces) {
    std::cout << "workspace=" << workspace.name
              << " key=" << Fleet::KeyForWorkspace(workspace.name) << "\n";
  }
  std::cout << std::flush;
  std::this_thread::sleep_for(length);
  return 0;
}

}  // namespace wisteriarill
