#include "wisteriarill/version/version_store.h"

#include <utility>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/invariant.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {

Version VersionStore::version() const {
  return current_ == nullptr ? Version{} : current_->version();
}

std::optional<Version> VersionStore::candidate() const {
  if (!candidate_.has_value()) return std::nullopt;
  return candidate_->version;
}

std::string VersionStore::candidate_bytes() const {
  return candidate_.has_value() ? candidate_->bytes : std::string();
}

const std::string* VersionStore::FindChunk(const std::string& digest) const {
  const auto found = chunks_.find(digest);
  return found == chunks_.end() ? nullptr : &found->second;
}

std::size_t VersionStore::stored_bytes() const {
  std::size_t bytes = manifest_bytes_.size();
  for (const auto& [digest, chunk] : chunks_) {
    bytes += digest.size() + chunk.size();
  }
  return bytes;
}

OfferResult VersionStore::OfferManifest(const Version& version,
                                        std::string bytes) {
  if (version <= this->version()) return OfferResult::kIgnored;
  if (candidate_.has_value() && version <= candidate_->version) {
    return OfferResult::kIgnored;
  }
  if (rejected_.has_value() && !rejected_->reported_by_peer &&
      version == rejected_->version) {
    return OfferResult::kIgnored;
  }
  Result<Manifest> manifest = DecodeManifest(bytes);
  if (!manifest) return Reject(version, manifest.error());
  if (manifest.value().number != version.number) {
    return Reject(version, MakeError(ErrorKind::kInvalidRelease,
                                     "the manifest's number differs from the "
                                     "number of the offered version",
                                     "publish the release again"));
  }
  candidate_ =
      Candidate{version, std::move(bytes), std::move(manifest).value()};
  missing_.clear();
  for (const ManifestEntry& entry : candidate_->manifest.entries) {
    if (chunks_.count(entry.digest) == 0) missing_.insert(entry.digest);
  }
  return TryApply();
}

OfferResult VersionStore::OfferChunk(std::string bytes) {
  if (bytes.size() > kMaxValueSize) return OfferResult::kIgnored;
  std::string digest = Sha256(bytes);
  if (missing_.erase(digest) == 0) return OfferResult::kIgnored;
  chunks_[std::move(digest)] = std::move(bytes);
  return TryApply();
}

void VersionStore::RecordPeerRejection(const Version& version,
                                       const std::string& reason) {
  if (version <= this->version()) return;
  if (rejected_.has_value() && version <= rejected_->version) return;
  rejected_ = RejectedVersion{version, reason, true};
}

OfferResult VersionStore::Reject(const Version& version, const Error& error) {
  rejected_ = RejectedVersion{version, error.Describe()};
  LogEvent(LogLevel::kWarning, "version_rejected")
      .With("version", ToString(version))
      .With(error);
  return OfferResult::kRejected;
}

OfferResult VersionStore::TryApply() {
  if (!missing_.empty()) return OfferResult::kChunksMissing;
  const Candidate candidate = std::move(*candidate_);
  candidate_.reset();
  const Result<Deployment> deployment =
      UnpackDeployment(candidate.manifest, chunks_);
  if (!deployment) {
    DropUnusedChunks();
    return Reject(candidate.version, deployment.error());
  }
  auto compiled = Snapshot::Compile(candidate.version, deployment.value());
  if (!compiled) {
    DropUnusedChunks();
    return Reject(candidate.version, compiled.error());
  }
  CheckInvariant(candidate.version > version(), "version_never_moves_back",
                 ToString(candidate.version));
  current_ = std::move(compiled).value();
  manifest_bytes_ = candidate.bytes;
  DropUnusedChunks();
  return OfferResult::kApplied;
}

void VersionStore::DropUnusedChunks() {
  if (current_ == nullptr) {
    chunks_.clear();
    return;
  }
  const Result<Manifest> manifest = DecodeManifest(manifest_bytes_);
  if (!CheckInvariant(manifest.has_value(), "manifest_in_force_decodes")) {
    return;
  }
  ChunkMap used;
  for (const ManifestEntry& entry : manifest.value().entries) {
    const auto chunk = chunks_.find(entry.digest);
    if (chunk != chunks_.end()) used.insert(chunks_.extract(chunk));
  }
  chunks_ = std::move(used);
}

}  // namespace wisteriarill
