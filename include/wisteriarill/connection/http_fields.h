/// \file
/// Names of HTTP header fields that nodes set or read, and the filter that
/// decides which fields are forwarded.
#ifndef WISTERIARILL_CONNECTION_HTTP_FIELDS_H_
#define WISTERIARILL_CONNECTION_HTTP_FIELDS_H_

#include <Poco/Net/NameValueCollection.h>

#include <string>
#include <string_view>
#include <vector>

#include "wisteriarill/connection/peer_message.h"

namespace wisteriarill {

/// Set on responses to callers: how the call ended.
inline constexpr const char* kOutcomeHeader = "Wisteria-Outcome";
/// Set on responses and on requests to backend servers.
inline constexpr const char* kRequestIdHeader = "Wisteria-Request-Id";
/// The time left in milliseconds. Read from callers' requests and set on
/// requests to backend servers.
inline constexpr const char* kDeadlineHeader = "Wisteria-Deadline";
/// Set on requests to backend servers: the workspace of the caller's key.
inline constexpr const char* kWorkspaceHeader = "Wisteria-Workspace";
/// Set by a backend server on a nested call: the id of the request that caused
/// it.
inline constexpr const char* kParentHeader = "Wisteria-Parent";
/// Set by a backend server on responses: identifies its process, so that a
/// restart is visible.
inline constexpr const char* kBackendInstanceHeader = "Backend-Instance";
/// Set by a backend server on a 503 response: the request was shed and did not
/// run.
inline constexpr const char* kBackendNotRunHeader = "Backend-Not-Run";

/// Returns the end-to-end fields of `message`. Leaves out hop-by-hop fields,
/// Content-Length, Expect, Authorization and the fields that nodes set.
std::vector<HeaderField> EndToEndHeaders(
    const Poco::Net::NameValueCollection& message);

/// Returns the value of the first field called `name`, ignoring case, or
/// nullptr if there is none.
const std::string* FindHeader(const std::vector<HeaderField>& headers,
                              std::string_view name);

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_HTTP_FIELDS_H_
