#include "wisteriarill/standin/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <csignal>
#include <utility>

namespace wisteriarill {
namespace {

constexpr int kBacklog = 512;
constexpr int kLeastThreads = 4;
constexpr int kIdleSeconds = 60;
constexpr int kStackSize = 256 * 1024;

class FunctionHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit FunctionHandler(const StandinServer::Handler* handler)
      : handler_(handler) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    try {
      (*handler_)(request, response);
    } catch (const std::exception&) {
      response.setKeepAlive(false);  // The caller went away.
    }
  }

 private:
  const StandinServer::Handler* const handler_;
};

class FunctionHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit FunctionHandlerFactory(const StandinServer::Handler* handler)
      : handler_(handler) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new FunctionHandler(handler_);  // Poco owns it.
  }

 private:
  const StandinServer::Handler* const handler_;
};

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

class StandinServer::Impl {
 public:
  Impl(std::string listen, int threads, Handler handler)
      : listen_(std::move(listen)),
        most_threads_(threads),
        handler_(std::move(handler)),
        threads_(kLeastThreads, threads, kIdleSeconds, kStackSize) {}

  ~Impl() { Stop(); }

  Status Start() {
    try {
      socket_.bind(Poco::Net::SocketAddress(listen_), true);
      socket_.listen(kBacklog);
    } catch (const Poco::Exception& error) {
      return MakeError(
          ErrorKind::kUnavailable,
          "cannot listen on " + listen_ + ": " + error.displayText(),
          "choose a free address with --listen");
    }
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(most_threads_);
    params->setMaxQueued(kBacklog);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setKeepAliveTimeout(Poco::Timespan(60, 0));
    Poco::Net::HTTPRequestHandlerFactory::Ptr factory(
        new FunctionHandlerFactory(&handler_));
    server_ = std::make_unique<Poco::Net::HTTPServer>(factory, threads_,
                                                      socket_, params);
    server_->start();
    return OkStatus();
  }

  std::string address() const { return socket_.address().toString(); }

  void Stop() {
    if (server_ == nullptr) return;
    server_->stopAll(true);
    server_.reset();
    threads_.stopAll();
  }

 private:
  const std::string listen_;
  const int most_threads_;
  const Handler handler_;
  Poco::ThreadPool threads_;
  Poco::Net::ServerSocket socket_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

StandinServer::StandinServer(std::string listen, int threads, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(listen), threads,
                                   std::move(handler))) {}

StandinServer::~StandinServer() = default;

Status StandinServer::Start() { return impl_->Start(); }

std::string StandinServer::address() const { return impl_->address(); }

void StandinServer::Stop() { impl_->Stop(); }

std::map<std::string, std::string> QueryOf(
    const Poco::Net::HTTPServerRequest& request) {
  std::map<std::string, std::string> query;
  for (const auto& [key, value] :
       Poco::URI(request.getURI()).getQueryParameters()) {
    query[key] = value;
  }
  return query;
}

std::int64_t NumberOf(const std::map<std::string, std::string>& query,
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

std::string ReadBodyOf(Poco::Net::HTTPServerRequest& request) {
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
