/// \file
/// The encoded form of a registry batch, in which nodes send it to each other.
#ifndef WISTERIARILL_REGISTRY_REGISTRY_BATCH_CODEC_H_
#define WISTERIARILL_REGISTRY_REGISTRY_BATCH_CODEC_H_

#include <string>
#include <string_view>

#include "wisteriarill/process/error.h"
#include "wisteriarill/registry/registry_item.h"

namespace wisteriarill {

std::string EncodeBatch(const RegistryBatch& batch);
/// Decodes a batch; returns kMalformedMessage for bytes that hold none.
Result<RegistryBatch> DecodeBatch(std::string_view bytes);

}  // namespace wisteriarill

#endif  // WISTERIARILL_REGISTRY_REGISTRY_BATCH_CODEC_H_
