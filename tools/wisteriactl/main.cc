/// \file
/// wisteriactl: the operators' command line tool. Validates, packs and compares
/// configuration files, explains how a request would be routed, shows the
/// status of a node, and analyzes the logs of nodes.
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <fstream>
#include <iostream>
#include <map>

#include "tool_main.h"
#include "wisteriarill/process/call_trace.h"
#include "wisteriarill/process/log.h"
#include "wisteriarill/version/deployment_parser.h"
#include "wisteriarill/version/explanation.h"
#include "wisteriarill/version/manifest_history.h"
#include "wisteriarill/version/release.h"

namespace {

using wisteriarill::kExitFault;
using wisteriarill::kExitUsage;

using Arguments = std::vector<std::string>;
using wisteriarill::Deployment;
using wisteriarill::Release;
using wisteriarill::Result;

const Poco::Timespan kStatusTimeout(3, 0);

// Prints `error` and returns the exit code of a failure.
int Fail(const wisteriarill::Error& error) {
  std::cerr << error.Describe() << "\n";
  return kExitFault;
}

// Parses the configuration files of `directory`. If they have errors, prints
// all of them and returns nothing.
std::optional<Deployment> ParseOrPrintErrors(const std::string& directory) {
  wisteriarill::ParsedDeployment parsed =
      wisteriarill::ParseDeployment(directory);
  for (const auto& diagnostic : parsed.diagnostics) {
    std::cerr << ToString(diagnostic) << "\n";
  }
  if (!parsed.diagnostics.empty()) return std::nullopt;
  return std::move(parsed.deployment);
}

int Check(const std::string& directory) {
  const auto deployment = ParseOrPrintErrors(directory);
  if (!deployment.has_value()) return kExitFault;
  const Result<Release> release = PackDeployment(*deployment);
  if (!release) return Fail(release.error());
  std::cout << "number " << deployment->number << ": "
            << deployment->services.size() << " services, "
            << deployment->routes.size() << " routes, "
            << deployment->workspaces.size() << " workspaces\n";
  return 0;
}

int Pack(const std::string& directory, const std::string& out) {
  if (out.empty()) {
    std::cerr
        << "pack needs --out DIR; give the directory to write the release to\n";
    return kExitUsage;
  }
  const auto deployment = ParseOrPrintErrors(directory);
  if (!deployment.has_value()) return kExitFault;
  const Result<Release> release = PackDeployment(*deployment);
  if (!release) return Fail(release.error());
  const wisteriarill::Status written = WriteRelease(release.value(), out);
  if (!written) return Fail(written.error());
  std::cout << "number " << deployment->number << ": "
            << release.value().chunks.size() << " chunks in " << out << "\n";
  return 0;
}

// Loads the manifest of a packed release, or packs a directory of configuration
// files and returns the manifest of the result.
Result<wisteriarill::Manifest> LoadManifest(const std::string& directory) {
  const Result<Release> packed = wisteriarill::ReadRelease(directory);
  if (packed) return wisteriarill::DecodeManifest(packed.value().manifest);
  const auto deployment = ParseOrPrintErrors(directory);
  if (!deployment.has_value()) {
    return MakeError(
        wisteriarill::ErrorKind::kInvalidConfiguration,
        directory + " holds neither a release nor valid configuration",
        "give a packed release or a directory of TOML files");
  }
  const Result<Release> release = PackDeployment(*deployment);
  if (!release) return release.error();
  return wisteriarill::DecodeManifest(release.value().manifest);
}

std::string KindName(wisteriarill::ChunkKind kind) {
  switch (kind) {
    case wisteriarill::ChunkKind::kMesh:
      return "failure domains and routes";
    case wisteriarill::ChunkKind::kService:
      return "service ";
    case wisteriarill::ChunkKind::kWorkspace:
      return "workspace ";
  }
  return "unknown ";
}

int Diff(const std::string& before, const std::string& after) {
  const auto base = LoadManifest(before);
  if (!base) return Fail(base.error());
  const auto target = LoadManifest(after);
  if (!target) return Fail(target.error());
  std::map<std::string, std::string> old;
  for (const auto& entry : base.value().entries) {
    old[KindName(entry.kind) + entry.name] = entry.digest;
  }
  std::cout << "number " << base.value().number << " -> "
            << target.value().number << "\n";
  for (const auto& entry : DiffManifests(base.value(), target.value())) {
    const std::string name = KindName(entry.kind) + entry.name;
    const char* change = old.count(name) > 0 ? "changed " : "added   ";
    std::cout << (entry.digest.empty() ? "removed " : change) << name << "\n";
  }
  return 0;
}

int ShowStatus(const std::string& address) {
  try {
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    session.setTimeout(kStatusTimeout);
    Poco::Net::HTTPRequest request("GET", "/status", "HTTP/1.1");
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    Poco::StreamCopier::copyStream(session.receiveResponse(response),
                                   std::cout);
    return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK
               ? 0
               : kExitFault;
  } catch (const std::exception& error) {
    std::cerr << "cannot read the status of " << address << ": " << error.what()
              << "; give the operator_listen address of a node\n";
    return kExitFault;
  }
}

int Explain(const std::string& directory, const cxxopts::ParseResult& flags) {
  const auto deployment = ParseOrPrintErrors(directory);
  if (!deployment.has_value()) return kExitFault;
  const auto snapshot =
      wisteriarill::Snapshot::Compile({deployment->number, 0}, *deployment);
  if (!snapshot) return Fail(snapshot.error());
  std::cout << RenderExplanation(
      snapshot.value().get(),
      {flags["method"].as<std::string>(), flags["host"].as<std::string>(),
       flags["path"].as<std::string>(), flags["key-sha256"].as<std::string>()});
  return 0;
}

// Passes each log from `paths[first]` on to `reader`. Returns 0, or an exit
// code if a file cannot be read.
template <typename Reader>
int ReadLogs(const Arguments& paths, std::size_t first, Reader* reader) {
  for (std::size_t i = first; i < paths.size(); ++i) {
    std::ifstream log(paths[i]);
    if (!log) {
      std::cerr << "cannot read " << paths[i] << "; give log files of nodes\n";
      return kExitFault;
    }
    reader->Read(log);
  }
  return 0;
}

int Trace(const Arguments& arguments) {
  wisteriarill::CallTrace trace(arguments[0]);
  const int code = ReadLogs(arguments, 1, &trace);
  if (code != 0) return code;
  if (trace.empty()) {
    std::cerr
        << "no log line about " << arguments[0]
        << "; calls that succeed at the first attempt within their latency "
           "objective are not logged\n";
    return kExitFault;
  }
  std::cout << trace.Render();
  return 0;
}

int Summarize(const Arguments& arguments) {
  wisteriarill::CallSummary summary;
  const int code = ReadLogs(arguments, 0, &summary);
  if (code == 0) std::cout << summary.Render();
  return code;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "wisteriactl",
      "Checks, packs and explains the configuration of a mesh.\n\n"
      "  check DIR           validate configuration files\n"
      "  pack DIR --out DIR  write a release\n"
      "  diff A B            compare releases or directories\n"
      "  status ADDRESS      show a node's status\n"
      "  explain DIR         explain the routing of a request\n"
      "  trace ID LOG...     show the events of a call\n"
      "  summary LOG...      count failures by cause\n");
  options.positional_help("VERB ARGUMENTS");
  options.add_options()("verb", "command to run",
                        cxxopts::value<std::string>()->default_value(""))(
      "arguments", "arguments of the command",
      cxxopts::value<Arguments>()->default_value({}))(
      "out", "pack: directory to write the release to",
      cxxopts::value<std::string>()->default_value(""))(
      "method", "explain: the request's method",
      cxxopts::value<std::string>()->default_value("GET"))(
      "host", "explain: the request's host",
      cxxopts::value<std::string>()->default_value(""))(
      "path", "explain: the request's path",
      cxxopts::value<std::string>()->default_value("/"))(
      "key-sha256", "explain: SHA-256 of the API key in hexadecimal",
      cxxopts::value<std::string>()->default_value(""));
  options.parse_positional({"verb", "arguments"});
  return options;
}

