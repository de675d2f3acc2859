#include "http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>
#include <utility>

namespace wisteriarill::review {
namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kReadBytes = 16384;
constexpr int kHexBase = 16;

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

int MillisUntil(Clock::time_point deadline) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
  return static_cast<int>(std::max<milliseconds::rep>(0, left.count()));
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

void ParseField(const std::string& line, Message* message) {
  const std::size_t colon = line.find(':');
  if (colon == std::string::npos) return;
  std::size_t value = colon + 1;
  while (value < line.size() && line[value] == ' ') ++value;
  message->fields[LowerCase(line.substr(0, colon))] = line.substr(value);
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  Close();
  handle_ = other.Release();
  return *this;
}

void Socket::Close() {
  if (handle_ >= 0) close(handle_);
  handle_ = -1;
}

int Socket::Release() { return std::exchange(handle_, -1); }

void CannotRun(const std::string& reason) {
  std::cerr << "cannot run: " << reason << "\n";
  std::_Exit(kExitCannotRun);
}

Socket TryListen(const Address& address) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.handle(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in at = ToSocketAddress(address);
  const bool bound =
      bind(socket.handle(), reinterpret_cast<const sockaddr*>(&at),
           sizeof at) == 0;
  if (!bound || listen(socket.handle(), kBacklog) != 0) socket.Close();
  return socket;
}

Socket Listen(const Address& address) {
  Socket socket = TryListen(address);
  if (!socket.valid()) CannotRun("cannot listen on " + address.ToString());
  return socket;
}

Socket Connect(const Address& address) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in to = ToSocketAddress(address);
  if (connect(socket.handle(), reinterpret_cast<const sockaddr*>(&to),
              sizeof to) != 0)
    socket.Close();
  return socket;
}

void ServeForever(const Address& address, std::function<void(Socket)> serve) {
  auto listener = std::make_shared<Socket>(Listen(address));
  std::thread([listener, serve = std::move(serve)] {
    for (;;) {
      const int handle =
          accept4(listener->handle(), nullptr, nullptr, SOCK_CLOEXEC);
      if (handle < 0) continue;
      const int on = 1;
      setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([serve, handle] { serve(Socket(handle)); }).detach();
    }
  }).detach();
}

bool SendAll(int handle, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool ClosedWithin(int handle, milliseconds wait) {
  pollfd poller{handle, POLLRDHUP, 0};
  return poll(&poller, 1, static_cast<int>(wait.count())) > 0;
}

std::string Message::Field(const std::string& name) const {
  const auto found = fields.find(LowerCase(name));
  return found == fields.end() ? "" : found->second;
}

int Message::Status() const {
  const std::size_t space = first_line.find(' ');
  if (space == std::string::npos) return 0;
  return std::atoi(first_line.c_str() + space);
}

std::string Message::Method() const {
  return first_line.substr(0, first_line.find(' '));
}

std::string Message::Target() const {
  std::istringstream words(first_line);
  std::string method;
  std::string target;
  words >> method >> target;
  return target;
}

bool MessageReader::Fill(Clock::time_point deadline) {
  pollfd poller{handle_, POLLIN, 0};
  if (poll(&poller, 1, MillisUntil(deadline)) <= 0) return false;
  char bytes[kReadBytes];
  const ssize_t count = recv(handle_, bytes, sizeof bytes, 0);
  if (count <= 0) return false;
  buffer_.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool MessageReader::TakeLine(std::string* line, Clock::time_point deadline) {
  std::size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(deadline)) return false;
    end = buffer_.find("\r\n");
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool MessageReader::TakeBytes(std::size_t count, std::string* bytes,
                              Clock::time_point deadline) {
  while (buffer_.size() < count) {
    if (!Fill(deadline)) return false;
  }
  bytes->append(buffer_, 0, count);
  buffer_.erase(0, count);
  return true;
}

bool MessageReader::ReadChunks(Message* message, Clock::time_point deadline) {
  for (;;) {
    std::string line;
    if (!TakeLine(&line, deadline)) return false;
    const std::size_t size = std::strtoul(line.c_str(), nullptr, kHexBase);
    if (!TakeBytes(size, &message->body, deadline)) return false;
    if (!TakeLine(&line, deadline)) return false;
    if (size == 0) return true;
  }
}

bool MessageReader::ReadBody(Message* message, Clock::time_point deadline) {
  if (message->Field("transfer-encoding") == "chunked")
    return ReadChunks(message, deadline);
  const std::string length = message->Field("content-length");
  if (length.empty()) return true;
  return TakeBytes(std::strtoul(length.c_str(), nullptr, 0), &message->body,
                   deadline);
}

std::optional<Message> MessageReader::Read(Clock::time_point deadline) {
  Message message;
  if (!TakeLine(&message.first_line, deadline)) return std::nullopt;
  for (;;) {
    std::string line;
    if (!TakeLine(&line, deadline)) return std::nullopt;
    if (line.empty()) break;
    ParseField(line, &message);
  }
  message.complete = ReadBody(&message, deadline);
  return message;
}

std::string SerializeResponse(int status, const Fields& fields,
                              const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : fields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace wisteriarill::review
