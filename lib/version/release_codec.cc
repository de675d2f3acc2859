/// \file
/// Encodes and decodes manifests and chunks.
#include <algorithm>
#include <tuple>
#include <utility>

#include "wisteriarill/process/codec.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/version/release.h"

namespace wisteriarill {
namespace {

constexpr std::uint32_t kReleaseFormat = 1;

struct EntryRecord {
  std::uint8_t kind = 0;
  std::string name;
  std::string digest;
  MSGPACK_DEFINE(kind, name, digest)
};

struct ManifestRecord {
  std::uint32_t format = kReleaseFormat;
  std::uint64_t number = 0;
  std::vector<EntryRecord> entries;
  MSGPACK_DEFINE(format, number, entries)
};

struct DomainRecord {
  std::string name;
  std::string region;
  bool in = true;
  MSGPACK_DEFINE(name, region, in)
};

struct RouteRecord {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::vector<std::string> methods;
  std::string service;
  std::vector<std::string> workspaces;
  bool open = false;
  std::int8_t idempotent = -1;  // -1 if the method decides.
  std::int64_t timeout_ms = 0;  // 0 for the service's timeout.
  std::uint8_t call_class = 0;
  MSGPACK_DEFINE(name, host, path_prefix, methods, service, workspaces, open,
                 idempotent, timeout_ms, call_class)
};

struct MeshRecord {
  std::vector<DomainRecord> domains;
  std::vector<RouteRecord> routes;
  MSGPACK_DEFINE(domains, routes)
};

struct ServerRecord {
  std::string name;
  std::string failure_domain;
  std::string node;
  bool leaving = false;
  MSGPACK_DEFINE(name, failure_domain, node, leaving)
};

struct ServiceRecord {
  std::string name;
  std::uint32_t slots = 1;
  std::uint32_t cold_slots = 1;
  std::int64_t warmup_ms = 0;
  std::int64_t timeout_ms = 0;
  std::vector<ServerRecord> servers;
  MSGPACK_DEFINE(name, slots, cold_slots, warmup_ms, timeout_ms, servers)
};

struct WorkspaceRecord {
  std::string name;
  std::int64_t rate = 0;
  std::int64_t burst = 0;
  std::vector<std::string> key_digests;
  MSGPACK_DEFINE(name, rate, burst, key_digests)
};

RouteRecord ToRecord(const RouteSpec& route) {
  RouteRecord record{
      route.name,        route.host,
      route.path_prefix, route.methods,
      route.service,     route.workspaces,
      route.open,        /*idempotent=*/-1,
      /*timeout_ms=*/0,  static_cast<std::uint8_t>(route.call_class)};
  if (route.idempotent.has_value())
    record.idempotent = *route.idempotent ? 1 : 0;
  if (route.timeout.has_value()) record.timeout_ms = route.timeout->count();
  return record;
}

RouteSpec FromRecord(const RouteRecord& record) {
  RouteSpec route{record.name,
                  record.host,
                  record.path_prefix,
                  record.methods,
                  record.service,
                  record.workspaces,
                  record.open,
                  /*idempotent=*/{},
                  /*timeout=*/{},
                  static_cast<CallClass>(record.call_class),
                  {"release", "route " + record.name}};
  if (record.idempotent >= 0) route.idempotent = record.idempotent != 0;
  if (record.timeout_ms > 0) route.timeout = milliseconds(record.timeout_ms);
  return route;
}

MeshRecord ToRecord(const Deployment& deployment) {
  MeshRecord mesh;
  for (const FailureDomainSpec& domain : deployment.failure_domains) {
    mesh.domains.push_back({domain.name, domain.region, domain.in_service});
  }
  for (const RouteSpec& route : deployment.routes) {
    mesh.routes.push_back(ToRecord(route));
  }
  return mesh;
}

ServiceRecord ToRecord(const ServiceSpec& service) {
  ServiceRecord record{
      service.name,           service.slots,           service.cold_slots,
      service.warmup.count(), service.timeout.count(), {}};
  for (const ServerSpec& server : service.servers) {
    record.servers.push_back({server.name, server.failure_domain,
                              server.node_address, server.leaving});
  }
  return record;
}

void Append(const MeshRecord& mesh, Deployment* deployment) {
  for (const DomainRecord& domain : mesh.domains) {
    deployment->failure_domains.push_back(
        {domain.name,
         domain.region,
         domain.in,
         {"release", "failure_domain " + domain.name}});
  }
  for (const RouteRecord& route : mesh.routes) {
    deployment->routes.push_back(FromRecord(route));
  }
}

void Append(const ServiceRecord& record, Deployment* deployment) {
  ServiceSpec service{record.name,
                      record.slots,
                      record.cold_slots,
                      milliseconds(record.warmup_ms),
                      milliseconds(record.timeout_ms),
                      {},
                      {"release", "service " + record.name}};
  for (const ServerRecord& server : record.servers) {
    service.servers.push_back({server.name,
                               server.failure_domain,
                               server.node,
                               server.leaving,
                               {"release", "server " + server.name}});
  }
  deployment->services.push_back(std::move(service));
}

void Append(const WorkspaceRecord& record, Deployment* deployment) {
  deployment->workspaces.push_back({record.name,
                                    record.rate,
                                    record.burst,
                                    record.key_digests,
                                    {"release", "workspace " + record.name}});
}

template <typename Record>
Status AppendChunk(std::string_view bytes, const std::string& expected_name,
                   Deployment* deployment) {
  const Result<Record> record = DecodeRecord<Record>(bytes);
  if (!record) return record.error();
  if constexpr (!std::is_same_v<Record, MeshRecord>) {
    if (record.value().name != expected_name) {
      return MakeError(
          ErrorKind::kInvalidRelease,
          "chunk for " + expected_name + " describes " + record.value().name,
          "pack and publish the release again");
    }
  }
  Append(record.value(), deployment);
  return OkStatus();
}

Status AppendEntry(const ManifestEntry& entry, std::string_view bytes,
                   Deployment* deployment) {
  switch (entry.kind) {
    case ChunkKind::kMesh:
      return AppendChunk<MeshRecord>(bytes, entry.name, deployment);
    case ChunkKind::kService:
      return AppendChunk<ServiceRecord>(bytes, entry.name, deployment);
    case ChunkKind::kWorkspace:
      return AppendChunk<WorkspaceRecord>(bytes, entry.name, deployment);
  }
  return MakeError(ErrorKind::kInvalidRelease, "chunk has an unknown kind",
                   "pack the release with this version's wisteriactl");
}

class Packer {
 public:
  void Add(ChunkKind kind, const std::string& name, std::string bytes) {
    if (bytes.size() > kMaxValueSize && !too_large_.has_value()) {
      too_large_ =
          MakeError(ErrorKind::kTooLarge, "chunk \"" + name + "\" exceeds 1 MB",
                    "split the service or shorten its entries");
    }
    std::string digest = Sha256(bytes);
    manifest_.entries.push_back({kind, name, digest});
    release_.chunks[std::move(digest)] = std::move(bytes);
  }

