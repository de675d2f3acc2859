/// \file
/// A stand-in for an upstream: answers each request after a fixed work time,
/// and logs the requests that it runs.
/// Usage: review_upstream IP:PORT INSTANCE WORK_MS PIECES BODY_BYTES LOG
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <thread>

#include "net.h"

namespace wisteriarill::review {
namespace {

struct Options {
  Endpoint endpoint;
  std::string instance;
  milliseconds work{0};
  /// Number of parts in which an answer is sent, evenly over the work time.
  int pieces = 1;
  std::size_t body_bytes = 0;
  std::string log;
};

Options ParseOptions(char** argv) {
  Options options;
  options.endpoint = ParseEndpoint(argv[1]);
  options.instance = argv[2];
  options.work = milliseconds(std::atoi(argv[3]));
  options.pieces = std::atoi(argv[4]);
  options.body_bytes = std::strtoul(argv[5], nullptr, 10);
  options.log = argv[6];
  return options;
}

class Upstream {
 public:
  explicit Upstream(const Options& options)
      : options_(options),
        listener_(Listen(options.endpoint)),
        log_(options.log, std::ios::app) {}

  bool is_listening() const { return listener_.is_open(); }

  void Run() {
    for (;;) {
      Socket socket = Accept(listener_);
      if (!socket.is_open()) return;
      std::thread([this, accepted = std::move(socket)]() mutable {
        Serve(std::move(accepted));
      }).detach();
    }
  }

 private:
  void Serve(Socket socket) {
    HttpReader reader(&socket);
    while (const auto request = reader.Read()) {
      if (!Answer(socket, *request)) return;
    }
  }

  bool Answer(const Socket& socket, const HttpMessage& request) {
    if (request.Target() == "/health") return SendHealth(socket);
    const std::string expected = request.Field("Wisteriarill-Expect-Instance");
    const bool misdirected = !expected.empty() && expected != options_.instance;
    if (misdirected) return SendMisdirected(socket, request);
    LogRun(request);
    return SendAnswer(socket, request);
  }

  bool SendHealth(const Socket& socket) const {
    return SendAll(socket, "HTTP/1.1 200 OK\r\nWisteriarill-Instance-Id: " +
                               options_.instance +
                               "\r\nWisteriarill-Server-Load: 0,0,12\r\n"
                               "Content-Length: 0\r\n\r\n");
  }

  bool SendMisdirected(const Socket& socket, const HttpMessage& request) const {
    return SendAll(socket,
                   "HTTP/1.1 421 Misdirected Request\r\n"
                   "Wisteriarill-Instance-Id: " +
                       options_.instance + "\r\nWisteriarill-Attempt-Id: " +
                       request.Field("Wisteriarill-Attempt-Id") +
                       "\r\nContent-Length: 0\r\n\r\n");
  }

  bool SendAnswer(const Socket& socket, const HttpMessage& request) const {
    const std::string id = request.Field("Wisteriarill-Attempt-Id");
    std::string next =
        "HTTP/1.1 200 OK\r\nWisteriarill-Attempt-Id: " + id +
        "\r\nWisteriarill-Response-Sig: sig." + id +
        "\r\nContent-Length: " + std::to_string(options_.body_bytes) +
        "\r\n\r\n";
    const std::size_t pieces = static_cast<std::size_t>(options_.pieces);
    for (std::size_t i = 0; i < pieces; ++i) {
      std::this_thread::sleep_for(options_.work / options_.pieces);
      const std::size_t begin = options_.body_bytes * i / pieces;
      const std::size_t end = options_.body_bytes * (i + 1) / pieces;
      next.append(end - begin, 'b');
      if (!SendAll(socket, next)) return false;
      next.clear();
    }
    return true;
  }

  void LogRun(const HttpMessage& request) {
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
        Clock::now().time_since_epoch());
    const std::lock_guard lock(log_mutex_);
    log_ << now.count() << ' ' << request.Field("Wisteriarill-Attempt-Id")
         << ' ' << options_.instance << std::endl;
  }

  const Options options_;
  Socket listener_;
  std::mutex log_mutex_;
  std::ofstream log_;
};

}  // namespace
}  // namespace wisteriarill::review

int main(int argc, char** argv) {
  constexpr int kArguments = 7;
  if (argc != kArguments) {
    std::fprintf(stderr,
                 "usage: review_upstream IP:PORT INSTANCE WORK_MS PIECES "
                 "BODY_BYTES LOG\n");
    return 2;
  }
  using wisteriarill::review::ParseOptions;
  using wisteriarill::review::Upstream;
  Upstream upstream(ParseOptions(argv));
  if (!upstream.is_listening()) return 2;
  upstream.Run();
}
