// Renders deploy/node.toml.template as the platform does. Contracts and their
// bounds are optional, and a node whose settings don't parse doesn't start.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "wisteriarill/mesh/proxy_settings.h"

namespace wisteriarill::platform {
namespace {

using Fields = std::map<std::string, std::string>;

const Fields kRequiredFields = {
    {"Node", "node-1"},
    {"Ip", "10.1.0.11"},
    {"Zone", "zone-a"},
    {"Service", "booking"},
    {"AppAddr", "10.1.0.11:8363"},
    {"Platform.Addr", "10.200.1.7:8362"},
    {"Listen.Outbound", "10.1.0.11:8365"},
    {"Listen.Inbound", "10.1.0.11:8366"},
    {"Listen.Ready", "10.1.0.11:8369"},
    {"InternalPorts.0", "7780"},
    {"InternalPorts.1", "7795"},
};

const Fields kOptionalFields = {
    {"Bounds.Grace", "7s"},
    {"Bounds.Config", "2500ms"},
    {"Bounds.RetryBudgetRatio", "0.3"},
    {"Bounds.BudgetWindow", "12s"},
    {"Bounds.BudgetSlack", "62"},
    {"Bounds.QuotaOver", "0.25"},
    {"Bounds.QuotaSlack", "20"},
    {"Bounds.QuotaWindow", "4s"},
    {"Bounds.ColdOver", "1.5"},
    {"Bounds.ColdSlack", "5"},
    {"Limits.LinkMbps", "10.5"},
    {"Limits.MemoryLimitMb", "160"},
};

std::string ReadTemplate() {
  std::ifstream file(WISTERIARILL_SETTINGS_TEMPLATE);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Replaces every section `{{#name}}..{{/name}}` by its content if the field
/// exists, and by nothing if not.
std::string RenderSections(std::string text, const Fields& fields) {
  for (;;) {
    const std::size_t open = text.find("{{#");
    if (open == std::string::npos) return text;
    const std::size_t name_end = text.find("}}", open);
    const std::string name = text.substr(open + 3, name_end - open - 3);
    const std::string closing = "{{/" + name + "}}";
    const std::size_t close = text.find(closing, name_end);
    if (close == std::string::npos) {
      ADD_FAILURE() << "section " << name << " has no end";
      return "";
    }
    const std::string content = text.substr(name_end + 2, close - name_end - 2);
    text.replace(open, close + closing.size() - open,
                 fields.contains(name) ? content : "");
  }
}

/// Replaces every `{{name}}` by the field's value, or by nothing if there is no
/// such field.
std::string RenderValues(std::string text, const Fields& fields) {
  for (;;) {
    const std::size_t open = text.find("{{");
    if (open == std::string::npos) return text;
    const std::size_t close = text.find("}}", open);
    const auto field = fields.find(text.substr(open + 2, close - open - 2));
    text.replace(open, close + 2 - open,
                 field == fields.end() ? "" : field->second);
  }
}

ParsedProxySettings ParseText(const std::string& text) {
  const std::string path = testing::TempDir() + "settings_template_test.toml";
  std::ofstream(path) << text;
  ParsedProxySettings parsed = ParseProxySettings(path);
  std::remove(path.c_str());
  return parsed;
}

ParsedProxySettings RenderAndParse(const Fields& optional_fields) {
  Fields fields = kRequiredFields;
  fields.insert(optional_fields.begin(), optional_fields.end());
  return ParseText(
      RenderValues(RenderSections(ReadTemplate(), fields), fields));
}

void ExpectNoDiagnostics(const ParsedProxySettings& parsed) {
  for (const Diagnostic& diagnostic : parsed.diagnostics)
    ADD_FAILURE() << ToString(diagnostic);
}

TEST(SettingsTemplateTest, RendersAllFields) {
  const ParsedProxySettings parsed = RenderAndParse(kOptionalFields);
  ExpectNoDiagnostics(parsed);
  const ProxySettings& settings = parsed.settings;
  EXPECT_EQ(settings.name, "node-1");
  EXPECT_EQ(settings.beat_port, 7795);
  EXPECT_EQ(settings.stop_grace, milliseconds(7000));
  EXPECT_EQ(settings.propagation_bound, milliseconds(2500));
  EXPECT_EQ(settings.retry_ratio, 0.3);
  EXPECT_EQ(settings.retry_window, milliseconds(12000));
  EXPECT_EQ(settings.retry_slack, 62);
  EXPECT_EQ(settings.rate_tolerance, 0.25);
  EXPECT_EQ(settings.rate_slack, 20);
  EXPECT_EQ(settings.rate_window, milliseconds(4000));
  EXPECT_EQ(settings.cold_over, 1.5);
  EXPECT_EQ(settings.cold_slack, 5);
  EXPECT_EQ(settings.link_mbps, 10.5);
  EXPECT_EQ(settings.memory_mb, 160);
}

// Guards against a node that doesn't start where a contract leaves out a bound.
TEST(SettingsTemplateTest, ParsesWithoutAnyOneOptionalField) {
  for (const auto& [name, value] : kOptionalFields) {
    SCOPED_TRACE(name);
    Fields fields = kOptionalFields;
    fields.erase(name);
    ExpectNoDiagnostics(RenderAndParse(fields));
  }
}

// Guards against a node that doesn't start where there are no bounds at all.
TEST(SettingsTemplateTest, UsesDefaultsWithoutAllOptionalFields) {
  const ParsedProxySettings parsed = RenderAndParse({});
  ExpectNoDiagnostics(parsed);
  const ProxySettings defaults;
  EXPECT_EQ(parsed.settings.stop_grace, defaults.stop_grace);
  EXPECT_EQ(parsed.settings.retry_ratio, defaults.retry_ratio);
  EXPECT_EQ(parsed.settings.rate_tolerance, defaults.rate_tolerance);
  EXPECT_EQ(parsed.settings.cold_over, defaults.cold_over);
  EXPECT_EQ(parsed.settings.memory_mb, defaults.memory_mb);
}

// Guards against a syntax error that doesn't say which key to correct.
TEST(SettingsTemplateTest, SyntaxErrorNamesTheKey) {
  const ParsedProxySettings parsed =
      ParseText("name = \"node-1\"\nrate_tolerance = \n");
  ASSERT_EQ(parsed.diagnostics.size(), 1U);
  EXPECT_EQ(parsed.diagnostics.front().key, "line 2");
  EXPECT_NE(parsed.diagnostics.front().remedy.find("\"rate_tolerance =\""),
            std::string::npos);
}

}  // namespace
}  // namespace wisteriarill::platform
