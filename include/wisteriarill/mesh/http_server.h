/// \file
/// HTTP server on the event loop with persistent connections, size and time
/// limits and strict framing. It notifies handlers when a client disconnects
/// while its request runs.
#ifndef WISTERIARILL_MESH_HTTP_SERVER_H_
#define WISTERIARILL_MESH_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "wisteriarill/mesh/async.h"
#include "wisteriarill/mesh/http_message.h"
#include "wisteriarill/mesh/memory_budget.h"
#include "wisteriarill/mesh/mesh_config.h"
#include "wisteriarill/process/error.h"

namespace wisteriarill {

/// Destination of a response. Its coroutines return false once the client has
/// disconnected.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  /// Starts a response. If `head` has no length, the sink frames the body.
  virtual Task<bool> Begin(HttpResponseHead head) = 0;
  virtual Task<bool> Write(std::string_view piece) = 0;
  /// Ends a complete response.
  virtual Task<bool> Finish() = 0;
  /// Closes the connection, so that the client can't take a partial response
  /// for a complete one.
  virtual void AbortResponse() = 0;
};

/// One request on a server connection and its response.
class ServerExchange : public ResponseSink {
 public:
  virtual HttpRequest& request() = 0;
  /// Returns when the complete request was received.
  virtual Instant received() const = 0;
  /// Returns when the head of the request was received.
  virtual Instant head_received() const = 0;
  /// Returns whether the client is known to have disconnected.
  virtual bool client_disconnected() const = 0;
  /// Same, but checks the socket first: the event loop may not have handled the
  /// disconnect yet.
  virtual bool CheckDisconnected() = 0;
  /// Calls `callback` once when the client disconnects; an empty `callback`
  /// removes the previous one.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
  /// Returns whether a response was started.
  virtual bool response_started() const = 0;
  /// Sends an interim response (102), which shows that the request is being
  /// worked on. Does nothing once a response was started. Never blocks.
  virtual void SendInterimResponse() = 0;
  /// Closes the connection after this response.
  virtual void CloseAfterResponse() = 0;

  /// Sends a complete response.
  Task<void> SendResponse(int status, HttpFields fields, std::string body);
};

/// Whether and when the body of a request may be sent.
struct BodyDecision {
  bool admitted = true;
  nanoseconds wait{0};  ///< Time until the body may be sent.
  /// Fields of the 503 response to a request that is not admitted.
  HttpFields refusal_fields;
};

/// Decides about the bodies of requests that announce them with the expectation
/// "100-continue" (RFC 9110, 10.1.1).
class BodyAdmission {
 public:
  virtual ~BodyAdmission() = default;
  /// Decides about a body of `bytes`; `fields` are those of the request.
  virtual BodyDecision AdmitBody(const HttpFields& fields,
                                 std::uint64_t bytes) = 0;
};

/// Handles requests, each in its own coroutine.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual Task<void> Handle(ServerExchange* exchange) = 0;
};

class ServerSession;

/// Listens on one address. All functions are called on the thread of the event
/// loop.
class HttpServer {
 public:
  /// Returns the current limits.
  using LimitsProvider = std::function<CallerLimits()>;

  HttpServer(asio::io_context* loop, RequestHandler* handler,
             LimitsProvider limits);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Refuses requests with 503 whose bodies don't fit into `budget`, which
  /// outlives the server.
  void LimitBodyMemory(MemoryBudget* budget) { body_memory_ = budget; }
  /// Asks `admission`, which outlives the server, before a client that waits
  /// for permission sends a body.
  void SetBodyAdmission(BodyAdmission* admission) {
    body_admission_ = admission;
  }
  /// Starts to listen on "IP:port".
  Status Listen(const std::string& address);
  /// From now on, closes each connection after its response, which announces
  /// it with `Connection: close`.
  void StartDraining() { draining_ = true; }
  /// Accepts the connections that wait and stops listening: closing the
  /// listening socket would reset them.
  void StopListening();
  /// Returns whether a request runs or has arrived and waits to be read.
  bool HasRequests();
  /// Closes the connections on which no request runs.
  void CloseIdle();
  /// Returns the number of running requests.
  std::size_t active() const { return active_; }
  std::size_t connections() const { return sessions_.size(); }
  /// Returns the number of connections accepted since the start.
  std::size_t accepted() const { return accepted_; }
  /// Returns the port that the server listens on.
  std::uint16_t port() const;

 private:
  friend class ServerSession;

  Task<void> AcceptLoop();
  void StartSession(asio::ip::tcp::socket socket);

  asio::io_context* loop_;
  RequestHandler* handler_;
  LimitsProvider limits_;
  asio::ip::tcp::acceptor acceptor_;
  MemoryBudget* body_memory_ = nullptr;
  BodyAdmission* body_admission_ = nullptr;
  std::set<ServerSession*> sessions_;
  std::size_t active_ = 0;
  std::size_t accepted_ = 0;
  bool draining_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_HTTP_SERVER_H_
