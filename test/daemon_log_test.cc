/// \file
/// Tests how the daemons read their settings file and write their log.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "wisteriarill/standin/child_process.h"
#include "wisteriarill/standin/http_call.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kTimeout = seconds(30);

class DaemonLogTest : public ::testing::Test {
 protected:
  DaemonLogTest() {
    const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
    directory_ = std::filesystem::temp_directory_path() /
                 (std::string("wisteria-") + info->name() + "-" +
                  std::to_string(getpid()));
    std::filesystem::create_directories(directory_);
  }
  ~DaemonLogTest() override { std::filesystem::remove_all(directory_); }

  std::string Path(const std::string& name) const {
    return (directory_ / name).string();
  }

  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(Path(name)) << text;
  }

  // Writes settings for a node whose store is unreachable, so that it refuses
  // all calls, and returns the path.
  std::string ProxySettingsFile() const {
    Write("proxy.toml",
          "name = \"node-1\"\nip = \"127.0.8.1\"\nfailure_domain = \"d\"\n"
          "service = \"s\"\nbackend = \"127.0.8.1:1\"\n"
          "store = \"127.0.8.1:2\"\ncaller_listen = \"127.0.8.1:18101\"\n"
          "peer_listen = \"127.0.8.1:18102\"\n"
          "ready_listen = \"127.0.8.1:18103\"\n"
          "operator_listen = \"127.0.8.1:18104\"\nbeat_port = 18105\n");
    return Path("proxy.toml");
  }

  // Runs a command until it exits and returns its exit status.
  std::optional<int> Run(const std::vector<std::string>& command) const {
    Result<ChildProcess> process = ChildProcess::Start(command, Path("out"));
    EXPECT_TRUE(process);
    return process.value().WaitForExit(kTimeout);
  }

 private:
  std::filesystem::path directory_;
};

TEST_F(DaemonLogTest, ABlockedLogReaderDelaysNoCall) {
  const std::string pipe = Path("pipe");
  ASSERT_EQ(mkfifo(pipe.c_str(), 0600), 0);
  // Keeps the pipe open for reading, but never reads from it.
  const int reader = open(pipe.c_str(), O_RDWR);
  ASSERT_GE(reader, 0);
  ASSERT_GE(fcntl(reader, F_SETPIPE_SZ, 4096), 4096);
  Result<ChildProcess> node = ChildProcess::Start(
      {WISTERIARILL_PROXY, "--config", ProxySettingsFile()}, pipe);
  ASSERT_TRUE(node);
  const Instant end = BootClock::now() + kTimeout;
  while (HttpGet("127.0.8.1:18104", "/status").empty()) {
    ASSERT_LT(BootClock::now(), end);
    usleep(20000);
  }
  HttpConnection connection("127.0.8.1:18101", seconds(5));
  // Each refusal logs a line, up to 200 per second, and the pipe holds about
  // ten lines.
  constexpr int kCalls = 5000;
  for (int i = 0; i < kCalls; ++i) {
    ASSERT_EQ(connection.Call({}).status, 503) << "call " << i;
  }
  node.value().Signal(SIGTERM);
  EXPECT_EQ(node.value().WaitForExit(kTimeout), 0);
  close(reader);
}

TEST_F(DaemonLogTest, StartReloadAndStopAreLogged) {
  const std::string settings = ProxySettingsFile();
  Result<ChildProcess> node = ChildProcess::Start(
      {WISTERIARILL_PROXY, "--config", settings}, Path("log"));
  ASSERT_TRUE(node);
  auto started = node.value().WaitForEvent("started", kTimeout);
  ASSERT_TRUE(started);
  EXPECT_EQ((*started)["node"], "node-1");
  EXPECT_TRUE(node.value().WaitForEvent("store_lost", kTimeout));
  Write("proxy.toml", "name = 3\n");
  node.value().Signal(SIGHUP);
  auto reread = node.value().WaitForEvent("settings_reread", kTimeout);
  ASSERT_TRUE(reread);
  EXPECT_EQ((*reread)["outcome"], "refused");
  node.value().Signal(SIGTERM);
  EXPECT_EQ(node.value().WaitForExit(kTimeout), 0);
  EXPECT_TRUE(node.value().WaitForEvent("stopped", seconds(1)));
}

TEST_F(DaemonLogTest, CommandLinesWork) {
  Write("node.toml",
        "name = \"n\"\nfailure_domain = \"d\"\nplatform = \"127.0.0.1:1\"\n"
        "backend = \"127.0.0.1:2\"\n");
  const std::string programs = WISTERIARILL_PROGRAMS;
  EXPECT_EQ(Run({programs + "/wisterianode", "--config", Path("node.toml"),
                 "--check-config"}),
            0);
  EXPECT_EQ(Run({WISTERIARILL_PROXY, "--config", ProxySettingsFile(),
                 "--check-config"}),
            0);
  EXPECT_EQ(Run({programs + "/wisteriactl", "check",
                 std::string(WISTERIARILL_EXAMPLES) + "/tregor"}),
            0);
  for (const char* tool :
       {"wisterianode", "wisteria-platform", "wisteria-backend", "wisteriactl",
        "wisteria-bench"}) {
    EXPECT_EQ(Run({programs + "/" + tool, "--help"}), 0) << tool;
    EXPECT_EQ(Run({programs + "/" + tool, "--no-such-flag"}), 2) << tool;
  }
}

}  // namespace
}  // namespace wisteriarill
