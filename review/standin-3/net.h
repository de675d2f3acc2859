/// \file
/// Blocking TCP sockets and HTTP/1.1 messages for the stand-ins.
#ifndef WISTERIARILL_REVIEW_STANDIN_3_NET_H_
#define WISTERIARILL_REVIEW_STANDIN_3_NET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wisteriarill::review {

using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using std::chrono::milliseconds;

/// A loopback address and a port.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

/// Parses "IP:port".
Endpoint ParseEndpoint(const std::string& text);

/// Owns a file descriptor of a TCP socket.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int handle) : handle_(handle) {}
  Socket(Socket&& other) noexcept : handle_(std::exchange(other.handle_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { Close(); }

  bool is_open() const { return handle_ >= 0; }
  int handle() const { return handle_; }
  void Close();
  /// Wakes a thread that is blocked on the socket.
  void Shutdown() const;
  /// Limits how long a read may block; zero means without limit.
  void SetReadTimeout(milliseconds timeout) const;

 private:
  int handle_ = -1;
};

/// Listens on `endpoint`. The result isn't open if the address is taken.
Socket Listen(const Endpoint& endpoint);
/// Connects to `endpoint`. The result isn't open if that fails.
Socket Connect(const Endpoint& endpoint);
/// Waits for the next connection.
Socket Accept(const Socket& listener);
bool SendAll(const Socket& socket, const std::string& bytes);
/// Returns the first port, from `first` on, that is free at all of `ips`.
std::uint16_t FindFreePort(const std::vector<std::string>& ips,
                           std::uint16_t first);

/// Compares header field names.
struct FieldNameLess {
  bool operator()(const std::string& a, const std::string& b) const;
};
using Fields = std::map<std::string, std::string, FieldNameLess>;

/// A request or a response.
struct HttpMessage {
  std::string start_line;
  Fields fields;
  std::string body;

  /// Returns the value of a header field, or an empty string.
  std::string Field(const std::string& name) const;
  /// Returns the status of a response, or zero.
  int Status() const;
  /// Returns the request target of a request.
  std::string Target() const;
};

/// Reads messages from one connection.
class HttpReader {
 public:
  explicit HttpReader(const Socket* socket) : socket_(socket) {}

  /// Reads the next message with a final status. Returns nothing if the
  /// connection ends, or if the read timeout expires.
  std::optional<HttpMessage> Read();
  /// Returns whether the last Read failed after some bytes of a message.
  bool has_partial_message() const { return partial_; }

 private:
  bool Fill();
  bool ReadLine(std::string* line);
  bool ReadBytes(std::size_t count, std::string* bytes);
  bool ReadHead(HttpMessage* message);
  bool ReadBody(HttpMessage* message);
  bool ReadChunks(std::string* body);

  const Socket* socket_;
  std::string buffer_;
  bool partial_ = false;
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_3_NET_H_
