#include "wisteriarill/version/deployment_parser.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace wisteriarill {
namespace {

class DeploymentParserTest : public testing::Test {
 protected:
  void SetUp() override {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "mesh-XXXXXX").string();
    directory_ = mkdtemp(pattern.data());
  }
  void TearDown() override { std::filesystem::remove_all(directory_); }

  ParsedDeployment Parse(const std::string& text) {
    std::ofstream(directory_ + "/mesh.toml") << text;
    return ParseDeployment(directory_);
  }

  // Returns whether there is a diagnostic with a remedy whose key contains
  // `key` and whose message contains `message`.
  static bool HasDiagnostic(const ParsedDeployment& parsed,
                            const std::string& key,
                            const std::string& message) {
    for (const Diagnostic& diagnostic : parsed.diagnostics) {
      const bool matches =
          diagnostic.key.find(key) != std::string::npos &&
          diagnostic.message.find(message) != std::string::npos;
      if (matches && !diagnostic.remedy.empty()) return true;
    }
    return false;
  }

  std::string directory_;
};

constexpr const char* kValidDeployment = R"(
number = 3
[[failure_domain]]
name = "brest"
[[service]]
name = "depot"
slots = 4
[[service.server]]
name = "depot-1"
failure_domain = "brest"
node = "10.0.0.1:7100"
[[route]]
name = "plans"
path_prefix = "/depot"
service = "depot"
[[workspace]]
name = "crates"
rate_per_second = 2.5
burst = 10
)";

TEST_F(DeploymentParserTest, ParsesAValidDeployment) {
  const ParsedDeployment parsed = Parse(kValidDeployment);
  ASSERT_TRUE(parsed.diagnostics.empty())
      << ToString(parsed.diagnostics.front());
  EXPECT_EQ(parsed.deployment.number, 3U);
  EXPECT_EQ(parsed.deployment.workspaces.front().rate, 2'500'000);
}

TEST_F(DeploymentParserTest, ReportsAllErrorsInOneRun) {
  const ParsedDeployment parsed = Parse(std::string(kValidDeployment) + R"(
colour = "red"
[[route]]
name = "plans"
path_prefix = "/depot"
service = "missing"
workspaces = ["nobody"]
[[workspace]]
name = "other"
rate_per_second = "fast"
burst = 0
key_sha256 = ["abc"]
)");
  EXPECT_TRUE(HasDiagnostic(parsed, "service", "\"missing\" is not defined"));
  EXPECT_TRUE(HasDiagnostic(parsed, "workspaces", "\"nobody\" is not defined"));
  EXPECT_TRUE(HasDiagnostic(parsed, "route[1].name", "defined twice"));
  EXPECT_TRUE(
      HasDiagnostic(parsed, "path_prefix", "matches the same requests"));
  EXPECT_TRUE(HasDiagnostic(parsed, "rate_per_second", "not a number"));
  EXPECT_TRUE(HasDiagnostic(parsed, "burst", "out of range"));
  EXPECT_TRUE(HasDiagnostic(parsed, "key_sha256", "not a SHA-256 digest"));
}

TEST_F(DeploymentParserTest, RejectsUnknownKeys) {
  const ParsedDeployment parsed =
      Parse("colour = 1\n" + std::string(kValidDeployment));
  EXPECT_TRUE(HasDiagnostic(parsed, "colour", "not a known key"));
}

TEST_F(DeploymentParserTest, ReportsTheLineOfASyntaxError) {
  const ParsedDeployment parsed = Parse("number = \n");
  ASSERT_FALSE(parsed.diagnostics.empty());
  EXPECT_EQ(parsed.diagnostics.front().key, "line 1");
}

TEST_F(DeploymentParserTest, RejectsAnEmptyDirectory) {
  EXPECT_FALSE(ParseDeployment(directory_).diagnostics.empty());
}

TEST_F(DeploymentParserTest, ChecksAddresses) {
  EXPECT_TRUE(IsIpAndPort("10.0.0.1:7100"));
  EXPECT_FALSE(IsIpAndPort("10.0.0.1"));
  EXPECT_FALSE(IsIpAndPort("node.example:7100"));
  EXPECT_FALSE(IsIpAndPort("10.0.0.1:70000"));
}

}  // namespace
}  // namespace wisteriarill
