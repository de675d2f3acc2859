#include "wisteriarill/mesh/mesh_state.h"

#include "wisteriarill/process/log.h"

namespace wisteriarill {

void MeshState::Apply(const RegistryUpdate& update, Instant now) {
  if (update.config) {
    config_ = update.config;
    LogEvent(LogLevel::kInfo, "config_in_force")
        .With("version", ToString(config_->version()))
        .With("routes", config_->routes().size())
        .With("workspaces", config_->workspaces().size());
  }
  for (const BackendEntry& entry : update.changed) membership_.Put(entry, now);
  for (const std::string& instance : update.removed) {
    membership_.Remove(instance, update.revision, now);
  }
  if (update.evacuated) membership_.SetEvacuated(*update.evacuated);
  has_complete_list_ = has_complete_list_ || update.complete;
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
