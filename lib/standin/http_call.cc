#include "wisteriarill/standin/http_call.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>

#include <sstream>

#include "wisteriarill/connection/http_fields.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kRequestTimeout = seconds(5);

}  // namespace

HttpConnection::HttpConnection(const std::string& address, nanoseconds timeout)
    : session_(std::make_unique<Poco::Net::HTTPClientSession>(
          Poco::Net::SocketAddress(address))) {
  session_->setKeepAlive(true);
  session_->setTimeout(Poco::Timespan(ToMicros(timeout)));
}

HttpConnection::~HttpConnection() = default;

HttpCallResult HttpConnection::Call(const HttpCall& call) {
  try {
    return CallOnce(call);
  } catch (const Poco::Exception& error) {
    session_->reset();
    HttpCallResult result;
    result.failure = error.displayText();
    return result;
  }
}

HttpCallResult HttpConnection::CallOnce(const HttpCall& call) {
  // An idle connection is readable if the server has closed it. Open a new one
  // then, because a request on the old one would fail.
  if (session_->connected() &&
      session_->socket().poll(0, Poco::Net::Socket::SELECT_READ)) {
    session_->reset();
  }
  Poco::Net::HTTPRequest request(call.method, call.path, "HTTP/1.1");
  request.setHost(call.host);
  if (!call.key.empty()) request.set("Authorization", "Bearer " + call.key);
  for (const auto& [name, value] : call.headers) request.set(name, value);
  const bool has_body = !call.body.empty() || call.method == "POST";
  if (has_body) {
    request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
  }
  session_->sendRequest(request) << call.body;
  Poco::Net::HTTPResponse response;
  std::istream& in = session_->receiveResponse(response);
  HttpCallResult result;
  Poco::StreamCopier::copyToString64(in, result.body);
  for (const auto& [name, value] : response) {
    result.headers[Poco::toLower(name)] = value;
  }
  result.outcome = response.get(kOutcomeHeader, "");
  result.request_id = response.get(kRequestIdHeader, "");
  // Poco reports no error for a body that ends early. After a truncated chunked
  // body the socket is readable, because the server has closed it.
  const bool truncated =
      call.method != "HEAD" &&
      (response.hasContentLength()
           ? static_cast<std::size_t>(response.getContentLength64()) !=
                 result.body.size()
           : response.getChunkedTransferEncoding() &&
                 session_->socket().poll(0, Poco::Net::Socket::SELECT_READ));
  if (truncated) {
    session_->reset();
    result.failure = "the response body is truncated";
    return result;
  }
  result.status = static_cast<int>(response.getStatus());
  if (!response.getKeepAlive()) session_->reset();
  return result;
}

std::string HttpGet(const std::string& address, const std::string& path) {
  HttpConnection connection(address, kRequestTimeout);
  HttpCall call;
  call.path = path;
  const HttpCallResult result = connection.Call(call);
  return result.status == 200 ? result.body : std::string();
}

bool HttpPut(const std::string& address, const std::string& path,
             const std::string& body) {
  HttpConnection connection(address, kRequestTimeout);
  HttpCall call;
  call.method = "PUT";
  call.path = path;
  call.body = body;
  return connection.Call(call).status == 200;
}

double FindMetric(const std::string& text, const std::string& name) {
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with(name + " ")) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return 0;
}

}  // namespace wisteriarill
