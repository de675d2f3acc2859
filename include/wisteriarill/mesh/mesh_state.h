/// \file
/// The configuration and the servers that calls are routed by, and whether the
/// node may serve.
#ifndef WISTERIARILL_MESH_MESH_STATE_H_
#define WISTERIARILL_MESH_MESH_STATE_H_

#include <memory>
#include <string>

#include "wisteriarill/mesh/backend_dispatcher.h"
#include "wisteriarill/mesh/membership.h"
#include "wisteriarill/mesh/mesh_config.h"
#include "wisteriarill/mesh/registry_synchronizer.h"

namespace wisteriarill {

/// Applies updates from the registry on the event loop's thread.
class MeshState : public DispatchCheck {
 public:
  explicit MeshState(const ProxySettings& settings) : settings_(settings) {}

  /// Applies an update. The registry's updates never replace a configuration by
  /// an older one. Returns whether the servers of the mesh may have changed.
  bool Apply(const RegistryUpdate& update, Instant now);
  /// Returns why `call` must not be sent to its backend server, or an empty
  /// string.
  std::string DispatchRefusalReason(const MeshCall& call) const override;

  const std::shared_ptr<const MeshConfig>& config() const { return config_; }
  Membership& membership() { return membership_; }
  const Membership& membership() const { return membership_; }
  /// Records that the registry is known to be up to date; see
  /// RegistrySynchronizer::SetConfirmed.
  void SetConfirmed() { confirmed_ = true; }
  bool confirmed() const { return confirmed_; }
  bool has_complete_list() const { return has_complete_list_; }
  /// Returns whether the configuration and the list of servers are known. What
  /// a stale read of the store returned is not served until it is confirmed: a
  /// key or a server in it may be gone.
  bool serving() const {
    return config_ != nullptr && has_complete_list_ && confirmed_;
  }
  CallerLimits limits() const;

 private:
  const ProxySettings& settings_;
  std::shared_ptr<const MeshConfig> config_;
  Membership membership_;
  bool has_complete_list_ = false;
  bool confirmed_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_MESH_STATE_H_
