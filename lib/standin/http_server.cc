#include "wisteriarill/standin/http_server.h"

#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <csignal>
#include <utility>

namespace wisteriarill {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

std::unique_ptr<HttpListener> MakeStandinServer(const std::string& listen,
                                                int threads,
                                                HttpListener::Handler handler) {
  HttpListenerOptions options;
  options.listen = listen;
  options.threads = threads;
  options.keep_alive_timeout = seconds(60);
  return std::make_unique<HttpListener>(options, std::move(handler));
}

std::map<std::string, std::string> QueryParameters(
    const Poco::Net::HTTPServerRequest& request) {
  std::map<std::string, std::string> query;
  for (const auto& [key, value] :
       Poco::URI(request.getURI()).getQueryParameters()) {
    query[key] = value;
  }
  return query;
}

std::int64_t IntegerParameter(const std::map<std::string, std::string>& query,
                              const std::string& key, std::int64_t fallback) {
  const auto found = query.find(key);
  Poco::Int64 number = 0;
  if (found == query.end()) return fallback;
  if (!Poco::NumberParser::tryParse64(found->second, number)) return fallback;
  return number;
}

void SendText(Poco::Net::HTTPServerResponse& response, int status,
              const std::string& text, const std::string& type) {
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentType(type);
  response.sendBuffer(text.data(), text.size());
}

std::string ReadRequestBody(Poco::Net::HTTPServerRequest& request) {
  std::string body;
  Poco::StreamCopier::copyToString(request.stream(), body);
  return body;
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

}  // namespace wisteriarill
