/// \file
/// Decides which configuration version a node has in force. Accepts manifests
/// and chunks from any source, says which chunks are missing, and puts only
/// complete and valid versions in force.
#ifndef WISTERIARILL_VERSION_VERSION_STORE_H_
#define WISTERIARILL_VERSION_VERSION_STORE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// A version that failed validation, and the reason.
struct RejectedVersion {
  Version version;
  std::string reason;
  /// True if a peer rejected the version and this node has not validated it.
  bool reported_by_peer = false;
};

/// The result of offering a manifest or chunk to a VersionStore.
enum class OfferResult {
  kIgnored,        ///< Not newer than the version in force or the candidate.
  kChunksMissing,  ///< Chunks are missing, see missing().
  kApplied,        ///< The version is now in force.
  kRejected,  ///< The version is invalid. The last valid one stays in force.
};

/// Holds the version in force and a candidate that is being fetched. Uses
/// neither I/O nor a clock. Not thread-safe.
class VersionStore {
 public:
  /// Offers a manifest. It becomes the candidate if its version is higher than
  /// the version in force and the current candidate, and was not rejected.
  OfferResult OfferManifest(const Version& version, std::string bytes);

  /// Offers a chunk. It is ignored unless its digest is in missing().
  OfferResult OfferChunk(std::string bytes);

  /// Records that a peer rejected a version, for operators to see. This node
  /// still validates the version itself if it is offered.
  void RecordPeerRejection(const Version& version, const std::string& reason);

  /// Returns the digests of the candidate's missing chunks.
  const std::set<std::string>& missing() const { return missing_; }
  /// Returns the version that is being fetched, if any.
  std::optional<Version> candidate() const;
  /// Returns the candidate's encoded manifest, empty if there is no candidate.
  std::string candidate_bytes() const;
  /// Returns the snapshot in force, null before the first version.
  const std::shared_ptr<const Snapshot>& current() const { return current_; }
  /// Returns the version in force, {0, 0} before the first one.
  Version version() const;
  /// Returns the encoded manifest in force.
  const std::string& manifest_bytes() const { return manifest_bytes_; }
  /// Returns the chunk with this digest, or nullptr if it is not stored. Chunks
  /// of the candidate are included.
  const std::string* FindChunk(const std::string& digest) const;
  /// Returns the size of the manifest in force and of all stored chunks.
  std::size_t stored_bytes() const;
  const std::optional<RejectedVersion>& rejected() const { return rejected_; }

 private:
  struct Candidate {
    Version version;
    std::string bytes;
    Manifest manifest;
  };
  using ChunkMap = std::map<std::string, std::string, std::less<>>;

  OfferResult Reject(const Version& version, const Error& error);
  OfferResult TryApply();
  void DropUnusedChunks();

  std::shared_ptr<const Snapshot> current_;
  std::string manifest_bytes_;
  ChunkMap chunks_;
  std::optional<Candidate> candidate_;
  std::set<std::string> missing_;
  std::optional<RejectedVersion> rejected_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_VERSION_STORE_H_
