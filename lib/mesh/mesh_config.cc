#include "wisteriarill/mesh/mesh_config.h"

#include <utility>

#include "wisteriarill/process/hashing.h"

namespace wisteriarill {
namespace {

Error Invalid(const std::string& what) {
  return MakeError(ErrorKind::kInvalidConfiguration, what,
                   "publish a corrected configuration");
}

}  // namespace

Result<std::shared_ptr<const MeshConfig>> MeshConfig::Compile(
    MeshConfigParts parts) {
  auto config = std::make_shared<MeshConfig>();
  config->parts_ = std::move(parts);
  const Status indexed = config->Index();
  if (!indexed) return indexed.error();
  return std::shared_ptr<const MeshConfig>(std::move(config));
}

Status MeshConfig::Index() {
  for (std::size_t i = 0; i < parts_.services.size(); ++i) {
    const std::string& name = parts_.services[i].name;
    if (!services_.emplace(name, i).second) {
      return Invalid("service " + name + " is defined twice");
    }
  }
  for (std::size_t i = 0; i < parts_.workspaces.size(); ++i) {
    for (const std::string& digest : parts_.workspaces[i].key_digests) {
      if (!keys_.emplace(digest, i).second) {
        return Invalid("a key of workspace " + parts_.workspaces[i].name +
                       " is also a key of another workspace");
      }
    }
  }
  for (std::size_t i = 0; i < parts_.routes.size(); ++i) {
    const MeshRoute& route = parts_.routes[i];
    has_uploads_ = has_uploads_ || route.upload;
    if (route.targets.empty()) {
      return Invalid("route " + route.name + " has no target service");
    }
    for (const RouteTarget& target : route.targets) {
      if (services_.contains(target.service)) continue;
      return Invalid("route " + route.name +
                     " refers to the undefined service " + target.service);
    }
    if (!routes_[route.host].emplace(route.prefix, i).second) {
      return Invalid("route " + route.name +
                     " has the same host and prefix as another route");
    }
  }
  return OkStatus();
}

const MeshRoute* MeshConfig::FindRoute(std::string_view host,
                                       std::string_view path) const {
  const auto index = routes_.find(host);
  if (index == routes_.end()) return nullptr;
  // Prefixes end with a slash, so only parts of the path up to a slash can
  // match.
  std::size_t length = path.rfind('/');
  while (length != std::string_view::npos) {
    const auto found = index->second.find(path.substr(0, length + 1));
    if (found != index->second.end()) return &parts_.routes[found->second];
    if (length == 0) return nullptr;
    length = path.rfind('/', length - 1);
  }
  return nullptr;
}

const MeshService* MeshConfig::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &parts_.services[found->second];
}

const MeshWorkspace* MeshConfig::FindWorkspaceByKey(
    std::string_view key) const {
  const auto found = keys_.find(Sha256(key));
  return found == keys_.end() ? nullptr : &parts_.workspaces[found->second];
}

}  // namespace wisteriarill
