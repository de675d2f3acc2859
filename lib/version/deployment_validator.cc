/// \file
/// The checks that need the whole deployment: unique names and addresses,
/// references, and overlapping routes.
#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/version/deployment_parser.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr int kMaxPort = 65535;

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-.") ==
         std::string::npos;
}

class Validator {
 public:
  explicit Validator(const Deployment& deployment) : deployment_(deployment) {}

  std::vector<Diagnostic> Run() {
    CheckFailureDomains();
    CheckServices();
    CheckWorkspaces();
    CheckRoutes();
    return std::move(diagnostics_);
  }

 private:
  using NameSet = std::set<std::string>;

  void Report(const SourceLocation& at, const std::string& key,
              std::string message, std::string remedy) {
    diagnostics_.push_back(
        {at.file, at.key + "." + key, std::move(message), std::move(remedy)});
  }

  void CheckName(const SourceLocation& at, const std::string& name,
                 NameSet* names) {
    if (name.empty()) return;  // Reported by the parser.
    if (!IsName(name)) {
      Report(at, "name", "\"" + name + "\" is not a valid name",
             "use up to 63 of a-z, 0-9, '-' and '.'");
    }
    if (!names->insert(name).second) {
      Report(at, "name", "\"" + name + "\" is defined twice",
             "rename or remove one of the two");
    }
  }

  void CheckReference(const SourceLocation& at, const std::string& key,
                      const std::string& name, const NameSet& names) {
    if (name.empty() || names.count(name) > 0) return;
    Report(at, key, "\"" + name + "\" is not defined",
           "define it or correct the name");
  }

  void CheckFailureDomains() {
    for (const FailureDomainSpec& domain : deployment_.failure_domains) {
      CheckName(domain.source, domain.name, &domains_);
    }
  }

  void CheckServices() {
    NameSet servers;
    for (const ServiceSpec& service : deployment_.services) {
      CheckName(service.source, service.name, &services_);
      if (service.servers.empty()) {
        Report(service.source, "server", "has no backend server",
               "add [[service.server]] tables or remove the service");
      }
      for (const ServerSpec& server : service.servers) {
        CheckServer(server, &servers);
      }
    }
  }

  void CheckServer(const ServerSpec& server, NameSet* servers) {
    CheckName(server.source, server.name, servers);
    CheckReference(server.source, "failure_domain", server.failure_domain,
                   domains_);
    if (server.node_address.empty()) return;
    if (!IsIpAndPort(server.node_address)) {
      Report(server.source, "node",
             "\"" + server.node_address + "\" is not an IP:port",
             "write IP:port, for example \"10.0.0.7:7100\"");
    } else if (!addresses_.insert(server.node_address).second) {
      Report(server.source, "node",
             "\"" + server.node_address + "\" is used twice",
             "give the node of each backend server a different address");
    }
  }

  void CheckWorkspaces() {
    for (const WorkspaceSpec& workspace : deployment_.workspaces) {
      CheckName(workspace.source, workspace.name, &workspaces_);
      for (const std::string& digest : workspace.key_digests) {
        CheckKeyDigest(workspace, digest);
      }
    }
  }

  void CheckKeyDigest(const WorkspaceSpec& workspace,
                      const std::string& digest) {
    std::string raw;
    if (!FromHex(digest, &raw) || raw.size() != kDigestSize) {
      Report(workspace.source, "key_sha256",
             "has an element that is not a SHA-256 digest",
             "write 64 lower-case hexadecimal digits, never the key itself");
    } else if (!digests_.insert(digest).second) {
      Report(workspace.source, "key_sha256", "has a key that is used twice",
             "give each key to one workspace only");
    }
  }

  void CheckRoutes() {
    NameSet names;
    std::map<std::string, std::string> matches;
    for (const RouteSpec& route : deployment_.routes) {
      CheckName(route.source, route.name, &names);
      CheckReference(route.source, "service", route.service, services_);
      for (const std::string& workspace : route.workspaces) {
        CheckReference(route.source, "workspaces", workspace, workspaces_);
      }
      CheckRouteShape(route);
      CheckOverlap(route, &matches);
    }
  }

  void CheckRouteShape(const RouteSpec& route) {
    if (route.path_prefix.empty() || route.path_prefix.front() != '/') {
      Report(route.source, "path_prefix", "does not begin with '/'",
             "write an absolute path such as \"/booking\"");
    }
    if (route.open && !route.workspaces.empty()) {
      Report(route.source, "workspaces", "is set on a route open to all",
             "remove workspaces or open");
    }
    for (const std::string& method : route.methods) {
      if (!method.empty() &&
          method.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ-") ==
              std::string::npos) {
        continue;
      }
      Report(route.source, "methods",
             "\"" + method + "\" is not an HTTP method",
             "write HTTP methods in upper case");
    }
  }

  void CheckOverlap(const RouteSpec& route,
                    std::map<std::string, std::string>* matches) {
    std::vector<std::string> methods = route.methods;
    if (methods.empty()) methods.emplace_back("*");
    for (const std::string& method : methods) {
      const std::string match =
          route.host + " " + route.path_prefix + " " + method;
      const auto [found, added] = matches->emplace(match, route.name);
      if (added) continue;
      Report(route.source, "path_prefix",
             "matches the same requests as route \"" + found->second + "\"",
             "change host, path_prefix or methods of one of them");
    }
  }

  const Deployment& deployment_;
  std::vector<Diagnostic> diagnostics_;
  NameSet domains_;
  NameSet services_;
  NameSet workspaces_;
  NameSet addresses_;
  NameSet digests_;
};

}  // namespace

bool IsIpAndPort(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 == text.size()) return false;
  const std::string port = text.substr(colon + 1);
  if (port.find_first_not_of("0123456789") != std::string::npos) return false;
  if (port.size() > 5 || std::stoi(port) > kMaxPort) return false;
  Poco::Net::IPAddress address;
  return Poco::Net::IPAddress::tryParse(text.substr(0, colon), address);
}

std::vector<Diagnostic> ValidateDeployment(const Deployment& deployment) {
  return Validator(deployment).Run();
}

}  // namespace wisteriarill