  Result<Release> Finish(std::uint64_t number) {
    if (too_large_.has_value()) return *too_large_;
    manifest_.number = number;
    std::sort(manifest_.entries.begin(), manifest_.entries.end(),
              [](const ManifestEntry& a, const ManifestEntry& b) {
                return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
              });
    release_.manifest = EncodeManifest(manifest_);
    if (release_.manifest.size() > kMaxValueSize) {
      return MakeError(ErrorKind::kTooLarge, "the manifest exceeds 1 MB",
                       "describe fewer services and workspaces");
    }
    return std::move(release_);
  }

 private:
  Manifest manifest_;
  Release release_;
  std::optional<Error> too_large_;
};

}  // namespace

std::string EncodeManifest(const Manifest& manifest) {
  ManifestRecord record;
  record.number = manifest.number;
  for (const ManifestEntry& entry : manifest.entries) {
    record.entries.push_back(
        {static_cast<std::uint8_t>(entry.kind), entry.name, entry.digest});
  }
  return EncodeRecord(record);
}

Result<Manifest> DecodeManifest(std::string_view bytes) {
  Result<ManifestRecord> decoded = DecodeRecord<ManifestRecord>(bytes);
  if (!decoded) return decoded.error();
  ManifestRecord& record = decoded.value();
  if (record.format != kReleaseFormat) {
    return MakeError(ErrorKind::kUnsupportedFormat,
                     "manifest format " + std::to_string(record.format) +
                         " is not supported",
                     "pack the release with this version's wisteriactl");
  }
  Manifest manifest{record.number, {}};
  manifest.entries.reserve(record.entries.size());
  for (EntryRecord& entry : record.entries) {
    const bool known =
        entry.kind <= static_cast<std::uint8_t>(ChunkKind::kWorkspace);
    if (!known || entry.digest.size() != kDigestSize) {
      return MakeError(ErrorKind::kInvalidRelease,
                       "manifest has an invalid entry",
                       "pack and publish the release again");
    }
    manifest.entries.push_back({static_cast<ChunkKind>(entry.kind),
                                std::move(entry.name),
                                std::move(entry.digest)});
  }
  return manifest;
}

Result<Release> PackDeployment(const Deployment& deployment) {
  Packer packer;
  packer.Add(ChunkKind::kMesh, "", EncodeRecord(ToRecord(deployment)));
  for (const ServiceSpec& service : deployment.services) {
    packer.Add(ChunkKind::kService, service.name,
               EncodeRecord(ToRecord(service)));
  }
  for (const WorkspaceSpec& workspace : deployment.workspaces) {
    const WorkspaceRecord record{workspace.name, workspace.rate,
                                 workspace.burst, workspace.key_digests};
    packer.Add(ChunkKind::kWorkspace, workspace.name, EncodeRecord(record));
  }
  return packer.Finish(deployment.number);
}

Result<Deployment> UnpackDeployment(
    const Manifest& manifest,
    const std::map<std::string, std::string, std::less<>>& chunks) {
  Deployment deployment;
  deployment.number = manifest.number;
  for (const ManifestEntry& entry : manifest.entries) {
    const auto chunk = chunks.find(entry.digest);
    if (chunk == chunks.end()) {
      return MakeError(ErrorKind::kInvalidRelease,
                       "chunk " + ToHex(entry.digest) + " is missing",
                       "publish all chunks before the manifest");
    }
    const Status appended = AppendEntry(entry, chunk->second, &deployment);
    if (!appended) return appended.error();
  }
  return deployment;
}

}  // namespace wisteriarill
