#include "wisteriarill/mesh/http_server.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "server_session.h"
#include "wisteriarill/mesh/http_client.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// Length of the listen backlog.
constexpr int kListenBacklog = 1024;
/// Delay after a failed accept, for example when the process is out of file
/// descriptors.
constexpr milliseconds kAcceptRetryDelay{20};

}  // namespace

Task<void> ServerExchange::SendResponse(int status, HttpFields fields,
                                        std::string body) {
  // GCC 12 destroys a braced aggregate in an awaited call twice, so use a named
  // variable.
  HttpResponseHead head;
  head.status = status;
  head.fields = std::move(fields);
  head.length = body.size();
  const bool started = co_await Begin(std::move(head));
  if (!started) co_return;
  if (!co_await Write(body)) co_return;
  co_await Finish();
}

HttpServer::HttpServer(asio::io_context* loop, RequestHandler* handler,
                       LimitsProvider limits)
    : loop_(loop),
      handler_(handler),
      limits_(std::move(limits)),
      acceptor_(*loop) {}

HttpServer::~HttpServer() = default;

Status HttpServer::Listen(const std::string& address) {
  const Result<asio::ip::tcp::endpoint> endpoint = ParseEndpoint(address);
  if (!endpoint) return endpoint.error();
  error_code error;
  acceptor_.open(asio::ip::tcp::v4(), error);
  if (!error) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) acceptor_.bind(endpoint.value(), error);
  if (!error) acceptor_.listen(kListenBacklog, error);
  if (error) {
    return MakeError(ErrorKind::kUnavailable,
                     "cannot listen on " + address + ": " + error.message(),
                     "choose an address of this VM that is free");
  }
  SpawnService(loop_, "accept", [this] { return AcceptLoop(); });
  return OkStatus();
}

Task<void> HttpServer::AcceptLoop() {
  for (;;) {
    error_code error;
    asio::ip::tcp::socket socket = co_await acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (!acceptor_.is_open()) co_return;
    if (error) {
      LogEvent(LogLevel::kWarning, "accept_failed")
          .With("error", error.message());
      co_await SleepFor(kAcceptRetryDelay);
      continue;
    }
    StartSession(std::move(socket));
  }
}

void HttpServer::StartSession(asio::ip::tcp::socket socket) {
  error_code ignored;  // This only tunes; a broken socket fails on read.
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto session = std::make_shared<ServerSession>(this, std::move(socket));
  SpawnTask(loop_, "server-session", [session] { return session->Run(); });
}

void HttpServer::StopListening() {
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(*loop_);
    acceptor_.accept(socket, error);
    if (!error) StartSession(std::move(socket));
  }
  if (error != asio::error::would_block) {
    LogEvent(LogLevel::kWarning, "accept_failed")
        .With("error", error.message());
  }
  acceptor_.close(error);
}

bool HttpServer::HasRequests() {
  return active_ > 0 || std::any_of(sessions_.begin(), sessions_.end(),
                                    [](ServerSession* session) {
                                      return session->HasUnreadBytes();
                                    });
}

void HttpServer::CloseIdle() {
  const std::set<ServerSession*> sessions = sessions_;
  for (ServerSession* session : sessions) session->CloseIfIdle();
}

std::uint16_t HttpServer::port() const {
  return acceptor_.local_endpoint().port();
}

}  // namespace wisteriarill
