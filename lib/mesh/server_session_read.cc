/// \file
/// Reads the requests of a connection, within the limits for callers.
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <iterator>
#include <string>
#include <utility>

#include "server_session.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

namespace http = boost::beast::http;

/// Maximum size of a request body. The body is kept in memory until the call
/// ends.
constexpr std::size_t kMaxBodyBytes = 16U << 20;
/// Timeout for reading a request body.
constexpr seconds kBodyTimeout{30};
/// How long the rest of a refused request is read and discarded.
constexpr seconds kDiscardTimeout{2};
/// Interval at which a read is canceled after its timeout, until it fails.
constexpr milliseconds kCancelInterval{10};
constexpr std::size_t kReadBytes = 4096;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusRequestTimeout = 408;
constexpr int kStatusNotSupported = 501;
/// The request was not passed on, so it can be sent again.
constexpr int kStatusUnavailable = 503;
/// Retry-After, in seconds, of requests whose bodies don't fit into memory.
constexpr const char* kMemoryRetryAfter = "0.3";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

// Returns the status to send for a request that could not be read, or zero if
// the connection just ended and nothing is sent.
int ErrorStatus(const error_code& error) {
  if (error == http::error::end_of_stream) return 0;
  if (error == http::error::header_limit) return 431;
  if (error == http::error::buffer_overflow) return 431;
  if (error == http::error::body_limit) return 413;
  if (error.category() == make_error_code(http::error::bad_method).category()) {
    return error == http::error::partial_message ? 0 : 400;
  }
  return 0;
}

/// Returns the status for a request whose framing this server doesn't know
/// (RFC 9112, 6.1 and 6.3), or zero. Its body would be read as the next
/// request.
int UnknownFramingStatus(const http::request<http::string_body>& message) {
  const auto codings = message.equal_range(http::field::transfer_encoding);
  if (codings.first == codings.second) return 0;
  if (!message.chunked()) return kStatusBadRequest;
  const std::string first(codings.first->value());
  const bool is_one = std::next(codings.first) == codings.second;
  return is_one && EqualFieldNames(first, "chunked") ? 0 : kStatusNotSupported;
}

HttpFields CopyFields(const http::request<http::string_body>& message) {
  HttpFields fields;
  for (const auto& field : message) {
    fields.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return fields;
}

bool HasOneHost(const HttpFields& fields) {
  std::size_t hosts = 0;
  for (const HttpField& field : fields) {
    if (EqualFieldNames(field.name, "Host")) ++hosts;
  }
  return hosts == 1;
}

}  // namespace

/// Makes reads fail that last until a time has passed. The timer of a Beast
/// stream closes the socket, so that neither a request that has just arrived
/// could be read nor a response be sent.
class ServerSession::ReadTimeout {
 public:
  ReadTimeout(ServerSession* session, nanoseconds timeout) : session_(session) {
    session_->read_timed_out_ = false;
    session_->ArmReadTimer(timeout);
  }
  ~ReadTimeout() {
    ++session_->read_timer_id_;
    session_->read_timer_.cancel();
  }
  ReadTimeout(const ReadTimeout&) = delete;
  ReadTimeout& operator=(const ReadTimeout&) = delete;

 private:
  ServerSession* session_;
};

void ServerSession::ArmReadTimer(nanoseconds timeout) {
  read_timer_.expires_after(timeout);
  read_timer_.async_wait(
      [self = shared_from_this(), id = ++read_timer_id_](error_code error) {
        // A timer that was started again may have expired just before.
        if (error || id != self->read_timer_id_) return;
        self->read_timed_out_ = true;
        self->stream_.cancel();
        // Between two reads of one operation there is nothing to cancel.
        self->ArmReadTimer(kCancelInterval);
      });
}

Task<bool> ServerSession::WaitForRequest() {
  const Instant began = BootClock::now();
  while (buffer_.size() == 0) {
    // The limit may have changed since the wait began.
    const Instant end = began + server_->limits_().idle_timeout;
    const bool expired = BootClock::now() >= end;
    if (expired && Peek() == kWouldBlock) co_return false;
    const ReadTimeout timeout(this, RemainingTime(end));
    error_code error;
    const std::size_t read = co_await stream_.async_read_some(
        buffer_.prepare(kReadBytes),
        asio::redirect_error(asio::use_awaitable, error));
    buffer_.commit(read);
    if (error && !read_timed_out_) co_return false;
  }
  co_return true;
}

Task<error_code> ServerSession::ParseHead(Parser* parser, nanoseconds limit) {
  const ReadTimeout timeout(this, limit);
  error_code error;
  co_await http::async_read_header(
      stream_, buffer_, *parser,
      asio::redirect_error(asio::use_awaitable, error));
  co_return error;
}

