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

/// Maximum size of a response head in bytes.
constexpr std::uint32_t kMaxHeadBytes = 64U << 10;
/// A longer body is read through a buffer of kBulkReadSize bytes to save system
/// calls; Beast would otherwise read as little as 512 bytes at once.
constexpr std::uint64_t kBulkBodyThreshold = 8U << 10;
constexpr std::size_t kBulkReadSize = 64U << 10;
/// The operating system ends a connection whose sent data isn't acknowledged
/// for this long.
constexpr milliseconds kTcpUserTimeout{2000};
/// Subtracted from the idle time that the remote end announces, so that it
/// doesn't close a connection just as it is reused.
constexpr milliseconds kIdleMargin{1000};
/// Unanswered keep-alive probes after which a connection ends.
constexpr int kMaxKeepAliveProbes = 2;
constexpr unsigned kStatusContinue = 100;
constexpr unsigned kStatusSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastFinalStatus = 599;
/// Maximum number of bytes that are buffered unparsed, whatever the remote end
/// sends: a head, a chunk header, or a piece of a long body.
constexpr std::size_t kMaxBufferedBytes = kMaxHeadBytes + kBulkReadSize;

Error ConnectionError(const std::string& what, const error_code& error) {
  const bool late = error == beast::error::timeout;
  return MakeError(late ? ErrorKind::kTimeout : ErrorKind::kBroken,
                   what + ": " + error.message(),
                   "check that the remote end runs and is reachable");
}

void SetTcpOptions(asio::ip::tcp::socket* socket) {
  error_code ignored;  // These only tune; a broken socket fails on use.
  socket->set_option(asio::ip::tcp::no_delay(true), ignored);
  const unsigned timeout = kTcpUserTimeout.count();
  setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
             sizeof timeout);
}

// Returns N of "timeout=N" in the Keep-Alive field, or zero.
milliseconds ParseKeepAlive(const HttpFields& fields) {
  const std::string* value = FindField(fields, "Keep-Alive");
  if (value == nullptr) return milliseconds(0);
  const std::size_t at = value->find("timeout=");
  if (at == std::string::npos) return milliseconds(0);
  std::string_view digits = std::string_view(*value).substr(at + 8);
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  return seconds(ParseDecimal(digits).value_or(0));
}

// Returns whether a head with this status is a response to a request that asked
// for no other protocol (RFC 9110, 15): interim or final.
bool IsResponseStatus(unsigned status) {
  return status >= kStatusContinue && status <= kLastFinalStatus &&
         status != kStatusSwitchingProtocols;
}

}  // namespace

struct ClientConnection::Impl {
  Impl(asio::io_context* loop, asio::ip::tcp::endpoint endpoint)
      : stream(*loop), remote(std::move(endpoint)), buffer(kMaxBufferedBytes) {}

  beast::tcp_stream stream;
  asio::ip::tcp::endpoint remote;
  beast::flat_buffer buffer;
  std::optional<Parser> parser;
  /// The response to a HEAD request has no body, whatever length it states.
  bool awaits_no_body = false;
};

ClientConnection::ClientConnection(asio::io_context* loop,
                                   asio::ip::tcp::endpoint remote)
    : impl_(std::make_unique<Impl>(loop, std::move(remote))) {}

ClientConnection::~ClientConnection() = default;

Task<Status> ClientConnection::Connect(nanoseconds timeout) {
  error_code error;
  impl_->stream.expires_after(timeout);
  co_await impl_->stream.async_connect(
      impl_->remote, asio::redirect_error(asio::use_awaitable, error));
  if (!error && closed_) error = asio::error::operation_aborted;
  if (error) {
    Close();
    co_return ConnectionError("not connected", error);
  }
  SetTcpOptions(&impl_->stream.socket());
  co_return OkStatus();
}

Task<Status> ClientConnection::Send(std::string head, const std::string* body,
                                    nanoseconds timeout) {
  error_code error;
  has_sent_request_ = true;
  if (!head.empty()) impl_->awaits_no_body = head.starts_with("HEAD ");
  impl_->parser.reset();
  impl_->stream.expires_after(timeout);
  const std::array<asio::const_buffer, 2> buffers = {asio::buffer(head),
                                                     asio::buffer(*body)};
  co_await asio::async_write(impl_->stream, buffers,
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    Close();
    co_return ConnectionError("request not sent", error);
  }
  co_return OkStatus();
}

Task<Result<HttpResponseHead>> ClientConnection::ReadHead(
    nanoseconds timeout, int max_interim_responses) {
  co_return co_await ReadHeadUntil(timeout, max_interim_responses, false);
}

Task<Result<HttpResponseHead>> ClientConnection::ReadPermission(
    nanoseconds timeout) {
  co_return co_await ReadHeadUntil(timeout, kMaxInterimResponses, true);
}

