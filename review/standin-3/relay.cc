#include "relay.h"

#include <sys/socket.h>

#include <string>
#include <thread>

namespace wisteriarill::review {
namespace {

constexpr std::size_t kPieceBytes = 16U << 10;

}  // namespace

Relay::Relay(const Endpoint& listen, const Endpoint& target)
    : listener_(Listen(listen)), target_(target) {
  std::thread([this] { AcceptLoop(); }).detach();
}

int Relay::SilenceOpenConnections() {
  const std::lock_guard lock(mutex_);
  int silenced = 0;
  for (const auto& connection : connections_) {
    if (connection->ended) continue;
    connection->silent = true;
    ++silenced;
  }
  return silenced;
}

void Relay::AcceptLoop() {
  for (;;) {
    auto connection = std::make_shared<Connection>();
    connection->client = Accept(listener_);
    if (!connection->client.is_open()) return;
    connection->server = Connect(target_);
    if (!connection->server.is_open()) continue;
    {
      const std::lock_guard lock(mutex_);
      connections_.push_back(connection);
    }
    std::thread([connection] { Forward(connection, true); }).detach();
    std::thread([connection] { Forward(connection, false); }).detach();
  }
}

void Relay::Forward(const std::shared_ptr<Connection>& connection,
                    bool to_server) {
  const Socket& from = to_server ? connection->client : connection->server;
  const Socket& to = to_server ? connection->server : connection->client;
  std::string piece(kPieceBytes, '\0');
  for (;;) {
    const ssize_t count = recv(from.handle(), piece.data(), piece.size(), 0);
    // A silent connection doesn't tell one end that the other has closed it.
    if (connection->silent) return;
    const bool sent =
        count > 0 &&
        SendAll(to, piece.substr(0, static_cast<std::size_t>(count)));
    if (!sent) break;
  }
  connection->ended = true;
  connection->client.Shutdown();
  connection->server.Shutdown();
}

}  // namespace wisteriarill::review
