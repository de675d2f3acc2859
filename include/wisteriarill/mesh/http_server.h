/// \file
/// HTTP server on the event loop: kept connections, limits, strict framing,
/// and word of a caller that leaves while its request runs.
#ifndef WISTERIARILL_MESH_HTTP_SERVER_H_
#define WISTERIARILL_MESH_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "wisteriarill/mesh/async.h"
#include "wisteriarill/mesh/http_message.h"
#include "wisteriarill/mesh/mesh_config.h"
#include "wisteriarill/process/error.h"

namespace wisteriarill {

/// Where an answer goes. Functions return false once the reader is gone.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  /// Starts an answer; without a length its end is framed by the sink.
  virtual Task<bool> Begin(HttpResponseHead head) = 0;
  virtual Task<bool> Write(std::string_view piece) = 0;
  /// Ends a whole answer.
  virtual Task<bool> Finish() = 0;
  /// Breaks the answer off, so that it can't be taken for a whole one.
  virtual void AbortResponse() = 0;
};

/// One request on a server connection, until its answer ended.
class ServerExchange : public ResponseSink {
 public:
  virtual HttpRequest& request() = 0;
  virtual Instant received() const = 0;
  /// Returns whether the reader of the answer left.
  virtual bool client_disconnected() const = 0;
  /// Looks at the connection itself: the loop may not have seen its end yet.
  virtual bool CheckDisconnected() = 0;
  /// Calls `callback` once when the reader leaves; empty: nobody.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
  /// Returns whether an answer was begun.
  virtual bool response_started() const = 0;
  /// Makes this the connection's last answer.
  virtual void CloseAfter() = 0;

  /// Sends a whole answer.
  Task<void> SendResponse(int status, HttpFields fields, std::string body);
};

/// Serves requests, one coroutine each.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual Task<void> Handle(ServerExchange* exchange) = 0;
};

class ServerSession;

/// Listens on one address. All calls come from the event loop's thread.
class HttpServer {
 public:
  /// Returns the limits in force at the moment of the call.
  using LimitSource = std::function<CallerLimits()>;

  HttpServer(asio::io_context* loop, RequestHandler* handler,
             LimitSource limits);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Starts to listen on "IP:port".
  Status Listen(const std::string& address);
  /// Announces on every answer from now on that its connection closes.
  void StartDraining() { draining_ = true; }
  /// Closes connections on which no request runs.
  void CloseIdle();
  /// Returns how many requests run.
  std::size_t active() const { return active_; }
  std::size_t connections() const { return sessions_.size(); }
  /// Returns how many connections were taken since the start.
  std::size_t accepted() const { return accepted_; }
  /// Returns the port that it listens on.
  std::uint16_t port() const;

 private:
  friend class ServerSession;

  Task<void> AcceptLoop();

  asio::io_context* loop_;
  RequestHandler* handler_;
  LimitSource limits_;
  asio::ip::tcp::acceptor acceptor_;
  std::set<ServerSession*> sessions_;
  std::size_t active_ = 0;
  std::size_t accepted_ = 0;
  bool draining_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_HTTP_SERVER_H_
