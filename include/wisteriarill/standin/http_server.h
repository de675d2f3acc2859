/// \file
/// HTTP helpers of the stand-ins.
#ifndef WISTERIARILL_STANDIN_HTTP_SERVER_H_
#define WISTERIARILL_STANDIN_HTTP_SERVER_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <map>
#include <memory>
#include <string>

#include "wisteriarill/connection/http_listener.h"

namespace wisteriarill {

/// Returns a listener for a stand-in, for up to `threads` connections.
std::unique_ptr<HttpListener> MakeStandinServer(const std::string& listen,
                                                int threads,
                                                HttpListener::Handler handler);

/// Returns the query parameters of a request.
std::map<std::string, std::string> QueryParameters(
    const Poco::Net::HTTPServerRequest& request);

/// Returns a whole-number parameter, or `fallback`.
std::int64_t IntegerParameter(const std::map<std::string, std::string>& query,
                              const std::string& key, std::int64_t fallback);

/// Sends a short answer.
void SendText(Poco::Net::HTTPServerResponse& response, int status,
              const std::string& text, const std::string& type = "text/plain");

/// Reads a request's whole body.
std::string ReadRequestBody(Poco::Net::HTTPServerRequest& request);

/// Blocks until SIGTERM or SIGINT. Call BlockStopSignals before any thread
/// starts.
void BlockStopSignals();
void WaitForStopSignal();

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_HTTP_SERVER_H_
