#include "wisteriarill/connection/backend_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <istream>
#include <mutex>
#include <ostream>
#include <utility>

#include "wisteriarill/connection/http_fields.h"

namespace wisteriarill {
namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr nanoseconds kMaxIdleTime = seconds(2);
constexpr nanoseconds kConnectTimeout = milliseconds(500);
constexpr std::size_t kReadBufferSize = 32U << 10;

Poco::Timespan ToTimespan(nanoseconds duration) {
  return {std::max<std::int64_t>(1, ToMicros(duration))};
}

// Returns whether the backend server shed the request. The Backend-Not-Run
// header on a 503 states that the request did not run.
bool IsShed(const BackendResponse& backend_response) {
  return backend_response.status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
         FindHeader(backend_response.headers, kBackendNotRunHeader) != nullptr;
}

}  // namespace

// Makes the protected reconnect() accessible, so that a failure to connect,
// after which the request can't have run, differs from a later failure.
class BackendClient::Session : public Poco::Net::HTTPClientSession {
 public:
  explicit Session(const std::string& address)
      : HTTPClientSession(Poco::Net::SocketAddress(address)) {
    setKeepAlive(true);
    setKeepAliveTimeout(Poco::Timespan(3600, 0));
  }

  // Connects unless there is an open connection that is fit for reuse. A
  // connection is not reused if it was idle for too long, or if it is readable,
  // which means that it was closed or that unexpected bytes arrived.
  void Prepare(nanoseconds limit) {
    if (connected()) {
      const bool stale = BootClock::now() - last_used_ > kMaxIdleTime ||
                         socket().poll(0, Poco::Net::Socket::SELECT_READ);
      if (stale) reset();
    }
    if (connected()) return;
    setTimeout(ToTimespan(std::min(limit, kConnectTimeout)));
    reconnect();
    socket().setNoDelay(true);
  }

  void MarkUsed() { last_used_ = BootClock::now(); }

  void SetAbortable(bool abortable) {
    const std::lock_guard lock(mutex_);
    abortable_ = abortable;
  }

  void Abort() {
    const std::lock_guard lock(mutex_);
    if (!abortable_ || !connected()) return;
    try {
      socket().shutdown();
    } catch (const Poco::Exception&) {
      return;  // The connection is already closed.
    }
  }

 private:
  std::mutex mutex_;
  bool abortable_ = false;
  Instant last_used_ = kNever;
};

namespace {

// Sends the request body. Returns false if the body is incomplete or the
// connection failed.
bool SendBody(const BackendExchangeCallbacks& exchange, std::ostream& stream) {
  while (true) {
    const std::optional<std::string> piece = exchange.next_piece();
    if (!piece.has_value()) return false;
    if (piece->empty()) break;
    stream.write(piece->data(), static_cast<std::streamsize>(piece->size()));
    if (!stream.good()) return false;
  }
  stream.flush();
  return stream.good();
}

bool MayHaveBody(const std::string& method, std::uint16_t status) {
  return method != "HEAD" && status != HTTPResponse::HTTP_NO_CONTENT &&
         status != HTTPResponse::HTTP_NOT_MODIFIED;
}

BackendResponse ToBackendResponse(const HTTPResponse& response) {
  BackendResponse backend_response;
  backend_response.status = static_cast<std::uint16_t>(response.getStatus());
  backend_response.headers = EndToEndHeaders(response);
  if (response.hasContentLength()) {
    backend_response.body_length = response.getContentLength64();
  }
  const std::string* instance =
      FindHeader(backend_response.headers, kBackendInstanceHeader);
  if (instance != nullptr) backend_response.instance = *instance;
  return backend_response;
}

// Reads the response's body. Returns its length, or std::nullopt if on_body
// aborted the exchange.
std::optional<std::int64_t> ReadBody(std::istream& stream,
                                     const BackendExchangeCallbacks& exchange) {
  std::array<char, kReadBufferSize> buffer;
  std::int64_t total = 0;
  while (stream.good()) {
    stream.read(buffer.data(), buffer.size());
    const auto count = static_cast<std::size_t>(stream.gcount());
    total += static_cast<std::int64_t>(count);
    if (count > 0 && !exchange.on_body({buffer.data(), count})) {
      return std::nullopt;
    }
  }
  return total;
}

HTTPRequest ToHttpRequest(const BackendRequest& request) {
  HTTPRequest http(request.method, request.uri, "HTTP/1.1");
  for (const HeaderField& field : request.headers) {
    http.add(field.name, field.value);
  }
  if (request.body_length < 0) {
    http.setChunkedTransferEncoding(true);
  } else if (request.body_length > 0 || request.method == "POST" ||
             request.method == "PUT") {
    http.setContentLength64(request.body_length);
  }
  return http;
}

}  // namespace

BackendClient::BackendClient(const std::string& address)
    : session_(std::make_unique<Session>(address)) {}

BackendClient::~BackendClient() = default;

void BackendClient::Abort() { session_->Abort(); }

BackendExchangeResult BackendClient::Run(
    const BackendRequest& request, const BackendExchangeCallbacks& exchange) {
  BackendExchangeResult end;
  Session& session = *session_;
  try {
    session.Prepare(request.deadline - BootClock::now());
  } catch (const Poco::Exception&) {
    session.reset();
    end.result = BackendResult::kNotConnected;
    return end;
  }
  session.SetAbortable(true);
  bool reusable = false;
  try {
    const nanoseconds left = request.deadline - BootClock::now();
    session.setTimeout(ToTimespan(left));
    session.socket().setReceiveTimeout(ToTimespan(left));
    if (!exchange.confirm_send()) {
      session.SetAbortable(false);
      end.result = BackendResult::kWithdrawn;
      return end;
    }
    end.handed_over = true;
    HTTPRequest http = ToHttpRequest(request);
    std::ostream& out = session.sendRequest(http);
    if (SendBody(exchange, out)) {
      HTTPResponse response;
      std::istream& in = session.receiveResponse(response);
      const BackendResponse backend_response = ToBackendResponse(response);
      end.instance = backend_response.instance;
      if (IsShed(backend_response)) {
        end.result = BackendResult::kShed;
      } else if (exchange.on_response(backend_response)) {
        end.answered = true;
        const bool has_body =
            MayHaveBody(request.method, backend_response.status);
        const auto total =
            has_body ? ReadBody(in, exchange) : std::optional<std::int64_t>(0);
        // Poco reports the end of a truncated chunked body like a regular end.
        // The state of the connection tells them apart: it is readable only
        // if the backend server closed it, and it stays open after a complete
        // response.
        const bool truncated =
            total.has_value() && has_body &&
            (backend_response.body_length >= 0
                 ? *total != backend_response.body_length
                 : session.socket().poll(0, Poco::Net::Socket::SELECT_READ));
        end.complete = total.has_value() && !truncated;
        end.result =
            end.complete ? BackendResult::kAnswered : BackendResult::kBroken;
        reusable = end.complete && response.getKeepAlive();
      }
    }
  } catch (const Poco::TimeoutException&) {
    end.result = BackendResult::kTimedOut;
  } catch (const std::exception&) {
    end.result = BackendResult::kBroken;
  }
  session.SetAbortable(false);
  if (reusable) {
    session.MarkUsed();
  } else {
    session.reset();
  }
  return end;
}

}  // namespace wisteriarill
