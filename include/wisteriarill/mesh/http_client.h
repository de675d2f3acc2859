/// \file
/// HTTP client connections on the event loop: one exchange at a time, kept
/// open between exchanges in a pool.
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

/// One connection. All calls come from its event loop's thread.
class ClientConnection {
 public:
  ClientConnection(asio::io_context* loop, asio::ip::tcp::endpoint remote);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// Connects within `timeout`.
  Task<Status> Connect(nanoseconds timeout);
  /// Sends a head and a body within `timeout`.
  Task<Status> Send(std::string head, const std::string* body,
                    nanoseconds timeout);
  /// Reads the next final answer's head; interim answers are skipped.
  Task<Result<HttpResponseHead>> ReadHead(nanoseconds timeout);
  /// Reads some of the body into `buffer`; zero bytes at its whole end.
  Task<Result<std::size_t>> ReadBody(char* buffer, std::size_t size,
                                     nanoseconds timeout);
  /// Returns whether the answer is complete and another request may follow.
  bool reusable() const;
  /// Returns whether nothing arrived while the connection was idle.
  bool IsOpenAndIdle();
  /// Returns whether any byte of the present answer arrived.
  bool has_response_bytes() const;
  /// Ends whatever runs on the connection.
  void Close();
  /// Lets the system end the connection if the remote end does not answer
  /// probes sent every `interval` of silence.
  void EnableKeepAliveProbes(seconds interval);
  /// Gives back what a long answer needed; only between answers.
  void ReleaseMemory();
  bool closed() const { return closed_; }

  Instant idle_since() const { return idle_since_; }
  void MarkIdle(Instant now) { idle_since_ = now; }
  /// Returns how long the remote end keeps the connection idle; zero: unknown.
  milliseconds keep_alive() const { return keep_alive_; }
  bool has_sent_request() const { return used_; }
  /// Returns when bytes of an answer came last.
  Instant last_read() const { return last_read_; }

 private:
  struct Parts;

  std::unique_ptr<Parts> parts_;
  Instant idle_since_ = kNever;
  Instant last_read_ = kNever;
  milliseconds keep_alive_{0};
  bool closed_ = false;
  bool used_ = false;
};

/// Idle connections to one address.
class ClientConnectionPool {
 public:
  ClientConnectionPool(asio::io_context* loop, asio::ip::tcp::endpoint remote,
             milliseconds most_idle)
      : loop_(loop), remote_(std::move(remote)), most_idle_(most_idle) {}

  /// Returns the idle connection that was used last, or a new one that is not
  /// connected yet.
  std::shared_ptr<ClientConnection> Take(Instant now);
  /// Returns a new connection that is not connected yet.
  std::shared_ptr<ClientConnection> CreateConnection() const;
  /// Takes a connection back; keeps it if it can be used again.
  void Return(std::shared_ptr<ClientConnection> connection, Instant now);
  /// Closes all idle connections.
  void Clear() { idle_.clear(); }

 private:
  bool IsFresh(ClientConnection* connection, Instant now) const;

  asio::io_context* loop_;
  asio::ip::tcp::endpoint remote_;
  milliseconds most_idle_;
  std::vector<std::shared_ptr<ClientConnection>> idle_;
};

/// Parses "IP:port".
Result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_HTTP_CLIENT_H_
