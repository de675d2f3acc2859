#include "wisteriarill/process/node_settings.h"

#include <sstream>
#include <utility>

#include "wisteriarill/version/deployment_parser.h"

namespace wisteriarill {
namespace {

constexpr std::int64_t kMaxCallerThreads = 4096;
constexpr std::int64_t kMaxFleetSize = 1'000'000;
constexpr std::int64_t kMaxMillis = 3'600'000;

// Parses KEY=VALUE. A TOML string needs quotes, but the value of a flag may
// omit them: a value that does not parse is parsed again with quotes added.
std::optional<toml::table> ParseOverride(const std::string& text,
                                         std::vector<Diagnostic>* diagnostics) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) {
    diagnostics->push_back({"--set", text, "does not have the form KEY=VALUE",
                            "write it like --set caller_threads=64"});
    return std::nullopt;
  }
  const std::string key = text.substr(0, equals);
  const std::string value = text.substr(equals + 1);
  for (const char* quote : {"", "\""}) {
    try {
      std::string assignment = key;
      assignment.append(" = ").append(quote).append(value).append(quote);
      return toml::parse(assignment);
    } catch (const toml::parse_error&) {
      continue;  // Try again as a string with quotes added.
    }
  }
  diagnostics->push_back({"--set", key, "has an invalid value",
                          "write the value as in the TOML settings file"});
  return std::nullopt;
}

void CheckAddress(TomlTableReader& reader, const std::string& key,
                  const std::string& value) {
  if (value.empty() || IsIpAndPort(value)) return;
  reader.Report(key, "\"" + value + "\" is not an address",
                "write IP:port, for example \"127.0.0.1:7100\"");
}

milliseconds ReadMillis(TomlTableReader& reader, const std::string& key,
                        milliseconds fallback) {
  return milliseconds(
      reader.OptionalInteger(key, 1, kMaxMillis).value_or(fallback.count()));
}

void ReadAddresses(TomlTableReader& reader, NodeSettings* settings) {
  settings->backend = reader.RequiredString("backend");
  settings->platform = reader.RequiredString("platform");
  settings->caller_listen =
      reader.OptionalString("caller_listen").value_or(settings->caller_listen);
  settings->peer_listen =
      reader.OptionalString("peer_listen").value_or(settings->peer_listen);
  settings->operator_listen = reader.OptionalString("operator_listen")
                                  .value_or(settings->operator_listen);
  settings->seeds = reader.StringList("seeds");
  CheckAddress(reader, "backend", settings->backend);
  CheckAddress(reader, "platform", settings->platform);
  CheckAddress(reader, "caller_listen", settings->caller_listen);
  CheckAddress(reader, "peer_listen", settings->peer_listen);
  CheckAddress(reader, "operator_listen", settings->operator_listen);
  for (const std::string& seed : settings->seeds) {
    CheckAddress(reader, "seeds", seed);
  }
}

void ReadSettings(TomlTableReader& reader, NodeSettings* settings) {
  settings->name = reader.RequiredString("name");
  settings->failure_domain = reader.RequiredString("failure_domain");
  ReadAddresses(reader, settings);
  settings->fleet_size = static_cast<std::uint32_t>(
      reader.OptionalInteger("fleet_size", 1, kMaxFleetSize)
          .value_or(settings->fleet_size));
  settings->caller_threads = static_cast<std::uint32_t>(
      reader.OptionalInteger("caller_threads", 1, kMaxCallerThreads)
          .value_or(settings->caller_threads));
  settings->isolation_timeout =
      ReadMillis(reader, "isolation_ms", settings->isolation_timeout);
  settings->confirmation_timeout =
      ReadMillis(reader, "part_fence_ms", settings->confirmation_timeout);
  settings->drain_quiet_period =
      ReadMillis(reader, "drain_quiet_ms", settings->drain_quiet_period);
  settings->drain_limit =
      ReadMillis(reader, "drain_limit_ms", settings->drain_limit);
  settings->rate_policy = static_cast<RatePolicy>(
      reader.Choice("rate_policy", {"homes", "one-home", "static-split"}, 0));
  settings->route_policy = static_cast<RoutePolicy>(
      reader.Choice("route_policy", {"load", "round-robin"}, 0));
  settings->gate_enabled =
      reader.OptionalBool("gate").value_or(settings->gate_enabled);
  settings->abort_on_violation =
      reader.OptionalBool("abort_on_violation").value_or(false);
  reader.ReportUnknownKeys();
}

}  // namespace

ParsedNodeSettings ParseNodeSettings(
    const std::string& path, const std::vector<std::string>& overrides) {
  ParsedNodeSettings parsed;
  toml::table table;
  if (!path.empty()) {
    auto file = ParseTomlFile(path, path, &parsed.diagnostics);
    if (!file.has_value()) return parsed;
    table = std::move(*file);
  }
  for (const std::string& text : overrides) {
    const auto override_table = ParseOverride(text, &parsed.diagnostics);
    if (!override_table.has_value()) continue;
    for (const auto& [key, value] : *override_table) {
      table.insert_or_assign(key, value);
    }
  }
  TomlTableReader reader(table, path.empty() ? "--set" : path, "",
                         &parsed.diagnostics);
  ReadSettings(reader, &parsed.settings);
  return parsed;
}

}  // namespace wisteriarill
