#include "backend_pages.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "wisteriarill/connection/http_fields.h"
#include "wisteriarill/process/log.h"
#include "wisteriarill/standin/http_server.h"

namespace wisteriarill {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::size_t kBodyChunkSize = 32U << 10;
constexpr nanoseconds kCancelPollInterval = milliseconds(5);

// Returns whether the node closed the connection, which cancels the request.
bool IsCancelled(HTTPServerRequest& request) {
  auto& socket =
      static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
  return socket.poll(0, Poco::Net::Socket::SELECT_READ) &&
         socket.available() == 0;
}

// Sleeps for `work`, or until the request is cancelled.
void SimulateWork(HTTPServerRequest& request, nanoseconds work) {
  const Instant end = BootClock::now() + work;
  while (BootClock::now() < end && !IsCancelled(request)) {
    std::this_thread::sleep_for(
        std::min<nanoseconds>(end - BootClock::now(), kCancelPollInterval));
  }
}

// Returns a body in which every byte depends on its offset and on the request
// ID, so that bytes from the response of another request are detected.
std::string MakeResponseBody(const std::string& id, std::size_t size) {
  std::string body(size, '.');
  for (std::size_t i = 0; i < size && !id.empty(); ++i) {
    body[i] = id[i % id.size()];
  }
  return body;
}

// Shuts the connection down in both directions in the middle of a response.
void ShutDownConnection(HTTPServerRequest& request) {
  auto& socket =
      static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
  socket.shutdown();
}

}  // namespace

BackendRequestHandler::BackendRequestHandler(std::string name,
                                             BackendStateOptions options,
                                             bool log_executions)
    : name_(std::move(name)),
      options_(options),
      log_executions_(log_executions),
      state_(options) {}

void BackendRequestHandler::Serve(HTTPServerRequest& request,
                                  HTTPServerResponse& response) {
  const std::string path = Poco::URI(request.getURI()).getPath();
  const Query query = QueryParameters(request);
  if (ServeAdmin(path, query, response)) return;
  ServeWork(query, request, response);
}

bool BackendRequestHandler::ServeAdmin(const std::string& path,
                                       const Query& query,
                                       HTTPServerResponse& response) {
  if (path == "/admin/stats") {
    SendText(response, 200, StatsText());
  } else if (path == "/admin/log") {
    std::string text;
    for (const Execution& execution : state_.log()) {
      text += execution.request_id + " " + execution.method + " " +
              (execution.workspace.empty() ? "-" : execution.workspace) + " " +
              execution.load_id +
              (execution.has_authorization ? " key" : " clean") + "\n";
    }
    SendText(response, 200, text);
  } else if (path == "/admin/cold") {
    state_.ResetToCold(IntegerParameter(query, "announced", 0) != 0,
                       BootClock::now());
    SendText(response, 200, "cold\n");
  } else if (path == "/admin/drain") {
    state_.SetDraining(IntegerParameter(query, "on", 1) != 0);
    SendText(response, 200, "set\n");
  } else if (path == "/load") {
    SendText(response, 200,
             std::to_string(state_.lagging_load(BootClock::now())) + "\n");
  } else {
    return false;
  }
  return true;
}

std::string BackendRequestHandler::StatsText() const {
  const BackendStats stats = state_.stats();
  return "started " + std::to_string(stats.started) + "\nfinished " +
         std::to_string(stats.finished) + "\nshed " +
         std::to_string(stats.shed) + "\noverloaded " +
         std::to_string(stats.overloaded) + "\ncollapses " +
         std::to_string(stats.collapses) + "\nin_flight " +
         std::to_string(stats.in_flight) + "\nmost_in_flight " +
         std::to_string(stats.max_in_flight) + "\n";
}

void BackendRequestHandler::ServeWork(const Query& query,
                                      HTTPServerRequest& request,
                                      HTTPServerResponse& response) {
  response.set(kBackendInstanceHeader, state_.instance());
  const std::string body = ReadRequestBody(request);
  const Execution execution{
      request.get(kRequestIdHeader, ""), request.getMethod(),
      request.get(kWorkspaceHeader, ""), request.get("Load-Id", "-"),
      request.has("Authorization")};
  const std::int64_t default_work_ms = ToMillis(options_.work);
  const BackendState::StartResult start_result = state_.TryStart(
      execution,
      milliseconds(IntegerParameter(query, "work_ms", default_work_ms)),
      BootClock::now());
  if (!start_result.admitted) {
    response.set(kBackendNotRunHeader, "shed");
    SendText(response, 503, "shed\n");
    return;
  }
  if (log_executions_) {
    LogEvent(LogLevel::kInfo, "executed")
        .With("id", execution.request_id)
        .With("method", execution.method)
        .With("workspace", execution.workspace)
        .With("load_id", execution.load_id)
        .With("key", execution.has_authorization ? "seen" : "none");
  }
  SimulateWork(request, start_result.work);
  try {
    SendResponse(query, request, body, response);
  } catch (const std::exception&) {
    state_.Finish();
    throw;
  }
  state_.Finish();
}

void BackendRequestHandler::SendResponse(const Query& query,
                                         HTTPServerRequest& request,
                                         const std::string& body,
                                         HTTPServerResponse& response) {
  const std::string id = request.get(kRequestIdHeader, "");
  const auto size = static_cast<std::size_t>(
      std::max<std::int64_t>(0, IntegerParameter(query, "bytes", 0)));
  std::string content;
  if (query.count("nested") > 0) {
    content = CallNested(query, request);
  } else if (size > 0) {
    content = MakeResponseBody(id, size);
  } else if (!body.empty()) {
    content = body;
  } else {
    content = name_ + " " + id + "\n";
  }
  response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(
      IntegerParameter(query, "status", 200)));
  if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT) {
    response.send();
    return;
  }
  response.setContentType("application/octet-stream");
  if (IntegerParameter(query, "chunked", 0) != 0) {
    response.setChunkedTransferEncoding(true);
  } else {
    response.setContentLength64(static_cast<Poco::Int64>(content.size()));
  }
  std::ostream& out = response.send();
  if (request.getMethod() == "HEAD") return;
  const std::int64_t max_bytes = IntegerParameter(query, "cut", -1);
  std::size_t sent = 0;
  while (sent < content.size() && out.good()) {
    const std::size_t chunk_size =
        std::min(kBodyChunkSize, content.size() - sent);
    out.write(content.data() + sent, static_cast<std::streamsize>(chunk_size));
    sent += chunk_size;
    if (max_bytes < 0 || sent < static_cast<std::size_t>(max_bytes)) continue;
    out.flush();
    ShutDownConnection(request);
    return;
  }
  out.flush();
}

std::string BackendRequestHandler::CallNested(
    const Query& query, const HTTPServerRequest& request) const {
  Poco::Net::HTTPClientSession session(
      Poco::Net::SocketAddress(query.at("node")));
  Poco::Net::HTTPRequest nested("GET", query.at("nested"), "HTTP/1.1");
  nested.set("Host", request.get("Host", "mesh"));
  nested.set(kParentHeader, request.get(kRequestIdHeader, ""));
  session.sendRequest(nested);
  Poco::Net::HTTPResponse response;
  std::string body;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
  return std::to_string(static_cast<int>(response.getStatus())) + " " +
         response.get(kOutcomeHeader, "") + " " + body;
}

}  // namespace wisteriarill