Task<bool> ServerSession::ReadHead(Parser* parser, const CallerLimits& limits) {
  const error_code error = co_await ParseHead(parser, limits.header_timeout);
  if (!error) co_return true;
  const int status = ReadErrorStatus(error);
  if (status != 0) {
    co_await Refuse(status);
  }
  co_return false;
}

Task<error_code> ServerSession::ParseBody(Parser* parser, bool* fits) {
  error_code error;
  const std::uint64_t announced = parser->content_length().value_or(0);
  *fits = body_memory_.Resize(announced);
  if (*fits && parser->get().count(http::field::expect) > 0) {
    co_await asio::async_write(
        stream_, asio::buffer(kContinue),
        asio::redirect_error(asio::use_awaitable, error));
  }
  const ReadTimeout timeout(this, kBodyTimeout);
  while (*fits && !error && !read_timed_out_ && !parser->is_done()) {
    co_await http::async_read_some(
        stream_, buffer_, *parser,
        asio::redirect_error(asio::use_awaitable, error));
    *fits = body_memory_.Resize(
        std::max<std::size_t>(announced, parser->get().body().size()));
  }
  co_return error;
}

Task<bool> ServerSession::PermitBody(Parser* parser) {
  const bool asks = parser->get().count(http::field::expect) > 0;
  if (!asks || server_->body_admission_ == nullptr) co_return true;
  BodyDecision decision = server_->body_admission_->AdmitBody(
      CopyFields(parser->get()), parser->content_length().value_or(0));
  if (decision.admitted && decision.wait.count() > 0) {
    co_await SleepFor(decision.wait);
  }
  if (decision.admitted) co_return true;
  close_after_response_ = true;
  unread_request_ = true;
  bodyless_ = false;
  co_await SendResponse(kStatusUnavailable, std::move(decision.refusal_fields),
                        "");
  co_return false;
}

Task<bool> ServerSession::ReadBody(Parser* parser) {
  if (!co_await PermitBody(parser)) co_return false;
  bool fits = false;
  const error_code error = co_await ParseBody(parser, &fits);
  if (fits && parser->is_done()) co_return true;
  if (!fits) {
    LogEvent(LogLevel::kInfo, "body_refused")
        .With("target", std::string(parser->get().target()))
        .With("announced_bytes", parser->content_length().value_or(0))
        .With("received_bytes", parser->get().body().size());
  }
  const int status = fits ? ReadErrorStatus(error) : kStatusUnavailable;
  if (status != 0) {
    co_await Refuse(status);
  }
  body_memory_.Release();
  co_return false;
}

Task<bool> ServerSession::ReadRequest() {
  if (!co_await WaitForRequest()) co_return false;
  const CallerLimits limits = server_->limits_();
  Parser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser.body_limit(std::min(limits.max_body_bytes, kMaxBodyBytes));
  response_started_ = false;
  if (!co_await ReadHead(&parser, limits)) co_return false;
  head_received_ = BootClock::now();
  const int framing_status = UnknownFramingStatus(parser.get());
  if (framing_status != 0) {
    co_await Refuse(framing_status);
    co_return false;
  }
  if (!parser.is_done()) {
    const bool complete = co_await ReadBody(&parser);
    if (!complete) co_return false;
  }
  if (!TakeRequest(&parser)) {
    co_await Refuse(kStatusBadRequest);
    co_return false;
  }
  co_return true;
}

bool ServerSession::TakeRequest(Parser* parser) {
  auto& message = parser->get();
  request_ = HttpRequest();
  request_.method = std::string(message.method_string());
  request_.target = std::string(message.target());
  request_.fields = CopyFields(message);
  request_.body = std::move(message.body());
  received_ = BootClock::now();
  close_after_response_ = !parser->keep_alive() || server_->draining_;
  bodyless_ = request_.method == "HEAD";
  aborted_ = false;
  return HasOneHost(request_.fields) && request_.target.starts_with('/');
}

int ServerSession::ReadErrorStatus(const error_code& error) const {
  return read_timed_out_ ? kStatusRequestTimeout : ErrorStatus(error);
}

Task<void> ServerSession::Refuse(int status) {
  close_after_response_ = true;
  unread_request_ = true;
  bodyless_ = false;
  HttpFields fields;
  if (status == kStatusUnavailable) {
    fields.push_back({"Retry-After", kMemoryRetryAfter});
  }
  co_await SendResponse(status, std::move(fields), "");
}

// Closing a connection with unread bytes resets it, and the reset can overtake
// the response.
Task<void> ServerSession::DiscardRequest() {
  error_code error;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
  const ReadTimeout timeout(this, kDiscardTimeout);
  while (!error && !read_timed_out_) {
    buffer_.clear();
    co_await stream_.async_read_some(
        buffer_.prepare(kReadBytes),
        asio::redirect_error(asio::use_awaitable, error));
  }
}

}  // namespace wisteriarill
