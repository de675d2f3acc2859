#include "server_session.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/write.hpp>
#include <exception>
#include <utility>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// Maximum number of bytes that are buffered unparsed, such as a chunk header.
constexpr std::size_t kMaxBufferedBytes = 256U << 10;
/// Timeout for writing a piece of a response.
constexpr seconds kWriteTimeout{10};
constexpr int kStatusInternalError = 500;
constexpr std::string_view kProcessing = "HTTP/1.1 102 Processing\r\n\r\n";

}  // namespace

ServerSession::ServerSession(HttpServer* server, asio::ip::tcp::socket socket)
    : server_(server),
      stream_(std::move(socket)),
      read_timer_(stream_.get_executor()),
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
  if (unread_request_ && !disconnected_) {
    co_await DiscardRequest();
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
  if (!partial) return;
  AbortResponse();
  MarkDisconnected();
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
