/// \file
/// HTTP client for the local backend server. Each worker thread has its own.
#ifndef WISTERIARILL_CONNECTION_BACKEND_CLIENT_H_
#define WISTERIARILL_CONNECTION_BACKEND_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/process/concurrency_limiter.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// A request to the backend server.
struct BackendRequest {
  std::string method;
  std::string uri;
  std::vector<HeaderField> headers;
  std::int64_t body_length = 0;  ///< -1 if unknown.
  Instant deadline;
};

/// Status and headers of a backend server's response.
struct BackendResponse {
  std::uint16_t status = 0;
  std::vector<HeaderField> headers;
  std::int64_t body_length = -1;  ///< -1 if unknown.
  /// Value of the Backend-Instance header, which changes when the backend
  /// server restarts. Empty if the backend server does not send it.
  std::string instance;
};

/// Callbacks for one exchange with the backend server. Those that return bool
/// return false to abort the exchange.
struct BackendExchangeCallbacks {
  /// Called right before the first byte is sent. Returns false if the request
  /// must not run, for example because it was cancelled.
  std::function<bool()> confirm_send;
  /// Returns the next piece of the request body, an empty string at its end,
  /// or std::nullopt if the rest of the body can't be obtained.
  std::function<std::optional<std::string>()> next_piece;
  std::function<bool(const BackendResponse&)> on_response;
  std::function<bool(std::string_view)> on_body;
};

/// How an exchange ended.
struct BackendExchangeResult {
  BackendResult result = BackendResult::kBroken;
  bool handed_over = false;  ///< Bytes may have reached the backend server.
  bool answered = false;     ///< on_response was called.
  bool complete = false;     ///< The whole body was read.
  std::string instance;
};

/// A connection to the backend server that is reused by successive exchanges.
class BackendClient {
 public:
  /// `address` is the backend server's IP:port.
  explicit BackendClient(const std::string& address);
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  /// Sends a request and reads its response. Never retries, because the request
  /// may have run.
  BackendExchangeResult Run(const BackendRequest& request,
                            const BackendExchangeCallbacks& exchange);
  /// Aborts the running exchange by shutting down the connection, which the
  /// backend server treats as a cancellation. May be called on any thread.
  void Abort();

 private:
  class Session;

  std::unique_ptr<Session> session_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_BACKEND_CLIENT_H_
