/// \file
/// A server for tests that answers requests with any bytes.
#ifndef WISTERIARILL_UNITTESTS_MESH_RAW_SERVER_H_
#define WISTERIARILL_UNITTESTS_MESH_RAW_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "wisteriarill/mesh/async.h"

namespace wisteriarill {

/// Accepts connections and calls `respond` for every request head that it
/// reads. Requests must have no body.
class RawServer {
 public:
  using Respond =
      std::function<Task<void>(asio::ip::tcp::socket*, std::string head)>;

  /// Listens on `port` of the loopback address `ip`; zero: on a free port.
  RawServer(asio::io_context* loop, const std::string& ip,
            std::uint16_t port = 0);

  /// Returns its "IP:port".
  std::string address() const;
  /// Returns the value of a header field in a request head.
  static std::string FieldOf(const std::string& head, const std::string& name);
  /// Writes all `bytes`; returns false if the client closed the connection.
  static Task<bool> Write(asio::ip::tcp::socket* socket, std::string bytes);

  Respond respond;
  int accepted = 0;
  int closed_by_client = 0;  ///< Connections that ended while it wrote or read.

 private:
  Task<void> AcceptLoop();
  Task<void> Serve(std::shared_ptr<asio::ip::tcp::socket> socket);

  asio::io_context* loop_;
  asio::ip::tcp::acceptor acceptor_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_UNITTESTS_MESH_RAW_SERVER_H_
