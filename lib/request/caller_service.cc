#include "wisteriarill/request/caller_service.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>

#include "caller_handler.h"

namespace wisteriarill {
namespace {

constexpr int kBacklog = 512;
constexpr int kMostQueued = 512;
constexpr int kLeastThreads = 4;
constexpr int kThreadIdleSeconds = 30;
constexpr int kStackSize = 256 * 1024;
const Poco::Timespan kRequestTimeout(15, 0);
const Poco::Timespan kKeepAliveTimeout(30, 0);
const Poco::Timespan kAcceptPause(0, 20'000);

class CallerHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit CallerHandlerFactory(CallerContext* context) : context_(context) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new CallerHandler(context_);  // Poco owns it.
  }

 private:
  CallerContext* const context_;
};

}  // namespace

class CallerService::Impl {
 public:
  explicit Impl(CallerContext* context)
      : context_(context),
        threads_(kLeastThreads,
                 static_cast<int>(context->settings->caller_threads),
                 kThreadIdleSeconds, kStackSize) {}

  ~Impl() { Stop(); }

  Status Start() {
    const std::string& listen = context_->settings->caller_listen;
    try {
      socket_.bind(Poco::Net::SocketAddress(listen), true);
      socket_.listen(kBacklog);
    } catch (const Poco::Exception& error) {
      return MakeError(
          ErrorKind::kUnavailable,
          "cannot listen on " + listen + ": " + error.displayText(),
          "set caller_listen to a free address of this VM");
    }
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(static_cast<int>(context_->settings->caller_threads));
    params->setMaxQueued(kMostQueued);
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setTimeout(kRequestTimeout);
    params->setKeepAliveTimeout(kKeepAliveTimeout);
    Poco::Net::HTTPRequestHandlerFactory::Ptr factory(
        new CallerHandlerFactory(context_));
    server_ = std::make_unique<Poco::Net::HTTPServer>(factory, threads_,
                                                      socket_, params);
    server_->start();
    return OkStatus();
  }

  std::string address() const { return socket_.address().toString(); }

  void Stop() {
    if (server_ == nullptr) return;
    server_->stop();
    server_.reset();
    socket_.close();
    threads_.stopAll();
  }

 private:
  CallerContext* const context_;
  Poco::ThreadPool threads_;
  Poco::Net::ServerSocket socket_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

CallerService::CallerService(CallerContext* context)
    : impl_(std::make_unique<Impl>(context)) {}

CallerService::~CallerService() = default;

Status CallerService::Start() { return impl_->Start(); }

std::string CallerService::address() const { return impl_->address(); }

void CallerService::Stop() { impl_->Stop(); }

}  // namespace wisteriarill
