/// \file
/// Values of the store's items as the platform writes them.
#ifndef WISTERIARILL_REVIEW_STANDIN_ENTRIES_H_
#define WISTERIARILL_REVIEW_STANDIN_ENTRIES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace wisteriarill::review {

struct Tenant {
  std::string name;
  std::string key;
  std::uint32_t rate = 0;  ///< Requests per second over all nodes.
  std::uint32_t burst = 0;
};

/// Encodes the configuration: one idempotent route to `service` for `tenants`;
/// if it is `open`, requests on it need no key.
std::string EncodeConfig(const std::string& service,
                         const std::vector<Tenant>& tenants, bool open);

/// Encodes the entry of a server that is ready.
std::string EncodeServer(const std::string& service, const std::string& address,
                         const std::string& zone, std::uint64_t seq);

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_ENTRIES_H_
