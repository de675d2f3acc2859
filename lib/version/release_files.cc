/// \file
/// Stores releases as directories with the files `manifest` and
/// `chunks/DIGEST`.
#include <filesystem>
#include <fstream>
#include <iterator>

#include "wisteriarill/process/hashing.h"
#include "wisteriarill/version/release.h"

namespace wisteriarill {
namespace {

namespace fs = std::filesystem;

constexpr const char* kManifestFile = "manifest";
constexpr const char* kChunkDirectory = "chunks";

Error FileError(const fs::path& path, const std::string& what) {
  return MakeError(ErrorKind::kUnavailable, path.string() + " " + what,
                   "check the path, its permissions and the free disk space");
}

Status WriteFile(const fs::path& path, const std::string& bytes) {
  std::ofstream file(path, std::ios::binary);
  file.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  file.close();
  if (!file) return FileError(path, "cannot be written");
  return OkStatus();
}

Result<std::string> ReadFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return FileError(path, "cannot be read");
  return std::string(std::istreambuf_iterator<char>(file), {});
}

Status WriteFiles(const Release& release, const fs::path& directory) {
  std::error_code error;
  fs::create_directories(directory / kChunkDirectory, error);
  if (error) return FileError(directory, "cannot be created");
  for (const auto& [digest, bytes] : release.chunks) {
    Status written =
        WriteFile(directory / kChunkDirectory / ToHex(digest), bytes);
    if (!written) return written;
  }
  return WriteFile(directory / kManifestFile, release.manifest);
}

bool IsReplaceable(const fs::path& directory) {
  if (!fs::exists(directory)) return true;
  return fs::is_regular_file(directory / kManifestFile) &&
         fs::is_directory(directory / kChunkDirectory);
}

}  // namespace

Status WriteRelease(const Release& release, const std::string& directory) {
  const fs::path target = fs::path(directory).lexically_normal();
  if (!IsReplaceable(target)) {
    return MakeError(ErrorKind::kInvalidConfiguration,
                     directory + " exists and does not contain a release",
                     "pass a new directory or one with an earlier release");
  }
  const fs::path new_directory = target.string() + ".new";
  const fs::path old_directory = target.string() + ".old";
  std::error_code error;
  fs::remove_all(new_directory, error);
  fs::remove_all(old_directory, error);
  Status written = WriteFiles(release, new_directory);
  if (!written) {
    fs::remove_all(new_directory, error);
    return written;
  }
  if (fs::exists(target)) fs::rename(target, old_directory, error);
  if (!error) fs::rename(new_directory, target, error);
  if (error) return FileError(target, "cannot be replaced");
  fs::remove_all(old_directory, error);
  return OkStatus();
}

Result<Release> ReadRelease(const std::string& directory) {
  Release release;
  const fs::path root(directory);
  Result<std::string> manifest = ReadFile(root / kManifestFile);
  if (!manifest) return manifest.error();
  release.manifest = std::move(manifest).value();
  std::error_code error;
  for (const auto& entry :
       fs::directory_iterator(root / kChunkDirectory, error)) {
    Result<std::string> bytes = ReadFile(entry.path());
    if (!bytes) return bytes.error();
    std::string digest;
    const std::string name = entry.path().filename().string();
    if (!FromHex(name, &digest) || digest != Sha256(bytes.value())) {
      return MakeError(ErrorKind::kInvalidRelease,
                       "chunk " + name + " does not match its digest",
                       "pack the release again");
    }
    release.chunks[digest] = std::move(bytes).value();
  }
  if (error) return FileError(root / kChunkDirectory, "cannot be listed");
  return release;
}

}  // namespace wisteriarill
