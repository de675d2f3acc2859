/// \file
/// A network path between two machines, or between a machine and the store.
#ifndef WISTERIARILL_REVIEW_STANDIN_3_RELAY_H_
#define WISTERIARILL_REVIEW_STANDIN_3_RELAY_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

#include "net.h"

namespace wisteriarill::review {

/// Forwards TCP connections. Open connections can be silenced: they pass no
/// more bytes and aren't closed, while new ones work.
class Relay {
 public:
  Relay(const Endpoint& listen, const Endpoint& target);

  bool is_listening() const { return listener_.is_open(); }
  /// Silences the open connections; returns how many there were.
  int SilenceOpenConnections();

 private:
  struct Connection {
    Socket client;
    Socket server;
    std::atomic<bool> silent{false};
    std::atomic<bool> ended{false};
  };

  void AcceptLoop();
  static void Forward(const std::shared_ptr<Connection>& connection,
                      bool to_server);

  Socket listener_;
  Endpoint target_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_3_RELAY_H_
