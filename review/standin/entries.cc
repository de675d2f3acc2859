#include "entries.h"

#include <functional>
#include <msgpack.hpp>

namespace wisteriarill::review {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

constexpr std::uint32_t kSlots = 64;
constexpr std::uint32_t kMaxConnections = 130;
constexpr std::uint64_t kVersion = 7;

void PackText(Packer* packer, const std::string& name,
              const std::string& value) {
  packer->pack(name);
  packer->pack(value);
}

/// Packs a resource and the head of its Spec map with `fields` entries.
void PackResource(Packer* packer, const std::string& type,
                  const std::string& name, std::uint32_t fields) {
  packer->pack_map(3);
  PackText(packer, "ResourceType", type);
  packer->pack("Metadata");
  packer->pack_map(1);
  PackText(packer, "Name", name);
  packer->pack("Spec");
  packer->pack_map(fields);
}

void PackRoute(Packer* packer, const std::string& service, bool open) {
  PackResource(packer, "Routes", "r-lookup", 9);
  PackText(packer, "Host", "shop.example");
  PackText(packer, "Prefix", "/lookup/");
  PackText(packer, "Kind", "idempotent");
  PackText(packer, "Timeout", "2500ms");
  PackText(packer, "Slo", "400ms");
  PackText(packer, "Service", service);
  packer->pack("Priority");
  packer->pack(2);
  packer->pack("Attempts");
  packer->pack(2);
  packer->pack("NoAuth");
  packer->pack(open);
}

void PackService(Packer* packer, const std::string& service) {
  PackResource(packer, "Services", service, 4);
  PackText(packer, "HealthPath", "/health");
  PackText(packer, "Cold", "0ms");
  packer->pack("MaxConns");
  packer->pack(kMaxConnections);
  packer->pack("ColdPerS");
  packer->pack(0.0);
}

void PackTenant(Packer* packer, const Tenant& tenant) {
  PackResource(packer, "Tenants", tenant.name, 3);
  packer->pack("ApiKeys");
  packer->pack_array(1);
  packer->pack(tenant.key);
  packer->pack("RatePerS");
  packer->pack(tenant.rate);
  packer->pack("Burst");
  packer->pack(tenant.burst);
}

void PackLimits(Packer* packer) {
  PackResource(packer, "Limits", "", 4);
  PackText(packer, "HeaderTimeout", "3000ms");
  PackText(packer, "IdleTimeout", "15000ms");
  packer->pack("MaxHeaderBytes");
  packer->pack(16384);
  packer->pack("MaxBodyBytes");
  packer->pack(67108864);
}

}  // namespace

std::string EncodeConfig(const std::string& service,
                         const std::vector<Tenant>& tenants, bool open) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_map(2);
  packer.pack("Version");
  packer.pack(kVersion);
  packer.pack("Resources");
  packer.pack_array(static_cast<std::uint32_t>(tenants.size()) + 3);
  PackRoute(&packer, service, open);
  PackService(&packer, service);
  for (const Tenant& tenant : tenants) PackTenant(&packer, tenant);
  PackLimits(&packer);
  return {buffer.data(), buffer.size()};
}

std::string EncodeServer(const std::string& service, const std::string& address,
                         const std::string& zone, std::uint64_t seq) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_map(8);
  PackText(&packer, "Service", service);
  PackText(&packer, "Addr", address);
  PackText(&packer, "Zone", zone);
  PackText(&packer, "Version", "v1");
  PackText(&packer, "State", "ready");
  PackText(&packer, "ColdLeft", "0ms");
  packer.pack("Slots");
  packer.pack(kSlots);
  packer.pack("Seq");
  packer.pack(seq);
  return {buffer.data(), buffer.size()};
}

}  // namespace wisteriarill::review
