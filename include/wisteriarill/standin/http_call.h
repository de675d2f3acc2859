/// \file
/// An HTTP client for tests and experiments.
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

/// A request to send.
struct HttpCall {
  std::string method = "GET";
  std::string path = "/";
  std::string host = "mesh";
  std::string key;  ///< Sent as a bearer token, unless empty.
  std::string body;
  std::map<std::string, std::string> headers;
};

/// The response to an HttpCall, or the reason why there is none.
struct HttpCallResult {
  int status = 0;  ///< 0 if no complete response was received.
  std::string body;
  std::string outcome;     ///< Value of the Wisteria-Outcome field.
  std::string request_id;  ///< Value of the Wisteria-Request-Id field.
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string failure;                         ///< Why the status is 0.
};

/// A keep-alive connection to one address, for use by one thread.
class HttpConnection {
 public:
  HttpConnection(const std::string& address, nanoseconds timeout);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sends a request and reads the whole response. A failure of the connection
  /// is reported as status 0.
  HttpCallResult Call(const HttpCall& call);

 private:
  HttpCallResult CallOnce(const HttpCall& call);

  std::unique_ptr<Poco::Net::HTTPClientSession> session_;
};

/// Sends a GET for `path` to `address` over a new connection. Returns the
/// response body if the status is 200, an empty string otherwise.
std::string HttpGet(const std::string& address, const std::string& path);

/// Sends a PUT of `body` over a new connection; returns whether the status is
/// 200.
bool HttpPut(const std::string& address, const std::string& path,
             const std::string& body);

/// Returns the number of the first line of `text` of the form "name number"; 0
/// if there is none.
double FindMetric(const std::string& text, const std::string& name);

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_HTTP_CALL_H_
