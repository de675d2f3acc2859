#include "documents.h"

#include <msgpack.hpp>

namespace wisteriarill::review {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

std::string DurationText(milliseconds time) {
  return std::to_string(time.count()) + "ms";
}

void PackHead(Packer* packer, const char* type, const std::string& name) {
  packer->pack_map(3);
  packer->pack("ResourceType").pack(type);
  packer->pack("Metadata").pack_map(1);
  packer->pack("Name").pack(name);
  packer->pack("Spec");
}

void PackRoute(Packer* packer, const Route& route) {
  PackHead(packer, "Routes", route.name);
  packer->pack_map(9);
  packer->pack("Host").pack(kHost);
  packer->pack("Prefix").pack(route.prefix);
  packer->pack("Kind").pack(route.kind);
  packer->pack("Timeout").pack(DurationText(route.timeout));
  packer->pack("Slo").pack("400ms");
  packer->pack("Priority").pack(1);
  packer->pack("Service").pack(route.service);
  packer->pack("Attempts").pack(2);
  packer->pack("NoAuth").pack(route.open);
}

void PackService(Packer* packer, const std::string& name) {
  PackHead(packer, "Services", name);
  packer->pack_map(5);
  packer->pack("HealthPath").pack("/health");
  packer->pack("MaxConns").pack(130);
  packer->pack("Protocol").pack("h1");
  packer->pack("Tls").pack(false);
  packer->pack("Cold").pack("3s");
}

void PackTenant(Packer* packer, const Tenant& tenant) {
  PackHead(packer, "Tenants", tenant.name);
  packer->pack_map(4);
  packer->pack("ApiKeys").pack(tenant.keys);
  packer->pack("Priority").pack(1);
  packer->pack("RatePerS").pack(tenant.rate);
  packer->pack("Burst").pack(tenant.burst);
}

void PackLimits(Packer* packer) {
  PackHead(packer, "Limits", "");
  packer->pack_map(4);
  packer->pack("MaxHeaderBytes").pack(16384);
  packer->pack("MaxBodyBytes").pack(67108864);
  packer->pack("HeaderTimeout").pack("3000ms");
  packer->pack("IdleTimeout").pack("15000ms");
}

std::string ToBytes(const msgpack::sbuffer& buffer) {
  return {buffer.data(), buffer.size()};
}

}  // namespace

std::string Encode(const Configuration& configuration) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  const std::size_t resources = configuration.services.size() +
                                configuration.routes.size() +
                                configuration.tenants.size() + 1;
  packer.pack_map(2);
  packer.pack("Version").pack(configuration.version);
  packer.pack("Resources").pack_array(static_cast<std::uint32_t>(resources));
  for (const Route& route : configuration.routes) PackRoute(&packer, route);
  for (const std::string& service : configuration.services) {
    PackService(&packer, service);
  }
  for (const Tenant& tenant : configuration.tenants) {
    PackTenant(&packer, tenant);
  }
  PackLimits(&packer);
  return ToBytes(buffer);
}

std::string Encode(const UpstreamEntry& entry) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_map(9);
  packer.pack("Service").pack(entry.service);
  packer.pack("Addr").pack(entry.address);
  packer.pack("Zone").pack(entry.zone);
  packer.pack("Version").pack("v1");
  packer.pack("Slots").pack(entry.slots);
  packer.pack("State").pack("ready");
  packer.pack("ColdLeft").pack("0ms");
  packer.pack("Seq").pack(1);
  packer.pack("born").pack(std::uint64_t{1'760'000'000'000});
  return ToBytes(buffer);
}

std::string EncodeEmptyDocument() {
  msgpack::sbuffer buffer;
  Packer(buffer).pack_map(0);
  return ToBytes(buffer);
}

}  // namespace wisteriarill::review
