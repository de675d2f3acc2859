#include "wisteriarill/version/deployment_parser.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <utility>

namespace wisteriarill {
namespace {

constexpr std::int64_t kMaxReleaseNumber = 1'000'000'000'000;
constexpr std::int64_t kMaxSlots = 100'000;
constexpr std::int64_t kMaxTimeoutMillis = 3'600'000;
constexpr double kMaxRate = 10'000'000;
constexpr std::int64_t kMaxBurst = 100'000'000;

FailureDomainSpec ParseFailureDomain(TomlTableReader& reader) {
  FailureDomainSpec domain;
  domain.source = reader.Locate("");
  domain.name = reader.RequiredString("name");
  domain.region = reader.OptionalString("region").value_or("");
  domain.in_service = reader.Choice("state", {"in", "out"}, 0) == 0;
  reader.ReportUnknownKeys();
  return domain;
}

ServerSpec ParseServer(TomlTableReader& reader) {
  ServerSpec server;
  server.source = reader.Locate("");
  server.name = reader.RequiredString("name");
  server.failure_domain = reader.RequiredString("failure_domain");
  server.node_address = reader.RequiredString("node");
  server.leaving = reader.Choice("state", {"in", "leaving"}, 0) == 1;
  reader.ReportUnknownKeys();
  return server;
}

ServiceSpec ParseService(TomlTableReader& reader) {
  ServiceSpec service;
  service.source = reader.Locate("");
  service.name = reader.RequiredString("name");
  service.slots =
      static_cast<std::uint32_t>(reader.RequiredInteger("slots", 1, kMaxSlots));
  service.cold_slots = static_cast<std::uint32_t>(
      reader.OptionalInteger("cold_slots", 1, service.slots)
          .value_or(std::max<std::uint32_t>(1, service.slots / 8)));
  service.warmup =
      milliseconds(reader.OptionalInteger("warmup_ms", 0, kMaxTimeoutMillis)
                       .value_or(service.warmup.count()));
  service.timeout =
      milliseconds(reader.OptionalInteger("timeout_ms", 1, kMaxTimeoutMillis)
                       .value_or(service.timeout.count()));
  for (TomlTableReader& server : reader.Tables("server")) {
    service.servers.push_back(ParseServer(server));
  }
  reader.ReportUnknownKeys();
  return service;
}

RouteSpec ParseRoute(TomlTableReader& reader) {
  RouteSpec route;
  route.source = reader.Locate("");
  route.name = reader.RequiredString("name");
  route.host = reader.OptionalString("host").value_or("*");
  route.path_prefix = reader.OptionalString("path_prefix").value_or("/");
  route.methods = reader.StringList("methods");
  std::sort(route.methods.begin(), route.methods.end());
  route.service = reader.RequiredString("service");
  route.workspaces = reader.StringList("workspaces");
  route.open = reader.OptionalBool("open").value_or(false);
  route.idempotent = reader.OptionalBool("idempotent");
  const auto timeout =
      reader.OptionalInteger("timeout_ms", 1, kMaxTimeoutMillis);
  if (timeout.has_value()) route.timeout = milliseconds(*timeout);
  route.call_class = static_cast<CallClass>(
      reader.Choice("class", {"internal", "interactive", "bulk"}, 1));
  reader.ReportUnknownKeys();
  return route;
}

WorkspaceSpec ParseWorkspace(TomlTableReader& reader) {
  WorkspaceSpec workspace;
  workspace.source = reader.Locate("");
  workspace.name = reader.RequiredString("name");
  const std::optional<double> rate =
      reader.OptionalNumber("rate_per_second", 0.001, kMaxRate);
  if (!rate.has_value()) {
    reader.Report("rate_per_second", "is missing or not valid",
                  "set it to the calls per second that all VMs together admit");
  }
  workspace.rate = std::llround(rate.value_or(1) * kMicroTokensPerToken);
  workspace.burst =
      reader.RequiredInteger("burst", 1, kMaxBurst) * kMicroTokensPerToken;
  workspace.key_digests = reader.StringList("key_sha256");
  reader.ReportUnknownKeys();
  return workspace;
}

class DeploymentBuilder {
 public:
  void AddFile(const std::string& path, const std::string& shown_name) {
    const auto table = ParseTomlFile(path, shown_name, &result_.diagnostics);
    if (!table.has_value()) return;
    TomlTableReader reader(*table, shown_name, "", &result_.diagnostics);
    AddNumber(reader);
    Deployment& deployment = result_.deployment;
    for (TomlTableReader& entry : reader.Tables("failure_domain")) {
      deployment.failure_domains.push_back(ParseFailureDomain(entry));
    }
    for (TomlTableReader& entry : reader.Tables("service")) {
      deployment.services.push_back(ParseService(entry));
    }
    for (TomlTableReader& entry : reader.Tables("route")) {
      deployment.routes.push_back(ParseRoute(entry));
    }
    for (TomlTableReader& entry : reader.Tables("workspace")) {
      deployment.workspaces.push_back(ParseWorkspace(entry));
    }
    reader.ReportUnknownKeys();
  }

  ParsedDeployment TakeResult(const std::string& directory) {
    if (numbers_ == 0 && result_.diagnostics.empty()) {
      result_.diagnostics.push_back(
          {directory, "number", "is missing",
           "add number = N to one file, higher than the last release's"});
    }
    return std::move(result_);
  }

 private:
  void AddNumber(TomlTableReader& reader) {
    const auto number = reader.OptionalInteger("number", 1, kMaxReleaseNumber);
    if (!number.has_value()) return;
    if (++numbers_ > 1) {
      reader.Report("number", "is set in more than one file",
                    "keep it in one file");
    }
    result_.deployment.number = static_cast<std::uint64_t>(*number);
  }

  ParsedDeployment result_;
  int numbers_ = 0;
};

}  // namespace

ParsedDeployment ParseDeployment(const std::string& directory) {
  std::vector<std::filesystem::path> files;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator(directory, error)) {
    if (entry.path().extension() == ".toml") files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  if (files.empty()) {
    ParsedDeployment nothing;
    nothing.diagnostics.push_back(
        {directory, "", "contains no *.toml file",
         "pass the directory with the mesh's configuration files"});
    return nothing;
  }
  DeploymentBuilder builder;
  for (const auto& file : files) {
    builder.AddFile(file.string(), file.filename().string());
  }
  ParsedDeployment parsed = builder.TakeResult(directory);
  for (Diagnostic& diagnostic : ValidateDeployment(parsed.deployment)) {
    parsed.diagnostics.push_back(std::move(diagnostic));
  }
  return parsed;
}

}  // namespace wisteriarill
