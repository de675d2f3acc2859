#include "wisteriarill/mesh/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>
#include <optional>

namespace wisteriarill {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Parser = http::response_parser<http::buffer_body>;

/// Largest answer head that is read.
constexpr std::uint32_t kMaxAnswerHead = 64U << 10;
/// A body longer than this is read in pieces of kBulkRead, so that a byte of it
/// costs few system calls; Beast would read as little as 512 bytes at once.
constexpr std::uint64_t kBulkBody = 8U << 10;
constexpr std::size_t kBulkRead = 64U << 10;
/// Unacknowledged data for this long ends a connection.
constexpr milliseconds kUserTimeout{2000};
/// Taken off what the remote end announces as its idle time.
constexpr milliseconds kIdleMargin{1000};
/// Probes without an answer after which a silent connection ends.
constexpr int kMostProbes = 2;
constexpr int kFirstFinalStatus = 200;

Error Broken(const std::string& what, const error_code& error) {
  const bool late = error == beast::error::timeout;
  return MakeError(late ? ErrorKind::kTimeout : ErrorKind::kBroken,
                   what + ": " + error.message(),
                   "see whether the remote end runs and is reachable");
}

void SetTcpOptions(asio::ip::tcp::socket* socket) {
  error_code ignored;  // Options only tune; a failure shows on use.
  socket->set_option(asio::ip::tcp::no_delay(true), ignored);
  const unsigned timeout = kUserTimeout.count();
  setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
             sizeof timeout);
}

// Reads "timeout=N" of a Keep-Alive field.
milliseconds ParseKeepAlive(const HttpFields& fields) {
  const std::string* value = FindField(fields, "Keep-Alive");
  if (value == nullptr) return milliseconds(0);
  const std::size_t at = value->find("timeout=");
  if (at == std::string::npos) return milliseconds(0);
  std::string_view digits = std::string_view(*value).substr(at + 8);
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  return seconds(ParseDecimal(digits).value_or(0));
}

}  // namespace

struct ClientConnection::Parts {
  Parts(asio::io_context* loop, asio::ip::tcp::endpoint endpoint)
      : stream(*loop), remote(std::move(endpoint)) {}

  beast::tcp_stream stream;
  asio::ip::tcp::endpoint remote;
  beast::flat_buffer buffer;
  std::optional<Parser> parser;
};

ClientConnection::ClientConnection(asio::io_context* loop,
                                   asio::ip::tcp::endpoint remote)
    : parts_(std::make_unique<Parts>(loop, std::move(remote))) {}

ClientConnection::~ClientConnection() = default;

Task<Status> ClientConnection::Connect(nanoseconds timeout) {
  error_code error;
  parts_->stream.expires_after(timeout);
  co_await parts_->stream.async_connect(
      parts_->remote, asio::redirect_error(asio::use_awaitable, error));
  if (!error && closed_) error = asio::error::operation_aborted;
  if (error) {
    Close();
    co_return Broken("no connection", error);
  }
  SetTcpOptions(&parts_->stream.socket());
  co_return OkStatus();
}

Task<Status> ClientConnection::Send(std::string head, const std::string* body,
                                    nanoseconds timeout) {
  error_code error;
  used_ = true;
  parts_->parser.reset();
  parts_->stream.expires_after(timeout);
  const std::array<asio::const_buffer, 2> buffers = {asio::buffer(head),
                                                     asio::buffer(*body)};
  co_await asio::async_write(parts_->stream, buffers,
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    Close();
    co_return Broken("request not sent", error);
  }
  co_return OkStatus();
}

