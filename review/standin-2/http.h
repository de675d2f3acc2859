/// \file
/// Blocking HTTP/1.1 over loopback sockets, for stand-ins and callers.
#ifndef WISTERIARILL_REVIEW_STANDIN_2_HTTP_H_
#define WISTERIARILL_REVIEW_STANDIN_2_HTTP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "record.h"

namespace wisteriarill::review {

struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

/// A socket that is closed with its owner.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int handle) : handle_(handle) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : handle_(other.Release()) {}
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int handle() const { return handle_; }
  bool valid() const { return handle_ >= 0; }
  void Close();
  int Release();

 private:
  int handle_ = -1;
};

/// Returns a listening socket, or an invalid one if the address is taken.
Socket TryListen(const Address& address);
/// Returns a listening socket; ends the process with kExitCannotRun if the
/// address is taken.
Socket Listen(const Address& address);
Socket Connect(const Address& address);
/// Accepts connections for ever and serves each on a thread of its own.
void ServeForever(const Address& address, std::function<void(Socket)> serve);
bool SendAll(int handle, const std::string& bytes);
/// Returns whether the other end has closed the connection within `wait`.
bool ClosedWithin(int handle, milliseconds wait);

/// The exit code of a trial that could not run.
inline constexpr int kExitCannotRun = 2;
[[noreturn]] void CannotRun(const std::string& reason);

/// Header fields by lower-case name.
using Fields = std::map<std::string, std::string>;

/// A request or a response.
struct Message {
  std::string first_line;
  Fields fields;
  std::string body;
  bool complete = false;  ///< The whole body has arrived.

  std::string Field(const std::string& name) const;
  /// Status of a response, or zero.
  int Status() const;
  /// Method and target of a request.
  std::string Method() const;
  std::string Target() const;
};

/// Reads messages of one connection.
class MessageReader {
 public:
  explicit MessageReader(int handle) : handle_(handle) {}
  /// Returns nothing if the connection ends, or `deadline` passes, before a
  /// whole head.
  std::optional<Message> Read(Clock::time_point deadline);

 private:
  bool Fill(Clock::time_point deadline);
  bool ReadBody(Message* message, Clock::time_point deadline);
  bool ReadChunks(Message* message, Clock::time_point deadline);
  bool TakeBytes(std::size_t count, std::string* bytes,
                 Clock::time_point deadline);
  bool TakeLine(std::string* line, Clock::time_point deadline);

  int handle_;
  std::string buffer_;
};

std::string SerializeResponse(int status, const Fields& fields,
                              const std::string& body);

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_2_HTTP_H_
