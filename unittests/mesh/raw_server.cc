#include "raw_server.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <utility>

namespace wisteriarill {

RawServer::RawServer(asio::io_context* loop, const std::string& ip,
                     std::uint16_t port)
    : loop_(loop),
      acceptor_(*loop,
                asio::ip::tcp::endpoint(asio::ip::make_address_v4(ip), port)) {
  SpawnService(loop_, "raw-server", [this] { return AcceptLoop(); });
}

std::string RawServer::address() const {
  const auto endpoint = acceptor_.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::string RawServer::FieldOf(const std::string& head,
                               const std::string& name) {
  const std::size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

Task<bool> RawServer::Write(asio::ip::tcp::socket* socket, std::string bytes) {
  error_code error;
  co_await asio::async_write(*socket, asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

Task<void> RawServer::AcceptLoop() {
  for (;;) {
    auto socket = std::make_shared<asio::ip::tcp::socket>(*loop_);
    error_code error;
    co_await acceptor_.async_accept(
        *socket, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    ++accepted;
    SpawnTask(loop_, "raw-session", [this, socket] { return Serve(socket); });
  }
}

Task<void> RawServer::Serve(std::shared_ptr<asio::ip::tcp::socket> socket) {
  std::string received;
  for (;;) {
    error_code error;
    const std::size_t size = co_await asio::async_read_until(
        *socket, asio::dynamic_buffer(received), "\r\n\r\n",
        asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    const std::string head = received.substr(0, size);
    received.erase(0, size);
    co_await respond(socket.get(), head);
    if (!socket->is_open()) co_return;
  }
  ++closed_by_client;
}

}  // namespace wisteriarill