Task<Result<HttpResponseHead>> ClientConnection::ReadHead(nanoseconds timeout) {
  parts_->stream.expires_after(timeout);
  for (;;) {
    parts_->parser.emplace();
    parts_->parser->header_limit(kMaxAnswerHead);
    parts_->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    error_code error;
    co_await http::async_read_header(
        parts_->stream, parts_->buffer, *parts_->parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      Close();
      co_return Broken("no answer", error);
    }
    if (parts_->parser->get().result_int() >= kFirstFinalStatus) break;
  }
  last_read_ = BootClock::now();
  HttpResponseHead head;
  const auto& message = parts_->parser->get();
  head.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    head.fields.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  if (const auto length = parts_->parser->content_length()) {
    head.length = *length;
  }
  const bool bulk =
      !parts_->parser->is_done() && (!head.length || *head.length > kBulkBody);
  if (bulk) parts_->buffer.reserve(kBulkRead);
  const milliseconds announced = ParseKeepAlive(head.fields);
  if (announced > kIdleMargin) keep_alive_ = announced - kIdleMargin;
  co_return head;
}

Task<Result<std::size_t>> ClientConnection::ReadBody(char* buffer,
                                                     std::size_t size,
                                                     nanoseconds timeout) {
  Parser& parser = *parts_->parser;
  parts_->stream.expires_after(timeout);
  while (!parser.is_done()) {
    auto& body = parser.get().body();
    body.data = buffer;
    body.size = size;
    body.more = true;
    error_code error;
    co_await http::async_read_some(
        parts_->stream, parts_->buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) {
      Close();
      co_return Broken("answer cut", error);
    }
    const std::size_t read = size - parser.get().body().size;
    if (read == 0) continue;
    last_read_ = BootClock::now();
    co_return read;
  }
  co_return std::size_t{0};
}

bool ClientConnection::reusable() const {
  if (closed_ || !parts_->parser) return false;
  // Bytes behind a complete answer belong to no request.
  return parts_->parser->is_done() && parts_->parser->keep_alive() &&
         parts_->buffer.size() == 0;
}

bool ClientConnection::has_response_bytes() const {
  return parts_->buffer.size() > 0 ||
         (parts_->parser && parts_->parser->got_some());
}

bool ClientConnection::IsOpenAndIdle() {
  if (closed_) return false;
  char byte = 0;
  const ssize_t got = recv(parts_->stream.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ClientConnection::EnableKeepAliveProbes(seconds interval) {
  const int handle = parts_->stream.socket().native_handle();
  const int on = 1;
  const int every = static_cast<int>(interval.count());
  setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &every, sizeof every);
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &every, sizeof every);
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kMostProbes,
             sizeof kMostProbes);
}

void ClientConnection::ReleaseMemory() { parts_->buffer.shrink_to_fit(); }

void ClientConnection::Close() {
  if (closed_) return;
  closed_ = true;
  parts_->stream.close();
}

std::shared_ptr<ClientConnection> ClientConnectionPool::Take(Instant now) {
  while (!idle_.empty()) {
    std::shared_ptr<ClientConnection> connection = std::move(idle_.back());
    idle_.pop_back();
    if (IsFresh(connection.get(), now)) return connection;
  }
  return CreateConnection();
}

std::shared_ptr<ClientConnection> ClientConnectionPool::CreateConnection() const {
  return std::make_shared<ClientConnection>(loop_, remote_);
}

bool ClientConnectionPool::IsFresh(ClientConnection* connection, Instant now) const {
  nanoseconds most = most_idle_;
  if (connection->keep_alive().count() > 0) {
    most = std::min<nanoseconds>(most, connection->keep_alive());
  }
  return now - connection->idle_since() < most && connection->IsOpenAndIdle();
}

void ClientConnectionPool::Return(std::shared_ptr<ClientConnection> connection,
                        Instant now) {
  if (!connection->reusable()) return;
  connection->MarkIdle(now);
  connection->ReleaseMemory();
  idle_.push_back(std::move(connection));
}

Result<asio::ip::tcp::endpoint> ParseEndpoint(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  error_code error;
  const auto ip = asio::ip::make_address_v4(address.substr(0, colon), error);
  const std::optional<std::uint64_t> port =
      colon == std::string::npos ? std::nullopt
                                 : ParseDecimal(address.substr(colon + 1));
  if (error || !port || *port > UINT16_MAX) {
    return MakeError(ErrorKind::kInvalidConfiguration,
                     "\"" + address + "\" is no IP:port",
                     "give an IPv4 address and a port");
  }
  return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(*port));
}

}  // namespace wisteriarill
