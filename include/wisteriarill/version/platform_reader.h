/// \file
/// Reads the platform's configuration service. It can only be read and
/// watched; nothing here writes.
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

/// The platform's list of VMs. It lags.
struct VmList {
  std::uint64_t revision = 0;
  std::set<std::string> listed;
  std::vector<std::string> leaving;
};

/// The reads that the system makes. Each call blocks up to its own time-out;
/// an object serves one thread.
class PlatformReader {
 public:
  virtual ~PlatformReader() = default;
  /// Reads the manifest; waits up to `wait` for a revision above `after`.
  virtual Result<ManifestRead> ReadManifest(std::uint64_t after,
                                            microseconds wait) = 0;
  /// Reads a chunk by its raw digest.
  virtual Result<std::string> ReadChunk(const std::string& digest) = 0;
  virtual Result<VmList> ReadVmList() = 0;
};

/// Returns a reader over HTTP:
///   GET /v1/values/KEY?after=REVISION&wait_ms=MILLISECONDS
/// with 200 and the value, or 204 when the wait ended, both with
/// Platform-Revision and Platform-Age-Ms headers, and 404 for no such key.
std::unique_ptr<PlatformReader> MakeHttpPlatformReader(
    const std::string& address, microseconds timeout);

/// Decodes the platform's VM list: a JSON array of objects with "name" and
/// "state" ("live" or "leaving").
Result<VmList> ParseVmList(std::uint64_t revision, const std::string& json);

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_PLATFORM_READER_H_
