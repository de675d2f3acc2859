#include "wisteriarill/connection/http_fields.h"

#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <array>
#include <set>

namespace wisteriarill {
namespace {

constexpr std::array<const char*, 16> kNotForwardedFields = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "authorization",
    kOutcomeHeader,
    kRequestIdHeader,
    kDeadlineHeader,
    kWorkspaceHeader,
    kParentHeader,
    "expect"};

bool IsNotForwarded(const std::string& name) {
  return std::any_of(kNotForwardedFields.begin(), kNotForwardedFields.end(),
                     [&](const char* not_forwarded) {
                       return Poco::icompare(name,
                                             std::string(not_forwarded)) == 0;
                     });
}

// Returns the names that the Connection field lists, in lower case. These
// fields are hop-by-hop as well.
std::set<std::string> ListedInConnection(
    const Poco::Net::NameValueCollection& message) {
  std::set<std::string> names;
  const Poco::StringTokenizer tokens(
      message.get("Connection", ""), ",",
      Poco::StringTokenizer::TOK_TRIM |
          Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  for (const std::string& token : tokens) names.insert(Poco::toLower(token));
  return names;
}

}  // namespace

std::vector<HeaderField> EndToEndHeaders(
    const Poco::Net::NameValueCollection& message) {
  const std::set<std::string> listed_in_connection =
      ListedInConnection(message);
  std::vector<HeaderField> headers;
  for (const auto& [name, value] : message) {
    if (IsNotForwarded(name) ||
        listed_in_connection.count(Poco::toLower(name)) > 0) {
      continue;
    }
    headers.push_back({name, value});
  }
  return headers;
}

const std::string* FindHeader(const std::vector<HeaderField>& headers,
                              std::string_view name) {
  for (const HeaderField& field : headers) {
    if (Poco::icompare(field.name, std::string(name)) == 0) {
      return &field.value;
    }
  }
  return nullptr;
}

}  // namespace wisteriarill
