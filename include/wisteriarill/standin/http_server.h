/// \file
/// HTTP server functions that the simulated platform and backend server share.
#ifndef WISTERIARILL_STANDIN_HTTP_SERVER_H_
#define WISTERIARILL_STANDIN_HTTP_SERVER_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <map>
#include <memory>
#include <string>

#include "wisteriarill/connection/http_listener.h"

namespace wisteriarill {

/// Returns a listener on address `listen` that serves up to `threads`
/// connections at a time.
std::unique_ptr<HttpListener> MakeStandinServer(const std::string& listen,
                                                int threads,
                                                HttpListener::Handler handler);

/// Returns the query parameters of a request.
std::map<std::string, std::string> QueryParameters(
    const Poco::Net::HTTPServerRequest& request);

/// Returns the value of query parameter `key`, or `fallback` if it is missing
/// or not an integer.
std::int64_t IntegerParameter(const std::map<std::string, std::string>& query,
                              const std::string& key, std::int64_t fallback);

/// Sends a response with body `text` and content type `type`.
void SendText(Poco::Net::HTTPServerResponse& response, int status,
              const std::string& text, const std::string& type = "text/plain");

/// Reads the whole body of a request.
std::string ReadRequestBody(Poco::Net::HTTPServerRequest& request);

/// Blocks SIGTERM and SIGINT in this thread and those it starts, so that only
/// WaitForStopSignal receives them, and ignores SIGPIPE. Must be called before
/// any thread is started.
void BlockStopSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_HTTP_SERVER_H_
