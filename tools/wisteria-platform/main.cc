/// \file
/// wisteria-platform: a stand-in for the platform's configuration service, for
/// tests and benchmarks. `serve` runs it. `publish` uploads a packed release to
/// a running stand-in, chunks first and the manifest last, in the same order as
/// the real platform.
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/URI.h>

#include <iostream>
#include <thread>

#include "tool_main.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"
#include "wisteriarill/standin/http_server.h"
#include "wisteriarill/standin/platform_state.h"
#include "wisteriarill/version/release.h"

namespace {

using wisteriarill::kExitFault;
using wisteriarill::kExitUsage;

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using wisteriarill::LogEvent;
using wisteriarill::LogLevel;

constexpr int kMaxConnections = 512;
constexpr std::string_view kValuesPath = "/v1/values/";
constexpr std::string_view kAdminValuesPath = "/admin/values/";

/// Serves the platform's read API below /v1/values/, and the pages below
/// /admin/ that publish values, set the failure mode and show statistics.
class PlatformRequestHandler {
 public:
  PlatformRequestHandler(std::uint32_t max_reads_per_second,
                         std::chrono::milliseconds latency)
      : state_(max_reads_per_second), latency_(latency) {}

  void Serve(HTTPServerRequest& request, HTTPServerResponse& response) {
    const std::string path = Poco::URI(request.getURI()).getPath();
    if (path.starts_with(kValuesPath)) {
      ServeValue(path.substr(kValuesPath.size()), request, response);
    } else if (path.starts_with(kAdminValuesPath)) {
      state_.Publish(path.substr(kAdminValuesPath.size()),
                     wisteriarill::ReadRequestBody(request));
      wisteriarill::SendText(response, 200, "published\n");
    } else if (path == "/admin/mode") {
      ServeMode(request, response);
    } else if (path == "/admin/stats") {
      ServeStats(response);
    } else {
      wisteriarill::SendText(response, 404, "no such page\n");
    }
  }

 private:
  void ServeValue(const std::string& key, const HTTPServerRequest& request,
                  HTTPServerResponse& response) {
    const auto query = wisteriarill::QueryParameters(request);
    std::this_thread::sleep_for(latency_);
    const wisteriarill::PlatformResponse platform_response =
        state_.Read(key,
                    static_cast<std::uint64_t>(
                        wisteriarill::IntegerParameter(query, "after", 0)),
                    std::chrono::milliseconds(
                        wisteriarill::IntegerParameter(query, "wait_ms", 0)));
    response.set("Platform-Revision",
                 std::to_string(platform_response.revision));
    response.set("Platform-Age-Ms",
                 std::to_string(platform_response.age.count()));
    if (platform_response.status == 204) {
      response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_NO_CONTENT);
      response.setContentLength(0);
      response.send();
      return;
    }
    wisteriarill::SendText(response, platform_response.status,
                           platform_response.bytes, "application/octet-stream");
  }

  void ServeMode(const HTTPServerRequest& request,
                 HTTPServerResponse& response) {
    const auto query = wisteriarill::QueryParameters(request);
    const auto name = query.find("name");
    const auto mode = wisteriarill::ParsePlatformMode(
        name == query.end() ? "" : name->second);
    if (!mode.has_value()) {
      wisteriarill::SendText(response, 400, "unknown mode\n");
      return;
    }
    state_.SetMode(*mode);
    wisteriarill::SendText(response, 200, "set\n");
  }

  void ServeStats(HTTPServerResponse& response) {
    const wisteriarill::PlatformStats stats = state_.stats();
    wisteriarill::SendText(
        response, 200,
        "reads " + std::to_string(stats.reads) + "\nrefused " +
            std::to_string(stats.refused) + "\nmost_in_second " +
            std::to_string(stats.peak_reads_per_second) + "\n");
  }

  wisteriarill::PlatformState state_;
  const std::chrono::milliseconds latency_;
};

int Serve(const cxxopts::ParseResult& flags) {
  wisteriarill::InitializeToolLog("platform", LogLevel::kInfo);
  wisteriarill::BlockStopSignals();
  PlatformRequestHandler request_handler(
      flags["reads-per-second"].as<std::uint32_t>(),
      std::chrono::milliseconds(flags["latency-ms"].as<int>()));
  const auto server = wisteriarill::MakeStandinServer(
      flags["listen"].as<std::string>(), kMaxConnections,
      [&](HTTPServerRequest& request, HTTPServerResponse& response) {
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

// Uploads a value; returns whether the stand-in accepted it.
bool PutValue(Poco::Net::HTTPClientSession& session, const std::string& key,
              const std::string& bytes) {
  Poco::Net::HTTPRequest request("PUT", std::string(kAdminValuesPath) + key,
                                 "HTTP/1.1");
  request.setContentLength64(static_cast<Poco::Int64>(bytes.size()));
  session.sendRequest(request) << bytes;
  Poco::Net::HTTPResponse response;
  std::istream& body = session.receiveResponse(response);
  body.ignore(std::numeric_limits<std::streamsize>::max());
  return response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK;
}

int Publish(const cxxopts::ParseResult& flags) {
  const auto release =
      wisteriarill::ReadRelease(flags["release"].as<std::string>());
  if (!release) {
    std::cerr << release.error().Describe() << "\n";
    return kExitFault;
  }
  try {
    Poco::Net::HTTPClientSession session(
        Poco::Net::SocketAddress(flags["to"].as<std::string>()));
    session.setKeepAlive(true);
    bool succeeded = true;
    for (const auto& [digest, bytes] : release.value().chunks) {
      succeeded =
          succeeded &&
          PutValue(session, "chunks/" + wisteriarill::ToHex(digest), bytes);
    }
    succeeded =
        succeeded && PutValue(session, "manifest", release.value().manifest);
    if (succeeded) return 0;
    std::cerr << "the platform refused a value; read its log\n";
  } catch (const std::exception& error) {
    std::cerr << "cannot publish: " << error.what()
              << "; check the address given with --to\n";
  }
  return kExitFault;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "wisteria-platform",
      "Stand-in for the platform's configuration service.");
  options.positional_help("serve|publish");
  options.add_options()("verb", "serve or publish",
                        cxxopts::value<std::string>()->default_value("serve"))(
      "listen", "IP:port to serve on",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "latency-ms", "duration of each read in milliseconds",
      cxxopts::value<int>()->default_value("2"))(
      "reads-per-second", "rate limit of reads; further reads get status 429",
      cxxopts::value<std::uint32_t>()->default_value("2000"))(
      "to", "publish: IP:port of a running stand-in",
      cxxopts::value<std::string>()->default_value(""))(
      "release", "publish: directory written by wisteriactl pack",
      cxxopts::value<std::string>()->default_value(""));
  options.parse_positional({"verb"});
  return options;
}

int RunVerb(const cxxopts::ParseResult& flags) {
  const std::string verb = flags["verb"].as<std::string>();
  if (verb == "serve") return Serve(flags);
  if (verb == "publish") return Publish(flags);
  std::cerr << "unknown verb " << verb << "; see wisteria-platform --help\n";
  return kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  return wisteriarill::RunTool("wisteria-platform", MakeOptions(), argc, argv,
                               RunVerb);
}
