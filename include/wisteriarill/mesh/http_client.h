/// \file
/// HTTP client connections on the event loop. A connection runs one exchange
/// at a time; a pool keeps connections open between exchanges.
#ifndef WISTERIARILL_MESH_HTTP_CLIENT_H_
#define WISTERIARILL_MESH_HTTP_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "wisteriarill/mesh/async.h"
#include "wisteriarill/mesh/http_message.h"
#include "wisteriarill/process/error.h"

namespace wisteriarill {

/// One connection to an HTTP server. All functions are called on the thread of
/// its event loop.
class ClientConnection {
 public:
  /// Maximum number of interim responses of a server that is not trusted.
  static constexpr int kMaxInterimResponses = 16;

  ClientConnection(asio::io_context* loop, asio::ip::tcp::endpoint remote);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// Connects within `timeout`.
  Task<Status> Connect(nanoseconds timeout);
  /// Sends a request's head and body within `timeout`. They may also be sent by
  /// two calls, with an empty body and an empty head.
  Task<Status> Send(std::string head, const std::string* body,
                    nanoseconds timeout);
  /// Reads the head of the next response that is final or permits to send the
  /// body (100).
  Task<Result<HttpResponseHead>> ReadPermission(nanoseconds timeout);
  /// Reads the head of the next final response; skips interim (1xx) responses,
  /// and fails if there are more than `max_interim_responses`.
  Task<Result<HttpResponseHead>> ReadHead(
      nanoseconds timeout, int max_interim_responses = kMaxInterimResponses);
  /// Reads some of the body into `buffer`. Returns the number of bytes, zero at
  /// the complete end of the body.
  Task<Result<std::size_t>> ReadBody(char* buffer, std::size_t size,
                                     nanoseconds timeout);
  /// Returns whether the response is complete and another request may be sent.
  bool reusable() const;
  /// Returns whether the socket is open and no byte arrived while it was idle.
  bool IsOpenAndIdle();
  /// Returns whether any byte of the current response has arrived.
  bool has_response_bytes() const;
  /// Closes the connection; pending operations fail.
  void Close();
  /// Enables TCP keep-alive: the operating system ends the connection if the
  /// remote end doesn't answer probes, which are sent after `interval` without
  /// data and every `interval` from then on.
  void EnableKeepAliveProbes(seconds interval);
  /// Frees the buffer that a long response needed. Call only between responses.
  void ReleaseMemory();
  bool closed() const { return closed_; }

  Instant idle_since() const { return idle_since_; }
  void MarkIdle(Instant now) { idle_since_ = now; }
  /// Returns how long the remote end keeps an idle connection open; zero if
  /// unknown.
  milliseconds keep_alive() const { return keep_alive_; }
  bool has_sent_request() const { return has_sent_request_; }
  /// Returns when bytes of a response were last received.
  Instant last_read() const { return last_read_; }

 private:
  struct Impl;

  /// Reads heads until one is final, or permits to send the body if
  /// `stop_at_continue`.
  Task<Result<HttpResponseHead>> ReadHeadUntil(nanoseconds timeout,
                                               int max_interim_responses,
                                               bool stop_at_continue);

  std::unique_ptr<Impl> impl_;
  Instant idle_since_ = kNever;
  Instant last_read_ = kNever;
  milliseconds keep_alive_{0};
  bool closed_ = false;
  bool has_sent_request_ = false;
};

/// Pool of idle connections to one address.
class ClientConnectionPool {
 public:
  ClientConnectionPool(asio::io_context* loop, asio::ip::tcp::endpoint remote,
                       milliseconds max_idle_time)
      : loop_(loop),
        remote_(std::move(remote)),
        max_idle_time_(max_idle_time) {}

  /// Returns the most recently used idle connection, or a new one that is not
  /// connected yet.
  std::shared_ptr<ClientConnection> Take(Instant now);
  /// Returns a new connection that is not connected yet.
  std::shared_ptr<ClientConnection> CreateConnection() const;
  /// Puts a connection back into the pool if it can be reused.
  void Return(std::shared_ptr<ClientConnection> connection, Instant now);
  /// Closes all idle connections.
  void Clear() { idle_.clear(); }

 private:
  bool IsUsable(ClientConnection* connection, Instant now) const;

  asio::io_context* loop_;
  asio::ip::tcp::endpoint remote_;
  milliseconds max_idle_time_;
  std::vector<std::shared_ptr<ClientConnection>> idle_;
};

/// Parses "IP:port".
Result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_HTTP_CLIENT_H_