int RunVerb(const cxxopts::ParseResult& flags) {
  const std::string verb = flags["verb"].as<std::string>();
  const Arguments arguments = flags["arguments"].as<Arguments>();
  if (verb == "trace" && arguments.size() >= 2) return Trace(arguments);
  if (verb == "summary" && !arguments.empty()) return Summarize(arguments);
  const std::size_t expected_arguments = verb == "diff" ? 2 : 1;
  const bool known = verb == "check" || verb == "pack" || verb == "diff" ||
                     verb == "status" || verb == "explain";
  if (!known || arguments.size() != expected_arguments) {
    std::cerr << "unknown verb or wrong number of arguments; see "
                 "wisteriactl --help\n";
    return kExitUsage;
  }
  if (verb == "check") return Check(arguments[0]);
  if (verb == "pack") return Pack(arguments[0], flags["out"].as<std::string>());
  if (verb == "diff") return Diff(arguments[0], arguments[1]);
  if (verb == "status") return ShowStatus(arguments[0]);
  return Explain(arguments[0], flags);
}

}  // namespace

int main(int argc, char** argv) {
  return wisteriarill::RunTool("wisteriactl", MakeOptions(), argc, argv,
                               [](const auto& flags) {
                                 wisteriarill::InitializeToolLog(
                                     "ctl", wisteriarill::LogLevel::kWarning);
                                 return RunVerb(flags);
                               });
}
