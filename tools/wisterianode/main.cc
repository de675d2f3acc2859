/// \file
/// wisterianode: the mesh daemon that runs next to each backend server.
#include <csignal>
#include <cstdio>
#include <iostream>

#include "tool_main.h"
#include "wisteriarill/process/log.h"
#include "wisteriarill/process/node.h"
#include "wisteriarill/process/node_settings.h"

namespace {

using wisteriarill::kExitFault;

using wisteriarill::LogEvent;
using wisteriarill::LogLevel;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("wisterianode",
                           "Mesh node of one backend server and its callers.");
  options.add_options()("config", "settings file (TOML)",
                        cxxopts::value<std::string>()->default_value(""))(
      "set", "KEY=VALUE that overrides the settings file",
      cxxopts::value<std::vector<std::string>>())(
      "check-config", "check the settings and exit")(
      "log-level", "debug, info, warning or error",
      cxxopts::value<std::string>()->default_value("info"));
  return options;
}

// Returns the log level `name`, or kInfo for an unknown name.
LogLevel ParseLogLevel(const std::string& name) {
  if (name == "debug") return LogLevel::kDebug;
  if (name == "warning") return LogLevel::kWarning;
  if (name == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

// Blocks the signals that request a graceful stop, so that only sigwait
// receives them, and ignores SIGPIPE. Threads started later inherit the signal
// mask.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int RunNode(const wisteriarill::NodeSettings& settings) {
  const sigset_t signals = BlockStopSignals();
  wisteriarill::Node node(settings);
  const wisteriarill::Status started = node.Start();
  if (!started) {
    LogEvent(LogLevel::kError, "start_failed").With(started.error());
    return kExitFault;
  }
  LogEvent(LogLevel::kInfo, "listening")
      .With("name", settings.name)
      .With("callers", node.caller_address())
      .With("peers", node.peer_address())
      .With("operators", node.operator_address());
  int signal = 0;
  sigwait(&signals, &signal);
  node.Drain();
  return 0;
}

int ParseSettingsAndRun(const cxxopts::ParseResult& flags) {
  std::vector<std::string> overrides;
  if (flags.count("set") > 0) {
    overrides = flags["set"].as<std::vector<std::string>>();
  }
  const wisteriarill::ParsedNodeSettings parsed =
      wisteriarill::ParseNodeSettings(flags["config"].as<std::string>(),
                                      overrides);
  for (const auto& diagnostic : parsed.diagnostics) {
    std::cerr << ToString(diagnostic) << "\n";
  }
  if (!parsed.diagnostics.empty()) return kExitFault;
  if (flags.count("check-config") > 0) return 0;
  wisteriarill::InitializeLog(
      parsed.settings.name,
      ParseLogLevel(flags["log-level"].as<std::string>()));
  wisteriarill::FlushLogAndExit(RunNode(parsed.settings));
}

}  // namespace

int main(int argc, char** argv) {
  return wisteriarill::RunTool("wisterianode", MakeOptions(), argc, argv,
                               ParseSettingsAndRun);
}
