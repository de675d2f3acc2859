#include "server_session.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

namespace wisteriarill {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Largest request body that is taken; it is held until the call ends.
constexpr std::size_t kMaxHeldBody = 16U << 20;
/// Time in which a request's body has to come.
constexpr seconds kBodyTimeout{30};
/// Time in which a reader has to take a piece of an answer.
constexpr seconds kWriteTimeout{10};
/// Peek's answer while a connection is open and silent.
constexpr ssize_t kNothingYet = -2;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// Returns the refusal for a request that could not be read, zero for a
// connection that just ended.
int StatusFor(const error_code& error, bool begun) {
  if (error == http::error::end_of_stream) return 0;
  if (error == beast::error::timeout) return begun ? 408 : 0;
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
    : server_(server), stream_(std::move(socket)) {
  server_->sessions_.insert(this);
  ++server_->accepted_;
}

ServerSession::~ServerSession() { server_->sessions_.erase(this); }

Task<void> ServerSession::Run() {
  const auto self = shared_from_this();
  for (;;) {
    if (!co_await ReadRequest()) break;
    co_await Serve();
    if (close_after_ || cut_ || gone_) break;
  }
  stream_.close();
}

Task<void> ServerSession::Serve() {
  active_ = true;
  ++server_->active_;
  WatchForClose();
  co_await server_->handler_->Handle(this);
  on_gone_ = nullptr;
  active_ = false;
  --server_->active_;
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
  const int status = StatusFor(error, true);
  if (status != 0) {
    co_await Refuse(status);
  }
  co_return false;
}

Task<bool> ServerSession::ReadRequest() {
  const CallerLimits limits = server_->limits_();
  Parser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser.body_limit(std::min(limits.max_body_bytes, kMaxHeldBody));
  begun_ = false;
  if (!co_await ReadHead(&parser, limits)) co_return false;
  error_code error;
  if (!parser.is_done() && parser.get().count(http::field::expect) > 0) {
    co_await asio::async_write(
        stream_, asio::buffer(kContinue),
        asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return false;
  }
  if (!parser.is_done()) {
    stream_.expires_after(kBodyTimeout);
    co_await http::async_read(stream_, buffer_, parser,
                              asio::redirect_error(asio::use_awaitable, error));
  }
  if (error) {
    const int status = StatusFor(error, true);
    if (status != 0) {
      co_await Refuse(status);
    }
    co_return false;
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
  close_after_ = !parser->keep_alive() || server_->draining_;
  headless_ = request_.method == "HEAD";
  cut_ = false;
  return HasOneHost(request_.fields) && request_.target.starts_with('/');
}

Task<void> ServerSession::Refuse(int status) {
  close_after_ = true;
  headless_ = false;
  co_await SendResponse(status, {}, "");
}

void ServerSession::OnDisconnect(std::function<void()> callback) {
  on_gone_ = std::move(callback);
  if (gone_ && on_gone_) MarkGone();
}

void ServerSession::WatchForClose() {
  if (watching_) return;
  watching_ = true;
  stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                              [self = shared_from_this()](error_code error) {
                                self->watching_ = false;
                                if (!error) self->OnReadable();
                              });
}

void ServerSession::OnReadable() {
  if (!active_ || gone_) return;
  const ssize_t got = Peek();
  if (got == kNothingYet) return WatchForClose();
  // A further request may wait behind this one; only an end is an end.
  if (got <= 0) MarkGone();
}

ssize_t ServerSession::Peek() {
  char byte = 0;
  const ssize_t got =
      recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool later = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return later ? kNothingYet : got;
}

bool ServerSession::CheckDisconnected() {
  if (gone_) return true;
  const ssize_t got = Peek();
  if (got == 0 || got == -1) MarkGone();
  return gone_;
}

void ServerSession::MarkGone() {
  gone_ = true;
  const auto callback = std::exchange(on_gone_, nullptr);
  if (callback) callback();
}

Task<bool> ServerSession::Begin(HttpResponseHead head) {
  begun_ = true;
  if (server_->draining_) close_after_ = true;
  headless_ = headless_ || head.status == 204 || head.status == 304;
  chunked_ = !head.length && !headless_;
  head_ = "HTTP/1.1 ";
  head_.append(std::to_string(head.status)).append(" ");
  head_.append(ReasonPhrase(head.status)).append("\r\n");
  for (const HttpField& field : head.fields) {
    head_.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  if (head.length) {
    head_.append("Content-Length: ")
        .append(std::to_string(*head.length))
        .append("\r\n");
  }
  if (chunked_) head_.append("Transfer-Encoding: chunked\r\n");
  if (close_after_) head_.append("Connection: close\r\n");
  head_.append("\r\n");
  co_return !gone_;
}

Task<bool> ServerSession::Flush(std::string_view piece) {
  const std::string head = std::exchange(head_, {});
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(head), asio::buffer(piece.data(), piece.size())};
  error_code error;
  stream_.expires_after(kWriteTimeout);
  co_await asio::async_write(stream_, buffers,
                             asio::redirect_error(asio::use_awaitable, error));
  stream_.expires_never();
  if (error) MarkGone();
  co_return !error;
}

Task<bool> ServerSession::Write(std::string_view piece) {
  if (gone_ || cut_) co_return false;
  if (headless_ || piece.empty()) co_return true;
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
  if (gone_ || cut_) co_return false;
  if (chunked_) {
    co_return co_await Flush("0\r\n\r\n");
  }
  if (!head_.empty()) {
    co_return co_await Flush("");
  }
  co_return true;
}

void ServerSession::AbortResponse() {
  cut_ = true;
  stream_.close();
}

void ServerSession::CloseIfIdle() {
  if (!active_) stream_.close();
}

}  // namespace wisteriarill
