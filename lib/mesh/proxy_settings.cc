#include "wisteriarill/mesh/proxy_settings.h"

#include <cmath>
#include <optional>

#include "wisteriarill/mesh/duration_text.h"
#include "wisteriarill/mesh/http_client.h"
#include "wisteriarill/registry/store_takeover.h"

namespace wisteriarill {
namespace {

constexpr double kMaxRatio = 1000;
constexpr double kMaxNumber = 1e9;
constexpr double kMinMemoryMb = 32;

std::string ReadAddress(TomlTableReader* reader, const char* key) {
  std::string value = reader->RequiredString(key);
  const auto endpoint = ParseEndpoint(value);
  if (!value.empty() && !endpoint) {
    reader->Report(key, endpoint.error().message, endpoint.error().remedy);
  }
  return value;
}

milliseconds ReadDuration(TomlTableReader* reader, const char* key,
                          milliseconds fallback) {
  const std::optional<std::string> text = reader->OptionalString(key);
  if (!text) return fallback;
  const std::optional<milliseconds> parsed = ParseDuration(*text);
  if (parsed) return *parsed;
  reader->Report(key, "\"" + *text + "\" is not a duration",
                 "write a number and its unit, for example \"1500ms\"");
  return fallback;
}

double ReadNumber(TomlTableReader* reader, const char* key, double fallback) {
  return reader->OptionalNumber(key, 0, kMaxNumber).value_or(fallback);
}

void ReadIdentityAndAddresses(TomlTableReader* reader,
                              ProxySettings* settings) {
  settings->name = reader->RequiredString("name");
  settings->ip = reader->RequiredString("ip");
  settings->failure_domain = reader->RequiredString("failure_domain");
  settings->service = reader->RequiredString("service");
  settings->backend = ReadAddress(reader, "backend");
  settings->store = ReadAddress(reader, "store");
  settings->caller_listen = ReadAddress(reader, "caller_listen");
  settings->peer_listen = ReadAddress(reader, "peer_listen");
  settings->ready_listen = ReadAddress(reader, "ready_listen");
  settings->operator_listen = ReadAddress(reader, "operator_listen");
  settings->beat_port = static_cast<std::uint16_t>(
      reader->RequiredInteger("beat_port", 1, UINT16_MAX));
}

void ReadPropagationBound(TomlTableReader* reader, ProxySettings* settings) {
  constexpr const char* kKey = "propagation_bound";
  settings->propagation_bound =
      ReadDuration(reader, kKey, settings->propagation_bound);
  if (settings->propagation_bound >= StoreTakeover::kMinBound) return;
  reader->Report(kKey, "the bound is too short for a change to reach all nodes",
                 "set at least " +
                     std::to_string(StoreTakeover::kMinBound.count()) + "ms");
}

void ReadLimits(TomlTableReader* reader, ProxySettings* settings) {
  settings->stop_grace =
      ReadDuration(reader, "stop_grace", settings->stop_grace);
  ReadPropagationBound(reader, settings);
  settings->retry_ratio = reader->OptionalNumber("retry_ratio", 0, kMaxRatio)
                              .value_or(settings->retry_ratio);
  settings->retry_window =
      ReadDuration(reader, "retry_window", settings->retry_window);
  settings->retry_slack =
      ReadNumber(reader, "retry_slack", settings->retry_slack);
  settings->rate_tolerance =
      ReadNumber(reader, "rate_tolerance", settings->rate_tolerance);
  settings->rate_slack = ReadNumber(reader, "rate_slack", settings->rate_slack);
  settings->rate_window =
      ReadDuration(reader, "rate_window", settings->rate_window);
  settings->link_mbps = ReadNumber(reader, "link_mbps", settings->link_mbps);
  settings->memory_mb =
      reader->OptionalNumber("memory_mb", kMinMemoryMb, kMaxNumber)
          .value_or(settings->memory_mb);
  settings->cold_over = ReadNumber(reader, "cold_over", settings->cold_over);
  settings->cold_slack = ReadNumber(reader, "cold_slack", settings->cold_slack);
}

}  // namespace

ParsedProxySettings ParseProxySettings(const std::string& path) {
  ParsedProxySettings parsed;
  const std::optional<toml::table> table =
      ParseTomlFile(path, path, &parsed.diagnostics);
  if (!table) return parsed;
  TomlTableReader reader(*table, path, "", &parsed.diagnostics);
  ReadIdentityAndAddresses(&reader, &parsed.settings);
  ReadLimits(&reader, &parsed.settings);
  reader.ReportUnknownKeys();
  return parsed;
}

}  // namespace wisteriarill
