/// \file
/// A complete node: everything that the daemon beside one backend server runs.
#ifndef WISTERIARILL_PROCESS_NODE_H_
#define WISTERIARILL_PROCESS_NODE_H_

#include <memory>
#include <string>

#include "wisteriarill/process/error.h"
#include "wisteriarill/process/node_settings.h"

namespace wisteriarill {

/// Accepts calls from callers, forwards them to the nodes beside suitable
/// backend servers, and runs calls of other nodes at its own backend server.
class Node {
 public:
  explicit Node(NodeSettings settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts all components and listens on the caller, peer and operator
  /// addresses.
  Status Start();
  /// Drains the node before a planned shutdown: tells peers and callers that it
  /// is leaving, finishes running calls, and returns when none is left or the
  /// drain limit has passed.
  void Drain();

  /// Return the bound addresses as IP:port; valid after Start() succeeded.
  std::string caller_address() const;
  std::string peer_address() const;
  std::string operator_address() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_NODE_H_
