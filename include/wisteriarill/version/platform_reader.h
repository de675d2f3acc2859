/// \file
/// Reads and watches the platform's configuration service, which offers nodes
/// no writes.
#ifndef WISTERIARILL_VERSION_PLATFORM_READER_H_
#define WISTERIARILL_VERSION_PLATFORM_READER_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "wisteriarill/process/error.h"
#include "wisteriarill/process/time.h"
#include "wisteriarill/version/config_disseminator.h"

namespace wisteriarill {

/// The platform's list of VMs, which lags behind the actual state.
struct VmList {
  std::uint64_t revision = 0;
  std::set<std::string> listed;      ///< Names of all VMs.
  std::vector<std::string> leaving;  ///< Names of those that are leaving.
};

/// Reads values from the platform. Each call blocks until its timeout at the
/// latest. Not thread-safe.
class PlatformReader {
 public:
  virtual ~PlatformReader() = default;
  /// Reads the manifest. Waits up to `wait` for a revision higher than `after`.
  virtual Result<ManifestRead> ReadManifest(std::uint64_t after,
                                            microseconds wait) = 0;
  /// Reads the chunk with this raw SHA-256 digest.
  virtual Result<std::string> ReadChunk(const std::string& digest) = 0;
  virtual Result<VmList> ReadVmList() = 0;
};

/// Returns a reader that uses HTTP:
///   GET /v1/values/KEY?after=REVISION&wait_ms=MILLISECONDS
/// The platform answers 200 with the value, 204 if the wait ended without a
/// newer revision, or 404 if the key does not exist. 200 and 204 have the
/// headers Platform-Revision and Platform-Age-Ms.
std::unique_ptr<PlatformReader> MakeHttpPlatformReader(
    const std::string& address, microseconds timeout);

/// Decodes the platform's VM list: a JSON array of objects with "name" and
/// "state" ("live" or "leaving").
Result<VmList> ParseVmList(std::uint64_t revision, const std::string& json);

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_PLATFORM_READER_H_
