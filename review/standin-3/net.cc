#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdlib>

namespace wisteriarill::review {
namespace {

constexpr int kListenBacklog = 512;
constexpr std::size_t kReadSize = 64U << 10;
constexpr std::uint16_t kLastPort = 60000;
constexpr int kFirstFinalStatus = 200;

sockaddr_in MakeAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

void SetNoDelay(const Socket& socket) {
  const int on = 1;
  setsockopt(socket.handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool IsFree(const Endpoint& endpoint, int type) {
  const Socket socket(::socket(AF_INET, type | SOCK_CLOEXEC, 0));
  const sockaddr_in address = MakeAddress(endpoint);
  return bind(socket.handle(), reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0;
}

std::string Trim(const std::string& text) {
  const std::size_t first = text.find_first_not_of(' ');
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

}  // namespace

Endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const int port = std::atoi(text.c_str() + colon + 1);
  return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    handle_ = std::exchange(other.handle_, -1);
  }
  return *this;
}

void Socket::Close() {
  if (handle_ >= 0) close(handle_);
  handle_ = -1;
}

void Socket::Shutdown() const { shutdown(handle_, SHUT_RDWR); }

void Socket::SetReadTimeout(milliseconds timeout) const {
  timeval value{};
  value.tv_sec = timeout.count() / 1000;
  value.tv_usec = timeout.count() % 1000 * 1000;
  setsockopt(handle_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

Socket Listen(const Endpoint& endpoint) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.handle(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = MakeAddress(endpoint);
  const bool listening =
      bind(socket.handle(), reinterpret_cast<const sockaddr*>(&address),
           sizeof address) == 0 &&
      listen(socket.handle(), kListenBacklog) == 0;
  if (!listening) socket.Close();
  return socket;
}

Socket Connect(const Endpoint& endpoint) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = MakeAddress(endpoint);
  const int result =
      connect(socket.handle(), reinterpret_cast<const sockaddr*>(&address),
              sizeof address);
  if (result != 0) {
    socket.Close();
  } else {
    SetNoDelay(socket);
  }
  return socket;
}

Socket Accept(const Socket& listener) {
  Socket socket(accept4(listener.handle(), nullptr, nullptr, SOCK_CLOEXEC));
  if (socket.is_open()) SetNoDelay(socket);
  return socket;
}

bool SendAll(const Socket& socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(socket.handle(), bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::uint16_t FindFreePort(const std::vector<std::string>& ips,
                           std::uint16_t first) {
  for (std::uint16_t port = first; port < kLastPort; ++port) {
    bool is_free = true;
    for (const std::string& ip : ips) {
      is_free = is_free && IsFree({ip, port}, SOCK_STREAM) &&
                IsFree({ip, port}, SOCK_DGRAM);
    }
    if (is_free) return port;
  }
  return 0;
}

bool FieldNameLess::operator()(const std::string& a,
                               const std::string& b) const {
  return strcasecmp(a.c_str(), b.c_str()) < 0;
}

std::string HttpMessage::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

int HttpMessage::Status() const {
  if (!start_line.starts_with("HTTP/")) return 0;
  return std::atoi(start_line.c_str() + start_line.find(' '));
}

std::string HttpMessage::Target() const {
  const std::size_t begin = start_line.find(' ') + 1;
  return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

bool HttpReader::Fill() {
  char bytes[kReadSize];
  const ssize_t count = recv(socket_->handle(), bytes, sizeof bytes, 0);
  if (count <= 0) return false;
  buffer_.append(bytes, static_cast<std::size_t>(count));
  partial_ = true;
  return true;
}

bool HttpReader::ReadLine(std::string* line) {
  std::size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill()) return false;
    end = buffer_.find("\r\n");
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool HttpReader::ReadBytes(std::size_t count, std::string* bytes) {
  while (buffer_.size() < count) {
    if (!Fill()) return false;
  }
  bytes->append(buffer_, 0, count);
  buffer_.erase(0, count);
  return true;
}

bool HttpReader::ReadHead(HttpMessage* message) {
  if (!ReadLine(&message->start_line)) return false;
  std::string line;
  while (ReadLine(&line)) {
    if (line.empty()) return true;
    const std::size_t colon = line.find(':');
    message->fields[line.substr(0, colon)] = Trim(line.substr(colon + 1));
  }
  return false;
}

bool HttpReader::ReadChunks(std::string* body) {
  for (;;) {
    std::string line;
    if (!ReadLine(&line)) return false;
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (!ReadBytes(size, body) || !ReadLine(&line)) return false;
    if (size == 0) return true;
  }
}

bool HttpReader::ReadBody(HttpMessage* message) {
  if (message->Field("Transfer-Encoding") == "chunked") {
    return ReadChunks(&message->body);
  }
  const std::string length = message->Field("Content-Length");
  return ReadBytes(std::strtoul(length.c_str(), nullptr, 10), &message->body);
}

std::optional<HttpMessage> HttpReader::Read() {
  for (;;) {
    partial_ = !buffer_.empty();
    HttpMessage message;
    if (!ReadHead(&message) || !ReadBody(&message)) return std::nullopt;
    const int status = message.Status();
    const bool is_interim = status > 0 && status < kFirstFinalStatus;
    if (!is_interim) return message;
  }
}

}  // namespace wisteriarill::review
