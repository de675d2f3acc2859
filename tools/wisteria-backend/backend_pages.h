/// \file
/// HTTP request handling of the backend server stand-in.
#ifndef WISTERIARILL_TOOLS_WISTERIA_BACKEND_BACKEND_PAGES_H_
#define WISTERIARILL_TOOLS_WISTERIA_BACKEND_BACKEND_PAGES_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <map>
#include <mutex>
#include <string>

#include "wisteriarill/standin/backend_state.h"

namespace wisteriarill {

/// Serves the requests that a backend server stand-in receives: the control and
/// statistics pages below /admin/, the load report at /load, and simulated work
/// on every other path. Query parameters of a work request set the response:
///   work_ms  duration of the request in milliseconds
///   bytes    size of the response body
///   chunked  if not 0, use the chunked transfer coding
///   cut      close the connection after this many body bytes, rounded up to
///            whole 32 KiB writes
///   status   HTTP status code
///   nested   path of a nested call whose response becomes the body
///   node     IP:port of the node that receives the nested call
class BackendRequestHandler {
 public:
  /// If `log_executions` is set, writes a log line for each request before it
  /// runs, so that the record survives if the process is killed.
  BackendRequestHandler(std::string name, BackendStateOptions options,
                        bool log_executions);

  void Serve(Poco::Net::HTTPServerRequest& request,
             Poco::Net::HTTPServerResponse& response);

 private:
  using Query = std::map<std::string, std::string>;

  bool ServeAdmin(const std::string& path, const Query& query,
                  Poco::Net::HTTPServerResponse& response);
  void ServeWork(const Query& query, Poco::Net::HTTPServerRequest& request,
                 Poco::Net::HTTPServerResponse& response);
  void SendResponse(const Query& query, Poco::Net::HTTPServerRequest& request,
                    const std::string& body,
                    Poco::Net::HTTPServerResponse& response);
  std::string CallNested(const Query& query,
                         const Poco::Net::HTTPServerRequest& request) const;
  std::string StatsText() const;

  const std::string name_;
  const BackendStateOptions options_;
  const bool log_executions_;
  BackendState state_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_WISTERIA_BACKEND_BACKEND_PAGES_H_
