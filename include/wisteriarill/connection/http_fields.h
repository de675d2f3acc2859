/// \file
/// HTTP header fields that the system sets, reads or keeps to itself.
#ifndef WISTERIARILL_CONNECTION_HTTP_FIELDS_H_
#define WISTERIARILL_CONNECTION_HTTP_FIELDS_H_

#include <Poco/Net/NameValueCollection.h>

#include <string>
#include <string_view>
#include <vector>

#include "wisteriarill/connection/peer_message.h"

namespace wisteriarill {

/// Set on answers to callers.
inline constexpr const char* kOutcomeHeader = "Wisteria-Outcome";
/// Set on answers and on requests to backend servers.
inline constexpr const char* kRequestIdHeader = "Wisteria-Request-Id";
/// Milliseconds that are left; read from callers, set for backend servers.
inline constexpr const char* kDeadlineHeader = "Wisteria-Deadline";
/// Set for backend servers: whom the request runs for.
inline constexpr const char* kWorkspaceHeader = "Wisteria-Workspace";
/// Set by a backend server on a nested call: the request that it serves.
inline constexpr const char* kParentHeader = "Wisteria-Parent";
/// Set by a backend server: names its present life.
inline constexpr const char* kBackendInstanceHeader = "Backend-Instance";
/// Set by a backend server on 503: the request was shed and did not run.
inline constexpr const char* kBackendNotRunHeader = "Backend-Not-Run";

/// Returns the fields that are meant for the other end of the path: without
/// hop-by-hop fields, lengths, keys and the system's own fields.
std::vector<HeaderField> EndToEndHeaders(
    const Poco::Net::NameValueCollection& message);

/// Returns the value of a field, or null; names ignore case.
const std::string* FindHeader(const std::vector<HeaderField>& headers,
                              std::string_view name);

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_HTTP_FIELDS_H_
