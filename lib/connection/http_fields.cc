#include "wisteriarill/connection/http_fields.h"

#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <array>
#include <set>

namespace wisteriarill {
namespace {

constexpr std::array<const char*, 16> kOwnFields = {"connection",
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

bool IsOwnField(const std::string& name) {
  return std::any_of(kOwnFields.begin(), kOwnFields.end(),
                     [&](const char* own) {
                       return Poco::icompare(name, std::string(own)) == 0;
                     });
}

// Fields that the Connection field names are hop-by-hop, too.
std::set<std::string> ConnectionFields(
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
  const std::set<std::string> connection = ConnectionFields(message);
  std::vector<HeaderField> headers;
  for (const auto& [name, value] : message) {
    if (IsOwnField(name) || connection.count(Poco::toLower(name)) > 0) {
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
