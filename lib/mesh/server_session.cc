#include "server_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <exception>
#include <utility>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Maximum size of a request body. The body is kept in memory until the call
/// ends.
constexpr std::size_t kMaxBodyBytes = 16U << 20;
/// Maximum number of bytes that are buffered unparsed, such as a chunk header.
constexpr std::size_t kMaxBufferedBytes = 256U << 10;
/// Timeout for reading a request body.
constexpr seconds kBodyTimeout{30};
/// Timeout for writing a piece of a response.
constexpr seconds kWriteTimeout{10};
/// Result of Peek if the connection is open and has no data.
constexpr ssize_t kWouldBlock = -2;
constexpr int kStatusInternalError = 500;
/// The request was not passed on, so it can be sent again.
constexpr int kStatusUnavailable = 503;
/// Retry-After, in seconds, of requests whose bodies don't fit into memory.
constexpr const char* kMemoryRetryAfter = "0.3";
constexpr std::string_view kProcessing = "HTTP/1.1 102 Processing\r\n\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// Returns the status to send for a request that could not be read, or zero if
// the connection just ended and nothing is sent.
int ErrorStatus(const error_code& error, bool started) {
  if (error == http::error::end_of_stream) return 0;
  if (error == beast::error::timeout) return started ? 408 : 0;
  if (error == http::error::header_limit) return 431;
  if (error == http::error::buffer_overflow) return 431;
  if (error == http::error::body_limit) return 413;
  if (error.category() == make_error_code(http::error::bad_method).category()) {
    return error == http::error::partial_message ? 0 : 400;
  }
  return 0;
}

bool HasOneHost(const HttpFields& fields) {
  std::size_t hosts = 0;
  for (const HttpField& field : fields) {
    if (EqualFieldNames(field.name, "Host")) ++hosts;
  }
  return hosts == 1;
}

}  // namespace

ServerSession::ServerSession(HttpServer* server, asio::ip::tcp::socket socket)
    : server_(server),
      stream_(std::move(socket)),
      buffer_(kMaxBufferedBytes),
      body_memory_(server->body_memory_) {
  server_->sessions_.insert(this);
  ++server_->accepted_;
}

ServerSession::~ServerSession() { server_->sessions_.erase(this); }

Task<void> ServerSession::Run() {
  const auto self = shared_from_this();
  for (;;) {
    if (!co_await ReadRequest()) break;
    co_await Serve();
    if (close_after_response_ || aborted_ || disconnected_) break;
  }
  stream_.close();
}

Task<void> ServerSession::Serve() {
  active_ = true;
  ++server_->active_;
  WatchForClose();
  bool failed = false;
  try {
    co_await server_->handler_->Handle(this);
  } catch (const std::exception& error) {
    failed = true;
    LogEvent(LogLevel::kError, "request_failed")
        .With("target", request_.target)
        .With("error", error.what());
  }
  on_disconnect_ = nullptr;
  if (failed) {
    co_await EndAfterFailure();
  }
  request_ = HttpRequest();
  body_memory_.Release();
  active_ = false;
  --server_->active_;
}

// The request may have run, so the response must not promise that it hasn't.
Task<void> ServerSession::EndAfterFailure() {
  close_after_response_ = true;
  if (response_started_) {
    AbortResponse();
    co_return;
  }
  co_await SendResponse(kStatusInternalError, {}, "");
}

