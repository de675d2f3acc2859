/// \file
/// A small HTTP server for the stand-ins: one function serves all requests.
#ifndef WISTERIARILL_STANDIN_HTTP_SERVER_H_
#define WISTERIARILL_STANDIN_HTTP_SERVER_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "wisteriarill/process/error.h"

namespace wisteriarill {

class StandinServer {
 public:
  using Handler = std::function<void(Poco::Net::HTTPServerRequest&,
                                     Poco::Net::HTTPServerResponse&)>;

  /// Serves up to `threads` connections at once.
  StandinServer(std::string listen, int threads, Handler handler);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  Status Start();
  std::string address() const;
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Returns the query parameters of a request.
std::map<std::string, std::string> QueryOf(
    const Poco::Net::HTTPServerRequest& request);

/// Returns a whole-number parameter, or `fallback`.
std::int64_t NumberOf(const std::map<std::string, std::string>& query,
                      const std::string& key, std::int64_t fallback);

/// Sends a short answer.
void SendText(Poco::Net::HTTPServerResponse& response, int status,
              const std::string& text, const std::string& type = "text/plain");

/// Reads a request's whole body.
std::string ReadBodyOf(Poco::Net::HTTPServerRequest& request);

/// Blocks until SIGTERM or SIGINT. Call BlockStopSignals before any thread
/// starts.
void BlockStopSignals();
void WaitForStopSignal();

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_HTTP_SERVER_H_
