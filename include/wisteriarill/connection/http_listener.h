/// \file
/// Accepts HTTP connections and serves each one on a thread of a bounded pool.
/// Poco's TCPServer is not used because of its dispatcher: if two connections
/// arrive while one thread is idle, the second one waits until a kept-alive
/// connection ends, although the pool could start another thread.
#ifndef WISTERIARILL_CONNECTION_HTTP_LISTENER_H_
#define WISTERIARILL_CONNECTION_HTTP_LISTENER_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>
#include <memory>
#include <string>

#include "wisteriarill/process/error.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Settings of an HttpListener.
struct HttpListenerOptions {
  std::string listen;  ///< IP:port. Port 0 selects a free port.
  int threads = 16;    ///< Maximum number of concurrent connections.
  bool keep_alive = true;
  nanoseconds request_timeout = seconds(15);
  nanoseconds keep_alive_timeout = seconds(30);
};

/// An HTTP server that calls a handler for each request.
class HttpListener {
 public:
  /// Serves one request. An exception closes the connection.
  using Handler = std::function<void(Poco::Net::HTTPServerRequest&,
                                     Poco::Net::HTTPServerResponse&)>;

  HttpListener(HttpListenerOptions options, Handler handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  Status Start();
  /// Returns the bound IP:port.
  std::string address() const;
  /// Accepts and serves the connections that are still in the backlog, closes
  /// the listening socket and idle connections, and waits until running
  /// requests end.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_HTTP_LISTENER_H_
