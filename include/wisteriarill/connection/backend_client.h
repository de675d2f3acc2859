/// \file
/// One HTTP connection to the backend server, used by one worker.
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
  std::int64_t body_length = 0;  ///< -1: unknown.
  Instant deadline;
};

/// What a backend server answered, before its body.
struct BackendAnswer {
  std::uint16_t status = 0;
  std::vector<HeaderField> headers;
  std::int64_t body_length = -1;  ///< -1: unknown.
  std::string instance;           ///< Its life, if it tells.
};

/// What a worker does with a call. Each function returns false to give up.
struct BackendExchangeCallbacks {
  /// Called right before the first byte is sent; false if it may not run.
  std::function<bool()> confirm_send;
  /// Returns the next piece of the request body, empty at its end; nothing
  /// if the body broke off.
  std::function<std::optional<std::string>()> next_piece;
  std::function<bool(const BackendAnswer&)> on_answer;
  std::function<bool(std::string_view)> on_body;
};

/// How an exchange ended.
struct BackendExchangeResult {
  BackendResult result = BackendResult::kBroken;
  bool handed_over = false;  ///< Bytes may have reached the backend server.
  bool answered = false;     ///< on_answer was called.
  bool whole = false;        ///< The whole body was read.
  std::string instance;
};

class BackendClient {
 public:
  /// `address` is the IP:port of the backend server.
  explicit BackendClient(const std::string& address);
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  /// Sends a request once and reads its answer. Never sends it again.
  BackendExchangeResult Run(const BackendRequest& request,
                 const BackendExchangeCallbacks& exchange);
  /// Breaks the running exchange off, from another thread; the backend server
  /// takes a closed connection as a cancellation.
  void Abort();

 private:
  class Session;

  std::unique_ptr<Session> session_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_BACKEND_CLIENT_H_
