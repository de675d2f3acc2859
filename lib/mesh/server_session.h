/// \file
/// One connection of an HttpServer.
#ifndef WISTERIARILL_LIB_MESH_SERVER_SESSION_H_
#define WISTERIARILL_LIB_MESH_SERVER_SESSION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

#include "wisteriarill/mesh/http_server.h"

namespace wisteriarill {

/// Reads requests from one connection and writes their responses.
class ServerSession : public ServerExchange,
                      public std::enable_shared_from_this<ServerSession> {
 public:
  ServerSession(HttpServer* server, asio::ip::tcp::socket socket);
  ~ServerSession() override;

  /// Serves requests until the connection is closed.
  Task<void> Run();
  /// Returns whether bytes have arrived that were not read yet.
  bool HasUnreadBytes() { return Peek() > 0; }
  /// Closes the connection if no request runs on it.
  void CloseIfIdle();

  HttpRequest& request() override { return request_; }
  Instant received() const override { return received_; }
  Instant head_received() const override { return head_received_; }
  bool client_disconnected() const override { return disconnected_; }
  bool CheckDisconnected() override;
  void OnDisconnect(std::function<void()> callback) override;
  bool response_started() const override { return response_started_; }
  void SendInterimResponse() override;
  void CloseAfterResponse() override { close_after_response_ = true; }
  Task<bool> Begin(HttpResponseHead head) override;
  Task<bool> Write(std::string_view piece) override;
  Task<bool> Finish() override;
  void AbortResponse() override;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  class ReadTimeout;

  void ArmReadTimer(nanoseconds timeout);
  /// Waits for the first bytes of a request. Returns false if the connection
  /// ended or was idle for too long.
  Task<bool> WaitForRequest();
  Task<bool> ReadRequest();
  Task<bool> ReadHead(Parser* parser, const CallerLimits& limits);
  Task<error_code> ParseHead(Parser* parser, nanoseconds limit);
  /// Lets a client that waits for permission send its body, once that may be
  /// sent. Otherwise refuses the request and returns false.
  Task<bool> PermitBody(Parser* parser);
  /// Reads the rest of the request. Returns false if it could not be read or
  /// doesn't fit into memory.
  Task<bool> ReadBody(Parser* parser);
  /// Sets whether the body fits into the memory for bodies.
  Task<error_code> ParseBody(Parser* parser, bool* fits);
  /// Returns the status to send after `error`, or zero if nothing is sent.
  int ReadErrorStatus(const boost::system::error_code& error) const;
  Task<void> Refuse(int status);
  /// Ends the sending side, and reads what the client still sends of a refused
  /// request.
  Task<void> DiscardRequest();
  Task<void> Serve();
  /// Ends the exchange after an exception of its handler.
  Task<void> EndAfterFailure();
  bool TakeRequest(Parser* parser);
  void WatchForClose();
  void OnReadable();
  /// Result of Peek if the connection is open and has no data.
  static constexpr ssize_t kWouldBlock = -2;

  /// Looks for a byte without reading it. Returns as recv does, or kWouldBlock
  /// if the connection is open and there is none.
  ssize_t Peek();
  void MarkDisconnected();
  Task<bool> Flush(std::string_view piece);

  HttpServer* server_;
  boost::beast::tcp_stream stream_;
  asio::steady_timer read_timer_;
  std::uint64_t read_timer_id_ = 0;  ///< Of the timer that was started last.
  bool read_timed_out_ = false;
  boost::beast::flat_buffer buffer_;
  HttpRequest request_;
  MemoryReservation body_memory_;  ///< For the body, until the request ends.
  Instant received_ = kNever;
  Instant head_received_ = kNever;
  std::function<void()> on_disconnect_;
  std::string pending_head_;  ///< Serialized response head that isn't sent yet.
  bool waiting_for_close_ = false;
  bool active_ = false;
  bool disconnected_ = false;
  bool response_started_ = false;
  bool aborted_ = false;
  bool chunked_ = false;
  bool bodyless_ = false;  ///< The response has no body: HEAD, 204, 304.
  bool close_after_response_ = false;
  bool unread_request_ = false;  ///< A request was refused before its end.
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_LIB_MESH_SERVER_SESSION_H_
