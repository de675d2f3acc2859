#include "experiment.h"

#include <algorithm>
#include <filesystem>

namespace wisteriarill {
namespace {

constexpr std::int64_t kMaxSeconds = 3600;
constexpr std::int64_t kMaxConnections = 1024;

// Returns the names of the actions in the order of ExperimentAction.
const std::vector<std::string>& ActionNames() {
  static const std::vector<std::string> kNames = {
      "domain-out",    "domain-in",     "kill-node",     "start-node",
      "freeze-node",   "resume-node",   "stop-node",     "kill-backend",
      "start-backend", "cold-backend",  "cut-domain",    "silence-domain",
      "heal",          "platform-mode", "withdraw-keys", "set-rate"};
  return kNames;
}

ExperimentLoad ParseLoad(TomlTableReader& reader) {
  ExperimentLoad load;
  load.workspace = reader.RequiredString("workspace");
  load.rate = reader.OptionalNumber("rate", 0.01, 1e6).value_or(1);
  load.method = reader.OptionalString("method").value_or(load.method);
  load.path = reader.OptionalString("path").value_or(load.path);
  load.from = reader.OptionalString("from").value_or("");
  reader.ReportUnknownKeys();
  return load;
}

ExperimentEvent ParseEvent(TomlTableReader& reader) {
  ExperimentEvent event;
  const double at =
      reader.OptionalNumber("at_seconds", 0, kMaxSeconds).value_or(0);
  event.at = milliseconds(static_cast<std::int64_t>(at * 1000));
  reader.RequiredString("action");
  event.action =
      static_cast<ExperimentAction>(reader.Choice("action", ActionNames(), 0));
  event.target = reader.OptionalString("target").value_or("");
  event.value = reader.OptionalNumber("value", 0, 1e9).value_or(0);
  reader.ReportUnknownKeys();
  return event;
}

ExperimentVariant ParseVariant(TomlTableReader& reader) {
  ExperimentVariant variant;
  variant.name = reader.RequiredString("name");
  variant.node_settings = reader.StringList("node_settings");
  reader.ReportUnknownKeys();
  return variant;
}

int ReadInt(TomlTableReader& reader, const std::string& key, int max_value,
            int fallback) {
  return static_cast<int>(
      reader.OptionalInteger(key, 1, max_value).value_or(fallback));
}

}  // namespace

ParsedExperiment ParseExperiment(const std::string& path) {
  ParsedExperiment parsed;
  const auto table = ParseTomlFile(path, path, &parsed.diagnostics);
  if (!table.has_value()) return parsed;
  TomlTableReader reader(*table, path, "", &parsed.diagnostics);
  Experiment& experiment = parsed.experiment;
  experiment.name = reader.RequiredString("name");
  const std::filesystem::path directory =
      std::filesystem::path(path).parent_path();
  experiment.deployment =
      (directory / reader.RequiredString("deployment")).string();
  experiment.length = seconds(ReadInt(reader, "seconds", kMaxSeconds, 30));
  experiment.connections = ReadInt(reader, "connections", kMaxConnections, 64);
  experiment.work_ms = ReadInt(reader, "work_ms", 10000, 5);
  experiment.warmup_ms = ReadInt(reader, "warmup_ms", 60000, 1500);
  experiment.relays = reader.OptionalBool("relays").value_or(false);
  for (TomlTableReader& load : reader.Tables("load")) {
    experiment.loads.push_back(ParseLoad(load));
  }
  for (TomlTableReader& event : reader.Tables("event")) {
    experiment.events.push_back(ParseEvent(event));
  }
  for (TomlTableReader& variant : reader.Tables("variant")) {
    experiment.variants.push_back(ParseVariant(variant));
  }
  if (experiment.variants.empty()) {
    experiment.variants.push_back({"wisteriarill", {}});
  }
  std::stable_sort(experiment.events.begin(), experiment.events.end(),
                   [](const ExperimentEvent& a, const ExperimentEvent& b) {
                     return a.at < b.at;
                   });
  reader.ReportUnknownKeys();
  return parsed;
}

}  // namespace wisteriarill
