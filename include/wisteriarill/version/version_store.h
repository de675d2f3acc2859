/// \file
/// Decides which version a node has in force. Takes manifests and chunks from
/// any source, fetches what is missing, and swaps whole valid versions only.
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

/// A version that failed validation, and why.
struct RejectedVersion {
  Version version;
  std::string reason;
  bool heard = false;  ///< Told by a peer, not judged here.
};

/// What became of an offered manifest or chunk.
enum class OfferResult {
  kIgnored,    ///< Not newer than what is in force or being fetched.
  kNeedsMore,  ///< Chunks are missing; see missing().
  kApplied,    ///< A new version is in force.
  kRejected,   ///< The version is bad; the last good one stays in force.
};

/// The version decision of one node. No I/O, no clock, one thread.
class VersionStore {
 public:
  /// Takes a manifest; a pair not above the one in force is ignored.
  OfferResult OfferManifest(const Version& version, std::string bytes);

  /// Takes a chunk that missing() named; other chunks are ignored.
  OfferResult OfferChunk(std::string bytes);

  /// Notes a peer's verdict for operators to see. It keeps nothing out: this
  /// node still judges the version itself if it gets it.
  void NoteRejectedElsewhere(const Version& version, const std::string& reason);

  /// Returns digests still to be fetched for the candidate.
  const std::set<std::string>& missing() const { return missing_; }
  /// Returns the version being fetched, if any.
  std::optional<Version> candidate() const;
  /// Returns the encoded manifest being fetched; empty if there is none.
  std::string candidate_bytes() const;
  /// Returns what is in force; null before the first version.
  const std::shared_ptr<const Snapshot>& current() const { return current_; }
  /// Returns the version in force; {0, 0} before the first.
  Version version() const;
  /// Returns the encoded manifest in force, for peers.
  const std::string& manifest_bytes() const { return manifest_bytes_; }
  /// Returns a chunk in force by digest, or null.
  const std::string* FindChunk(const std::string& digest) const;
  /// Returns the bytes that manifest and chunks in force hold.
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
