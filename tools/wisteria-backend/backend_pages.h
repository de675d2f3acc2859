/// \file
/// What the backend stand-in answers. Query parameters shape an answer:
/// work_ms, bytes, chunked, cut (break off after so many bytes), status,
/// nested (a path called through the own node), node (its IP:port).
#ifndef WISTERIARILL_TOOLS_WISTERIA_BACKEND_BACKEND_PAGES_H_
#define WISTERIARILL_TOOLS_WISTERIA_BACKEND_BACKEND_PAGES_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <map>
#include <mutex>
#include <string>

#include "wisteriarill/standin/backend_state.h"

namespace wisteriarill {

class BackendPages {
 public:
  /// `log_executions` writes a line for each request before it runs, so that
  /// the log outlives the process.
  BackendPages(std::string name, BackendStateOptions options,
               bool log_executions);

  void Serve(Poco::Net::HTTPServerRequest& request,
             Poco::Net::HTTPServerResponse& response);

 private:
  using Query = std::map<std::string, std::string>;

  bool ServeAdmin(const std::string& path, const Query& query,
                  Poco::Net::HTTPServerResponse& response);
  void ServeWork(const Query& query, Poco::Net::HTTPServerRequest& request,
                 Poco::Net::HTTPServerResponse& response);
  void Answer(const Query& query, Poco::Net::HTTPServerRequest& request,
              const std::string& body, Poco::Net::HTTPServerResponse& response);
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
