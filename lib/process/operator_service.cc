#include "wisteriarill/process/operator_service.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include <map>
#include <utility>

namespace wisteriarill {
namespace {

using Poco::Net::HTTPResponse;

constexpr int kOperatorThreads = 4;

void Send(Poco::Net::HTTPServerResponse& response, const std::string& type,
          const std::string& body) {
  response.setReason(HTTPResponse::getReasonForStatus(response.getStatus()));
  response.setContentType(type);
  response.sendBuffer(body.data(), body.size());
}

void SendExplanation(const OperatorPages& pages, const Poco::URI& uri,
                     Poco::Net::HTTPServerResponse& response) {
  std::map<std::string, std::string> query;
  for (const auto& [key, value] : uri.getQueryParameters()) {
    query[key] = value;
  }
  Send(response, "application/json",
       pages.explain(query["method"], query["host"], query["path"]));
}

void ServePage(const OperatorPages& pages,
               Poco::Net::HTTPServerRequest& request,
               Poco::Net::HTTPServerResponse& response) {
  const Poco::URI uri(request.getURI());
  const std::string& path = uri.getPath();
  if (path == "/status") {
    Send(response, "application/json", pages.status());
  } else if (path == "/metrics") {
    Send(response, "text/plain", pages.metrics());
  } else if (path == "/healthz") {
    Send(response, "text/plain", "ok\n");
  } else if (path == "/readyz") {
    const bool ready = pages.ready();
    if (!ready) response.setStatus(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    Send(response, "text/plain", ready ? "ready\n" : "not ready\n");
  } else if (path == "/explain") {
    SendExplanation(pages, uri, response);
  } else {
    response.setStatus(HTTPResponse::HTTP_NOT_FOUND);
    Send(response, "text/plain",
         "see /status, /metrics, /healthz, /readyz or /explain\n");
  }
}

}  // namespace

std::unique_ptr<HttpListener> MakeOperatorService(const std::string& listen,
                                                  OperatorPages pages) {
  HttpListenerOptions options;
  options.listen = listen;
  options.threads = kOperatorThreads;
  options.keep_alive = false;
  return std::make_unique<HttpListener>(
      options,
      [pages = std::move(pages)](Poco::Net::HTTPServerRequest& request,
                                 Poco::Net::HTTPServerResponse& response) {
        ServePage(pages, request, response);
      });
}

}  // namespace wisteriarill