Task<Result<HttpResponseHead>> ClientConnection::ReadHeadUntil(
    nanoseconds timeout, int max_interim_responses, bool stop_at_continue) {
  impl_->stream.expires_after(timeout);
  const Instant deadline = BootClock::now() + timeout;
  for (int interim_responses = 0;; ++interim_responses) {
    impl_->parser.emplace();
    impl_->parser->header_limit(kMaxHeadBytes);
    impl_->parser->skip(impl_->awaits_no_body);
    impl_->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    error_code error;
    co_await http::async_read_header(
        impl_->stream, impl_->buffer, *impl_->parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (!error && interim_responses > max_interim_responses) {
      error = http::error::bad_status;
    }
    const Instant now = BootClock::now();
    const unsigned status = error ? 0 : impl_->parser->get().result_int();
    if (!error && !IsResponseStatus(status)) error = http::error::bad_status;
    const bool final = status >= kFirstFinalStatus ||
                       (stop_at_continue && status == kStatusContinue);
    if (!error && !final && now >= deadline) error = beast::error::timeout;
    if (error) {
      Close();
      co_return ConnectionError("no response", error);
    }
    last_read_ = now;
    if (final) break;
  }
  HttpResponseHead head;
  const auto& message = impl_->parser->get();
  head.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    head.fields.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  if (const auto length = impl_->parser->content_length()) {
    head.length = *length;
  }
  const bool bulk = !impl_->parser->is_done() &&
                    (!head.length || *head.length > kBulkBodyThreshold);
  if (bulk) impl_->buffer.reserve(kBulkReadSize);
  const milliseconds announced = ParseKeepAlive(head.fields);
  if (announced > kIdleMargin) keep_alive_ = announced - kIdleMargin;
  co_return head;
}

Task<Result<std::size_t>> ClientConnection::ReadBody(char* buffer,
                                                     std::size_t size,
                                                     nanoseconds timeout) {
  Parser& parser = *impl_->parser;
  impl_->stream.expires_after(timeout);
  const Instant deadline = BootClock::now() + timeout;
  while (!parser.is_done()) {
    // The timer of the stream doesn't end reads that always find data.
    if (BootClock::now() >= deadline) {
      Close();
      co_return ConnectionError("response truncated", beast::error::timeout);
    }
    auto& body = parser.get().body();
    body.data = buffer;
    body.size = size;
    body.more = true;
    error_code error;
    co_await http::async_read_some(
        impl_->stream, impl_->buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) {
      Close();
      co_return ConnectionError("response truncated", error);
    }
    const std::size_t read = size - parser.get().body().size;
    if (read == 0) continue;
    last_read_ = BootClock::now();
    co_return read;
  }
  co_return std::size_t{0};
}

bool ClientConnection::reusable() const {
  if (closed_ || !impl_->parser) return false;
  // Bytes after a complete response belong to no request.
  return impl_->parser->is_done() && impl_->parser->keep_alive() &&
         impl_->buffer.size() == 0;
}

bool ClientConnection::has_response_bytes() const {
  return impl_->buffer.size() > 0 ||
         (impl_->parser && impl_->parser->got_some());
}

bool ClientConnection::IsOpenAndIdle() {
  if (closed_) return false;
  char byte = 0;
  const ssize_t got = recv(impl_->stream.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ClientConnection::EnableKeepAliveProbes(seconds interval) {
  const int handle = impl_->stream.socket().native_handle();
  const int on = 1;
  const int every = static_cast<int>(interval.count());
  setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &every, sizeof every);
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &every, sizeof every);
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kMaxKeepAliveProbes,
             sizeof kMaxKeepAliveProbes);
}

void ClientConnection::ReleaseMemory() { impl_->buffer.shrink_to_fit(); }

void ClientConnection::Close() {
  if (closed_) return;
  closed_ = true;
  impl_->stream.close();
}

std::shared_ptr<ClientConnection> ClientConnectionPool::Take(Instant now) {
  while (!idle_.empty()) {
    std::shared_ptr<ClientConnection> connection = std::move(idle_.back());
    idle_.pop_back();
    if (IsUsable(connection.get(), now)) return connection;
  }
  return CreateConnection();
}

std::shared_ptr<ClientConnection> ClientConnectionPool::CreateConnection()
    const {
  return std::make_shared<ClientConnection>(loop_, remote_);
}

bool ClientConnectionPool::IsUsable(ClientConnection* connection,
                                    Instant now) const {
  nanoseconds max_idle_time = max_idle_time_;
  if (connection->keep_alive().count() > 0) {
    max_idle_time =
        std::min<nanoseconds>(max_idle_time, connection->keep_alive());
  }
  return now - connection->idle_since() < max_idle_time &&
         connection->IsOpenAndIdle();
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
  if (error || !port || *port > UINT16_MAX || ip.is_multicast()) {
    return MakeError(ErrorKind::kInvalidConfiguration,
                     "\"" + address + "\" is not an IP:port address",
                     "give an IPv4 address and a port");
  }
  return asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(*port));
}

}  // namespace wisteriarill
