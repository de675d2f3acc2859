/// \file
/// A whole node: every duty of the daemon beside one backend server.
#ifndef WISTERIARILL_PROCESS_NODE_H_
#define WISTERIARILL_PROCESS_NODE_H_

#include <memory>
#include <string>

#include "wisteriarill/process/error.h"
#include "wisteriarill/process/node_settings.h"

namespace wisteriarill {

class Node {
 public:
  explicit Node(NodeSettings settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Starts every duty and listens on all three addresses.
  Status Start();
  /// Leaves as planned: tells peers and callers, finishes what runs, and
  /// returns when nothing is left or the drain limit has passed.
  void Drain();

  std::string caller_address() const;
  std::string peer_address() const;
  std::string operator_address() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_NODE_H_
