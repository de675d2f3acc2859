/// \file
/// A TCP relay between nodes that injects link faults between pairs of IP
/// addresses.
#ifndef WISTERIARILL_STANDIN_LINK_RELAY_H_
#define WISTERIARILL_STANDIN_LINK_RELAY_H_

#include <memory>
#include <string>

#include "wisteriarill/process/error.h"

namespace wisteriarill {

/// A fault of the link between two IP addresses.
enum class LinkFault {
  kNone,
  kDisconnected,  ///< Open connections are closed, and new ones at once.
  kStalled,       ///< Open connections carry no more bytes; new ones work.
  kBlackHole,     ///< No connection carries bytes; new ones still open.
};

/// Listens on one address for each target and forwards bytes in both
/// directions. A node dials from its own IP address, so the relay knows the IP
/// addresses of both ends.
class LinkRelay {
 public:
  LinkRelay();
  ~LinkRelay();
  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  /// Opens a relay to `target` (IP:port, on the same IP) and returns its own
  /// IP:port.
  Result<std::string> Open(const std::string& target);
  /// Changes the target of a relay, for a node that listens on another port
  /// after a restart.
  void Retarget(const std::string& relay, const std::string& target);
  /// Sets the fault between two IP addresses, in both directions.
  void SetFault(const std::string& a, const std::string& b, LinkFault fault);
  /// Removes all faults. Connections that stopped carrying bytes stay stalled.
  void Heal();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_LINK_RELAY_H_
