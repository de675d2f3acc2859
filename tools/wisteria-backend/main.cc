/// \file
/// wisteria-backend: a stand-in for a backend server, for tests and benchmarks.
#include <iostream>

#include "backend_pages.h"
#include "tool_main.h"
#include "wisteriarill/process/log.h"
#include "wisteriarill/standin/http_server.h"

namespace {

using wisteriarill::kExitFault;

using wisteriarill::LogEvent;
using wisteriarill::LogLevel;

constexpr int kMaxConnections = 600;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("wisteria-backend",
                           "Stand-in for a backend server.");
  options.add_options()(
      "listen", "IP:port to serve on",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "name", "name in response bodies",
      cxxopts::value<std::string>()->default_value("backend"))(
      "slots", "requests served at once when warm",
      cxxopts::value<std::uint32_t>()->default_value("12"))(
      "work-ms", "default duration of a request in milliseconds",
      cxxopts::value<int>()->default_value("5"))(
      "warmup-ms", "duration of the warm-up in milliseconds",
      cxxopts::value<int>()->default_value("3000"))(
      "log-executions", "write a log line for each request before it runs");
  return options;
}

int Serve(const cxxopts::ParseResult& flags) {
  wisteriarill::InitializeToolLog("backend", LogLevel::kInfo);
  wisteriarill::BlockStopSignals();
  wisteriarill::BackendStateOptions options;
  options.slots = flags["slots"].as<std::uint32_t>();
  options.work = std::chrono::milliseconds(flags["work-ms"].as<int>());
  options.warmup = std::chrono::milliseconds(flags["warmup-ms"].as<int>());
  wisteriarill::BackendRequestHandler request_handler(
      flags["name"].as<std::string>(), options,
      flags.count("log-executions") > 0);
  const auto server = wisteriarill::MakeStandinServer(
      flags["listen"].as<std::string>(), kMaxConnections,
      [&](auto& request, auto& response) {
        request_handler.Serve(request, response);
      });
  const wisteriarill::Status started = server->Start();
  if (!started) {
    LogEvent(LogLevel::kError, "start_failed").With(started.error());
    return kExitFault;
  }
  LogEvent(LogLevel::kInfo, "listening").With("address", server->address());
  wisteriarill::WaitForStopSignal();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  return wisteriarill::RunTool("wisteria-backend", MakeOptions(), argc, argv,
                               Serve);
}
