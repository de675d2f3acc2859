#include "wisteriarill/process/operator_service.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <map>
#include <utility>

namespace wisteriarill {
namespace {

using Poco::Net::HTTPResponse;

constexpr int kThreads = 4;

class PageHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit PageHandler(const OperatorPages* pages) : pages_(pages) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const Poco::URI uri(request.getURI());
    const std::string& path = uri.getPath();
    if (path == "/status") {
      Send(response, "application/json", pages_->status());
    } else if (path == "/metrics") {
      Send(response, "text/plain", pages_->metrics());
    } else if (path == "/healthz") {
      Send(response, "text/plain", "ok\n");
    } else if (path == "/readyz") {
      const bool ready = pages_->ready();
      if (!ready) response.setStatus(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
      Send(response, "text/plain", ready ? "ready\n" : "not ready\n");
    } else if (path == "/explain") {
      std::map<std::string, std::string> query;
      for (const auto& [key, value] : uri.getQueryParameters()) {
        query[key] = value;
      }
      Send(response, "application/json",
           pages_->explain(query["method"], query["host"], query["path"]));
    } else {
      response.setStatus(HTTPResponse::HTTP_NOT_FOUND);
      Send(response, "text/plain",
           "see /status, /metrics, /healthz, /readyz or /explain\n");
    }
  }

 private:
  static void Send(Poco::Net::HTTPServerResponse& response,
                   const std::string& type, const std::string& body) {
    response.setReason(HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setContentType(type);
    response.sendBuffer(body.data(), body.size());
  }

  const OperatorPages* const pages_;
};

class PageHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit PageHandlerFactory(const OperatorPages* pages) : pages_(pages) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new PageHandler(pages_);  // Poco owns it.
  }

 private:
  const OperatorPages* const pages_;
};

}  // namespace

class OperatorService::Impl {
 public:
  Impl(std::string listen, OperatorPages pages)
      : listen_(std::move(listen)),
        pages_(std::move(pages)),
        threads_(1, kThreads) {}

  ~Impl() {
    if (server_ == nullptr) return;
    server_->stopAll(true);
    threads_.stopAll();
  }

  Status Start() {
    try {
      socket_.bind(Poco::Net::SocketAddress(listen_), true);
      socket_.listen();
    } catch (const Poco::Exception& error) {
      return MakeError(
          ErrorKind::kUnavailable,
          "cannot listen on " + listen_ + ": " + error.displayText(),
          "set operator_listen to a free address of this VM");
    }
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(kThreads);
    params->setKeepAlive(false);
    Poco::Net::HTTPRequestHandlerFactory::Ptr factory(
        new PageHandlerFactory(&pages_));
    server_ = std::make_unique<Poco::Net::HTTPServer>(factory, threads_,
                                                      socket_, params);
    server_->start();
    return OkStatus();
  }

  std::string address() const { return socket_.address().toString(); }

 private:
  const std::string listen_;
  const OperatorPages pages_;
  Poco::ThreadPool threads_;
  Poco::Net::ServerSocket socket_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

OperatorService::OperatorService(std::string listen, OperatorPages pages)
    : impl_(std::make_unique<Impl>(std::move(listen), std::move(pages))) {}

OperatorService::~OperatorService() = default;

Status OperatorService::Start() { return impl_->Start(); }

std::string OperatorService::address() const { return impl_->address(); }

}  // namespace wisteriarill
