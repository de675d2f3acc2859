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

constexpr nanoseconds kTimeout = seconds(5);

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
    HttpCallResult reply;
    reply.failure = error.displayText();
    return reply;
  }
}

HttpCallResult HttpConnection::CallOnce(const HttpCall& call) {
  // A connection that the other side closed is replaced before use.
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
  HttpCallResult reply;
  Poco::StreamCopier::copyToString64(in, reply.body);
  for (const auto& [name, value] : response) {
    reply.headers[Poco::toLower(name)] = value;
  }
  reply.outcome = response.get(kOutcomeHeader, "");
  reply.request_id = response.get(kRequestIdHeader, "");
  const bool cut =
      call.method != "HEAD" &&
      (response.hasContentLength()
           ? static_cast<std::size_t>(response.getContentLength64()) !=
                 reply.body.size()
           : response.getChunkedTransferEncoding() &&
                 session_->socket().poll(0, Poco::Net::Socket::SELECT_READ));
  if (cut) {
    session_->reset();
    reply.failure = "answer was cut";
    return reply;
  }
  reply.status = static_cast<int>(response.getStatus());
  if (!response.getKeepAlive()) session_->reset();
  return reply;
}

std::string HttpGet(const std::string& address, const std::string& path) {
  HttpConnection connection(address, kTimeout);
  HttpCall call;
  call.path = path;
  const HttpCallResult reply = connection.Call(call);
  return reply.status == 200 ? reply.body : std::string();
}

bool HttpPut(const std::string& address, const std::string& path,
             const std::string& body) {
  HttpConnection connection(address, kTimeout);
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
