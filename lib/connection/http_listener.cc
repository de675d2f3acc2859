#include "wisteriarill/connection/http_listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <thread>
#include <utility>

namespace wisteriarill {
namespace {

constexpr int kBacklog = 512;
constexpr int kMinThreads = 2;
constexpr int kThreadIdleSeconds = 30;
constexpr int kStackSizeBytes = 256 * 1024;
constexpr nanoseconds kFreeThreadPollInterval = milliseconds(1);
const Poco::Timespan kAcceptTimeout(0, 50'000);
const Poco::Timespan kFinalAcceptTimeout(0, 20'000);

class FunctionHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit FunctionHandler(const HttpListener::Handler* handler)
      : handler_(handler) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    try {
      (*handler_)(request, response);
    } catch (const std::exception&) {
      response.setKeepAlive(false);  // The caller disconnected.
    }
  }

 private:
  const HttpListener::Handler* const handler_;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(const HttpListener::Handler* handler)
      : handler_(handler) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new FunctionHandler(handler_);  // Poco takes ownership.
  }

  // Closes idle connections. A connection that is serving a request is closed
  // after the request.
  void CloseIdleConnections() { serverStopped(this, false); }

 private:
  const HttpListener::Handler* const handler_;
};

// Serves one connection, then deletes itself.
class ConnectionTask : public Poco::Runnable {
 public:
  ConnectionTask(const Poco::Net::StreamSocket& socket,
                 const Poco::Net::HTTPServerParams::Ptr& params,
                 const Poco::Net::HTTPRequestHandlerFactory::Ptr& factory,
                 std::atomic<int>* running)
      : connection_(socket, params, factory), running_(running) {
    ++*running_;
  }
  ~ConnectionTask() override { --*running_; }

  void run() override {
    const std::unique_ptr<ConnectionTask> owned_self(this);
    try {
      connection_.run();
    } catch (const std::exception&) {
      return;  // The connection failed.
    }
  }

 private:
  Poco::Net::HTTPServerConnection connection_;
  std::atomic<int>* const running_;
};

Poco::Timespan ToTimespan(nanoseconds duration) { return {ToMicros(duration)}; }

}  // namespace

class HttpListener::Impl {
 public:
  Impl(HttpListenerOptions options, Handler handler)
      : options_(std::move(options)),
        handler_(std::move(handler)),
        factory_(new HandlerFactory(&handler_)),
        shared_factory_(factory_),
        params_(new Poco::Net::HTTPServerParams),
        threads_(kMinThreads, std::max(kMinThreads, options_.threads),
                 kThreadIdleSeconds, kStackSizeBytes) {
    params_->setKeepAlive(options_.keep_alive);
    params_->setMaxKeepAliveRequests(0);
    params_->setTimeout(ToTimespan(options_.request_timeout));
    params_->setKeepAliveTimeout(ToTimespan(options_.keep_alive_timeout));
  }

  ~Impl() { Stop(); }

  Status Start() {
    try {
      socket_.bind(Poco::Net::SocketAddress(options_.listen), true);
      socket_.listen(kBacklog);
    } catch (const Poco::Exception& error) {
      return MakeError(
          ErrorKind::kUnavailable,
          "cannot listen on " + options_.listen + ": " + error.displayText(),
          "set the listen address to a free IP:port of this VM");
    }
    address_ = socket_.address().toString();
    acceptor_ = std::thread([this] { Accept(); });
    return OkStatus();
  }

  const std::string& address() const { return address_; }

  void Stop() {
    if (!acceptor_.joinable()) return;
    stopping_ = true;
    acceptor_.join();
    while (socket_.poll(kFinalAcceptTimeout, Poco::Net::Socket::SELECT_READ)) {
      AcceptOne();
    }
    socket_.close();
    while (running_ > 0) {
      // Repeated, because a connection that was still being set up is not
      // notified the first time.
      factory_->CloseIdleConnections();
      std::this_thread::sleep_for(milliseconds(5));
    }
    threads_.joinAll();
  }

 private:
  void Accept() {
    while (!stopping_) {
      try {
        if (socket_.poll(kAcceptTimeout, Poco::Net::Socket::SELECT_READ)) {
          AcceptOne();
        }
      } catch (const Poco::Exception&) {
        continue;  // The caller disconnected before accept().
      }
    }
  }

  void AcceptOne() {
    // While no thread is free, connections wait in the kernel's backlog.
    while (threads_.available() == 0) {
      std::this_thread::sleep_for(kFreeThreadPollInterval);
    }
    Poco::Net::StreamSocket socket = socket_.acceptConnection();
    socket.setNoDelay(true);
    auto task = std::make_unique<ConnectionTask>(socket, params_,
                                                 shared_factory_, &running_);
    threads_.start(*task);
    static_cast<void>(task.release());  // The task deletes itself.
  }

  const HttpListenerOptions options_;
  const Handler handler_;
  HandlerFactory* const factory_;
  const Poco::Net::HTTPRequestHandlerFactory::Ptr shared_factory_;
  Poco::Net::HTTPServerParams::Ptr params_;
  Poco::Net::ServerSocket socket_;
  std::string address_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> running_{0};
  Poco::ThreadPool threads_;
  std::thread acceptor_;
};

HttpListener::HttpListener(HttpListenerOptions options, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(handler))) {}

HttpListener::~HttpListener() = default;

Status HttpListener::Start() { return impl_->Start(); }

std::string HttpListener::address() const { return impl_->address(); }

void HttpListener::Stop() { impl_->Stop(); }

}  // namespace wisteriarill
