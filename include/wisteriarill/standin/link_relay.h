/// \file
/// A TCP relay between nodes, with faults by pair of addresses.
#ifndef WISTERIARILL_STANDIN_LINK_RELAY_H_
#define WISTERIARILL_STANDIN_LINK_RELAY_H_

#include <memory>
#include <string>

#include "wisteriarill/process/error.h"

namespace wisteriarill {

/// What happens to bytes between two IP addresses.
enum class LinkFault {
  kNone,
  kDisconnected,  ///< Connections are refused and open ones reset.
  kStalled,       ///< Open connections carry nothing more; new ones work.
  kBlackHole,     ///< Nothing is carried on any connection.
};

/// Listens on one address for each target and passes bytes on. A node dials
/// from its own IP address, so the relay knows both ends.
class LinkRelay {
 public:
  LinkRelay();
  ~LinkRelay();
  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  /// Opens a relay to `target` (IP:port, on the same IP) and returns its own
  /// IP:port.
  Result<std::string> Open(const std::string& target);
  /// Sets the target of a relay again, for a node that was started anew.
  void Retarget(const std::string& relay, const std::string& target);
  /// Sets the fault between two IP addresses, in both directions.
  void SetFault(const std::string& a, const std::string& b, LinkFault fault);
  /// Ends all faults; connections that went silent stay so.
  void Heal();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_LINK_RELAY_H_
