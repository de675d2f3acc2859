/// \file
/// One HTTP request of a test or an experiment.
#ifndef WISTERIARILL_STANDIN_HTTP_CALL_H_
#define WISTERIARILL_STANDIN_HTTP_CALL_H_

#include <map>
#include <memory>
#include <string>

#include "wisteriarill/process/time.h"

// NOLINTBEGIN(readability-identifier-naming): Poco's own names.
namespace Poco::Net {
class HTTPClientSession;
}  // namespace Poco::Net
// NOLINTEND(readability-identifier-naming)

namespace wisteriarill {

struct HttpCall {
  std::string method = "GET";
  std::string path = "/";
  std::string host = "mesh";
  std::string key;  ///< Sent as a bearer key, if not empty.
  std::string body;
  std::map<std::string, std::string> headers;
};

struct HttpCallResult {
  int status = 0;  ///< 0: no whole answer came.
  std::string body;
  std::string outcome;
  std::string request_id;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string failure;                         ///< Why status is 0.
};

/// A kept connection to one address. One thread.
class HttpConnection {
 public:
  HttpConnection(const std::string& address, nanoseconds timeout);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sends a request and reads the whole answer.
  HttpCallResult Call(const HttpCall& call);

 private:
  HttpCallResult CallOnce(const HttpCall& call);

  std::unique_ptr<Poco::Net::HTTPClientSession> session_;
};

/// Gets `path` from `address` over a new connection; empty if that fails.
std::string HttpGet(const std::string& address, const std::string& path);

/// Puts `body`; returns whether the answer was 200.
bool HttpPut(const std::string& address, const std::string& path,
             const std::string& body);

/// Returns the number behind "name " in lines of text, 0 if there is none.
double FindMetric(const std::string& text, const std::string& name);

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_HTTP_CALL_H_
