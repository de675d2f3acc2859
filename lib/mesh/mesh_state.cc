#include "wisteriarill/mesh/mesh_state.h"

#include <set>
#include <utility>

#include "wisteriarill/process/log.h"

namespace wisteriarill {

bool MeshState::Apply(const RegistryUpdate& update, Instant now) {
  bool servers_changed = !update.changed.empty() || !update.removed.empty();
  if (update.config) {
    config_ = update.config;
    std::set<std::string> services;
    for (const MeshService& service : config_->services())
      services.insert(service.name);
    servers_changed |= membership_.SetServices(std::move(services));
    LogEvent(LogLevel::kInfo, "config_in_force")
        .With("version", ToString(config_->version()))
        .With("routes", config_->routes().size())
        .With("workspaces", config_->workspaces().size());
  }
  for (const BackendEntry& entry : update.changed) membership_.Put(entry, now);
  for (const std::string& instance : update.removed) {
    membership_.Remove(instance, update.position, now);
  }
  if (update.evacuated) membership_.SetEvacuated(*update.evacuated);
  has_complete_list_ = has_complete_list_ || update.complete;
  return servers_changed;
}

std::string MeshState::DispatchRefusalReason(const MeshCall& call) const {
  const BackendEntry* entry = membership_.Find(call.instance);
  if (entry == nullptr) return "server-not-registered";
  if (entry->draining) return "server-draining";
  if (membership_.IsEvacuated(entry->failure_domain)) {
    return "failure-domain-out";
  }
  if (entry->service != call.service) return "other-service";
  return "";
}

CallerLimits MeshState::limits() const {
  return config_ ? config_->limits() : CallerLimits();
}

}  // namespace wisteriarill
