/// \file
/// Items of tests whose values tell their stamps.
#ifndef WISTERIARILL_UNITTESTS_REGISTRY_MODEL_STAMPER_H_
#define WISTERIARILL_UNITTESTS_REGISTRY_MODEL_STAMPER_H_

#include <cstdio>
#include <string>

#include "wisteriarill/registry/registry_item.h"

namespace wisteriarill {

inline constexpr const char* kConfigKey = "config";

/// Reads values of the form "START SEQUENCE ADDRESS ...". Keys tell the kind:
/// "config", "servers/ID" or "out/DOMAIN".
class ModelStamper : public ItemStamper {
 public:
  ItemStamp Stamp(const RegistryItem& item) const override {
    ItemStamp stamp;
    if (item.key == kConfigKey) stamp.kind = ItemKind::kConfiguration;
    if (item.key.starts_with("out/")) stamp.kind = ItemKind::kEvacuation;
    if (item.key.starts_with("servers/")) stamp.kind = ItemKind::kServer;
    if (item.removed || stamp.kind == ItemKind::kEvacuation) return stamp;
    char address[32] = "";
    unsigned long long start = 0;
    unsigned long long sequence = 0;
    std::sscanf(item.value.c_str(), "%llu %llu %31s", &start, &sequence,
                address);
    stamp.start = start;
    stamp.sequence = sequence;
    stamp.address = address;
    return stamp;
  }
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_UNITTESTS_REGISTRY_MODEL_STAMPER_H_
