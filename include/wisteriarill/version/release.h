/// \file
/// A release: a manifest that names content-addressed chunks. Each service
/// and each workspace is one chunk, so that a change ships alone.
#ifndef WISTERIARILL_VERSION_RELEASE_H_
#define WISTERIARILL_VERSION_RELEASE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriarill/process/error.h"
#include "wisteriarill/version/deployment.h"

namespace wisteriarill {

/// The largest value the platform holds, in bytes.
inline constexpr std::size_t kMaxValueSize = 1'000'000;

/// What a chunk describes. The order is the order in a manifest.
enum class ChunkKind : std::uint8_t { kMesh, kService, kWorkspace };

/// One chunk as the manifest names it.
struct ManifestEntry {
  ChunkKind kind = ChunkKind::kMesh;
  std::string name;    ///< Service or workspace; empty for the mesh chunk.
  std::string digest;  ///< SHA-256 of the chunk, raw bytes.
};

/// The list of chunks that make one version.
struct Manifest {
  std::uint64_t number = 0;
  std::vector<ManifestEntry> entries;
};

/// A packed release.
struct Release {
  std::string manifest;                                    ///< Encoded.
  std::map<std::string, std::string, std::less<>> chunks;  ///< By digest.
};

/// Encodes `manifest`; equal manifests give equal bytes.
std::string EncodeManifest(const Manifest& manifest);

/// Decodes and checks a manifest's form.
Result<Manifest> DecodeManifest(std::string_view bytes);

/// Packs a valid deployment. Fails with kTooLarge if a value would exceed
/// kMaxValueSize.
Result<Release> PackDeployment(const Deployment& deployment);

/// Returns the deployment that `manifest` and its `chunks` describe. Fails on
/// a missing or altered chunk, or one of another kind than named.
Result<Deployment> UnpackDeployment(
    const Manifest& manifest,
    const std::map<std::string, std::string, std::less<>>& chunks);

/// Writes `release` to `directory` at once: a reader sees all of it or none.
/// The directory must not exist or must hold an earlier release.
Status WriteRelease(const Release& release, const std::string& directory);

/// Reads what WriteRelease wrote.
Result<Release> ReadRelease(const std::string& directory);

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_RELEASE_H_