Task<bool> ServerSession::ReadHead(Parser* parser, const CallerLimits& limits) {
  error_code error;
  if (buffer_.size() == 0) {
    stream_.expires_after(limits.idle_timeout);
    const std::size_t read = co_await stream_.async_read_some(
        buffer_.prepare(4096),
        asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return false;
    buffer_.commit(read);
  }
  stream_.expires_after(limits.header_timeout);
  co_await http::async_read_header(
      stream_, buffer_, *parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (!error) co_return true;
  const int status = ErrorStatus(error, true);
  if (status != 0) {
    co_await Refuse(status);
  }
  co_return false;
}

Task<bool> ServerSession::ReadBody(Parser* parser) {
  error_code error;
  const std::uint64_t announced = parser->content_length().value_or(0);
  bool fits = body_memory_.Resize(announced);
  if (fits && parser->get().count(http::field::expect) > 0) {
    co_await asio::async_write(
        stream_, asio::buffer(kContinue),
        asio::redirect_error(asio::use_awaitable, error));
  }
  stream_.expires_after(kBodyTimeout);
  while (fits && !error && !parser->is_done()) {
    co_await http::async_read_some(
        stream_, buffer_, *parser,
        asio::redirect_error(asio::use_awaitable, error));
    fits = body_memory_.Resize(
        std::max<std::size_t>(announced, parser->get().body().size()));
  }
  if (fits && !error) co_return true;
  if (!fits) {
    LogEvent(LogLevel::kInfo, "body_refused")
        .With("target", std::string(parser->get().target()))
        .With("announced_bytes", announced)
        .With("received_bytes", parser->get().body().size());
  }
  const int status = fits ? ErrorStatus(error, true) : kStatusUnavailable;
  if (status != 0) {
    co_await Refuse(status);
  }
  body_memory_.Release();
  co_return false;
}

Task<bool> ServerSession::ReadRequest() {
  const CallerLimits limits = server_->limits_();
  Parser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser.body_limit(std::min(limits.max_body_bytes, kMaxBodyBytes));
  response_started_ = false;
  if (!co_await ReadHead(&parser, limits)) co_return false;
  if (!parser.is_done()) {
    const bool complete = co_await ReadBody(&parser);
    if (!complete) co_return false;
  }
  stream_.expires_never();
  if (!TakeRequest(&parser)) {
    co_await Refuse(400);
    co_return false;
  }
  co_return true;
}

bool ServerSession::TakeRequest(Parser* parser) {
  auto& message = parser->get();
  request_ = HttpRequest();
  request_.method = std::string(message.method_string());
  request_.target = std::string(message.target());
  for (const auto& field : message) {
    request_.fields.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  request_.body = std::move(message.body());
  received_ = BootClock::now();
  close_after_response_ = !parser->keep_alive() || server_->draining_;
  bodyless_ = request_.method == "HEAD";
  aborted_ = false;
  return HasOneHost(request_.fields) && request_.target.starts_with('/');
}

Task<void> ServerSession::Refuse(int status) {
  close_after_response_ = true;
  bodyless_ = false;
  HttpFields fields;
  if (status == kStatusUnavailable) {
    fields.push_back({"Retry-After", kMemoryRetryAfter});
  }
  co_await SendResponse(status, std::move(fields), "");
}

void ServerSession::OnDisconnect(std::function<void()> callback) {
  on_disconnect_ = std::move(callback);
  if (disconnected_ && on_disconnect_) MarkDisconnected();
}

void ServerSession::WatchForClose() {
  if (waiting_for_close_) return;
  waiting_for_close_ = true;
  stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                              [self = shared_from_this()](error_code error) {
                                self->waiting_for_close_ = false;
                                if (!error) self->OnReadable();
                              });
}

void ServerSession::OnReadable() {
  if (!active_ || disconnected_) return;
  const ssize_t result = Peek();
  if (result == kWouldBlock) return WatchForClose();
  // A positive result is data of a pipelined request, not a disconnect.
  if (result <= 0) MarkDisconnected();
}

ssize_t ServerSession::Peek() {
  char byte = 0;
  const ssize_t result =
      recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool would_block =
      result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return would_block ? kWouldBlock : result;
}

bool ServerSession::CheckDisconnected() {
  if (disconnected_) return true;
  const ssize_t result = Peek();
  if (result == 0 || result == -1) MarkDisconnected();
  return disconnected_;
}

void ServerSession::MarkDisconnected() {
  disconnected_ = true;
  const auto callback = std::exchange(on_disconnect_, nullptr);
  if (callback) callback();
}

void ServerSession::SendInterimResponse() {
  if (!active_ || response_started_ || disconnected_) return;
  const ssize_t sent =
      send(stream_.socket().native_handle(), kProcessing.data(),
           kProcessing.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  const bool partial = sent > 0 && sent < ssize_t{kProcessing.size()};
  // What follows a part of a response would be read as its rest.
  if (partial) AbortResponse();
}

Task<bool> ServerSession::Begin(HttpResponseHead head) {
  response_started_ = true;
  if (server_->draining_) close_after_response_ = true;
  bodyless_ = bodyless_ || head.status == 204 || head.status == 304;
  chunked_ = !head.length && !bodyless_;
  pending_head_ = "HTTP/1.1 ";
  pending_head_.append(std::to_string(head.status)).append(" ");
  pending_head_.append(ReasonPhrase(head.status)).append("\r\n");
  for (const HttpField& field : head.fields) {
    pending_head_.append(field.name)
        .append(": ")
        .append(field.value)
        .append("\r\n");
  }
  if (head.length) {
    pending_head_.append("Content-Length: ")
        .append(std::to_string(*head.length))
        .append("\r\n");
  }
  if (chunked_) pending_head_.append("Transfer-Encoding: chunked\r\n");
  if (close_after_response_) pending_head_.append("Connection: close\r\n");
  pending_head_.append("\r\n");
  co_return !disconnected_;
}

Task<bool> ServerSession::Flush(std::string_view piece) {
  const std::string head = std::exchange(pending_head_, {});
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(head), asio::buffer(piece.data(), piece.size())};
  error_code error;
  stream_.expires_after(kWriteTimeout);
  co_await asio::async_write(stream_, buffers,
                             asio::redirect_error(asio::use_awaitable, error));
  stream_.expires_never();
  if (error) MarkDisconnected();
  co_return !error;
}

Task<bool> ServerSession::Write(std::string_view piece) {
  if (disconnected_ || aborted_) co_return false;
  if (bodyless_ || piece.empty()) co_return true;
  if (!chunked_) {
    co_return co_await Flush(piece);
  }
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
  std::string chunk = size;
  chunk.append(piece).append("\r\n");
  co_return co_await Flush(chunk);
}

Task<bool> ServerSession::Finish() {
  if (disconnected_ || aborted_) co_return false;
  if (chunked_) {
    co_return co_await Flush("0\r\n\r\n");
  }
  if (!pending_head_.empty()) {
    co_return co_await Flush("");
  }
  co_return true;
}

void ServerSession::AbortResponse() {
  aborted_ = true;
  stream_.close();
}

void ServerSession::CloseIfIdle() {
  if (!active_) stream_.close();
}

}  // namespace wisteriarill
