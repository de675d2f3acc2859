/// \file
/// A TCP relay whose open connections can go silent while new ones work.
#ifndef WISTERIARILL_REVIEW_STANDIN_2_RELAY_H_
#define WISTERIARILL_REVIEW_STANDIN_2_RELAY_H_

#include <atomic>
#include <cstdint>

#include "http.h"

namespace wisteriarill::review {

/// Forwards bytes between callers and one address. Thread-safe.
class Relay {
 public:
  /// Listens at `from` for ever and forwards to `to`.
  void Serve(const Address& from, const Address& to);
  /// Nothing passes any more over the connections that are open now. They stay
  /// open.
  void SilenceOpenConnections() { ++epoch_; }

 private:
  void Forward(Socket caller, const Address& to);

  std::atomic<std::uint64_t> epoch_{0};
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_2_RELAY_H_
