#include "wisteriarill/version/explanation.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/metrics.h"

namespace wisteriarill {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int kIndent = 2;

Object OrderedObject() { return Object(Poco::JSON_PRESERVE_KEY_ORDER); }

Array ServersArray(const Snapshot& snapshot, const Service& service) {
  Array servers;
  for (const ServerId id : service.servers) {
    const Server& server = snapshot.server(id);
    const FailureDomain& domain = snapshot.failure_domain(server.domain);
    Object object = OrderedObject();
    object.set("name", server.name);
    object.set("failure_domain", domain.name);
    object.set("in_service", domain.in_service && !server.leaving);
    servers.add(object);
  }
  return servers;
}

// Describes whether the key may use the route, with the HTTP status that a
// caller would get if not.
std::string DescribeAccess(const Snapshot& snapshot, const Route& route,
                           const std::string& key_digest) {
  if (route.open) return "open to all";
  std::string raw;
  if (key_digest.empty()) return "needs a key";
  if (!FromHex(key_digest, &raw)) return "the key digest is not hexadecimal";
  const auto workspace = snapshot.FindWorkspaceByKey(raw);
  if (!workspace.has_value()) return "401, the key is not known";
  const std::string& name = snapshot.workspace(*workspace).name;
  if (!route.Allows(*workspace)) {
    return "403, workspace " + name + " may not use the route";
  }
  return "runs for workspace " + name;
}

void AddRoute(const Snapshot& snapshot, const Route& route,
              const ExplainedRequest& request, Object* object) {
  object->set("verdict", DescribeAccess(snapshot, route, request.key_digest));
  object->set("route", route.name);
  object->set("class", std::string(ToString(route.call_class)));
  object->set("idempotent", route.IsIdempotent(request.method));
  object->set("timeout_ms", static_cast<Poco::Int64>(route.timeout.count()));
  Array workspaces;
  for (const WorkspaceId id : route.workspaces) {
    workspaces.add(snapshot.workspace(id).name);
  }
  object->set("workspaces", workspaces);
  const Service& service = snapshot.service(route.service);
  object->set("service", service.name);
  object->set("servers", ServersArray(snapshot, service));
}

}  // namespace

std::string RenderExplanation(const Snapshot* snapshot,
                              const ExplainedRequest& request) {
  Object object = OrderedObject();
  if (snapshot == nullptr) {
    object.set("verdict", "503, no version is in force");
  } else {
    object.set("version", ToString(snapshot->version()));
    const Route* route =
        snapshot->FindRoute(request.host, request.path, request.method);
    if (route == nullptr) {
      object.set("verdict", "404, no route matches");
    } else {
      AddRoute(*snapshot, *route, request, &object);
    }
  }
  std::ostringstream text;
  object.stringify(text, kIndent);
  text << "\n";
  return text.str();
}

}  // namespace wisteriarill
