/// \file
/// A release: a manifest that lists content-addressed chunks. Each service and
/// each workspace is a chunk of its own, so that only changed ones need to be
/// transferred.
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

/// The largest value that the platform can store, in bytes.
inline constexpr std::size_t kMaxValueSize = 1'000'000;

/// The type of a chunk's content. Manifest entries are sorted by it.
enum class ChunkKind : std::uint8_t { kMesh, kService, kWorkspace };

/// The entry of one chunk in a manifest.
struct ManifestEntry {
  ChunkKind kind = ChunkKind::kMesh;
  std::string name;    ///< Service or workspace, empty for the mesh chunk.
  std::string digest;  ///< Raw SHA-256 of the chunk.
};

/// The list of chunks that make up one version.
struct Manifest {
  std::uint64_t number = 0;
  std::vector<ManifestEntry> entries;
};

/// An encoded release.
struct Release {
  std::string manifest;                                    ///< Encoded.
  std::map<std::string, std::string, std::less<>> chunks;  ///< By raw digest.
};

/// Encodes `manifest`. The encoding of equal manifests is identical.
std::string EncodeManifest(const Manifest& manifest);

/// Decodes a manifest and checks its format, kinds and digest sizes.
Result<Manifest> DecodeManifest(std::string_view bytes);

/// Encodes a valid deployment. Fails with kTooLarge if the manifest or a chunk
/// exceeds kMaxValueSize.
Result<Release> PackDeployment(const Deployment& deployment);

/// Decodes the deployment that `manifest` and `chunks` describe. Fails if a
/// chunk is missing, can't be decoded as the kind in the manifest, or has
/// another name.
Result<Deployment> UnpackDeployment(
    const Manifest& manifest,
    const std::map<std::string, std::string, std::less<>>& chunks);

/// Writes `release` to a temporary directory and renames it to `directory`, so
/// that a reader sees a complete release or none. `directory` must not exist or
/// must contain an earlier release.
Status WriteRelease(const Release& release, const std::string& directory);

/// Reads a release that WriteRelease wrote and checks the digests of its
/// chunks.
Result<Release> ReadRelease(const std::string& directory);

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_RELEASE_H_
