/// \file
/// Accepts HTTP connections and serves each on a thread of a bounded pool.
/// Poco's TCPServer is not used: its dispatcher leaves a connection waiting
/// behind kept ones when two arrive while one thread is idle.
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

struct HttpListenerOptions {
  std::string listen;  ///< IP:port; port 0 picks a free one.
  int threads = 16;    ///< Connections served at once.
  bool keep_alive = true;
  nanoseconds request_timeout = seconds(15);
  nanoseconds keep_alive_timeout = seconds(30);
};

class HttpListener {
 public:
  /// Serves one request; an exception ends its connection.
  using Handler = std::function<void(Poco::Net::HTTPServerRequest&,
                                     Poco::Net::HTTPServerResponse&)>;

  HttpListener(HttpListenerOptions options, Handler handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  Status Start();
  /// Returns the bound IP:port.
  std::string address() const;
  /// Takes and serves what waits to be accepted, then closes the listening
  /// socket and idle connections, and waits for requests that run.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_HTTP_LISTENER_H_
