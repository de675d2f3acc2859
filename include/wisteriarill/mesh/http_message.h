/// \file
/// HTTP messages as plain structs, and the rules of RFC 9110 for forwarding
/// them.
#ifndef WISTERIARILL_MESH_HTTP_MESSAGE_H_
#define WISTERIARILL_MESH_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriarill {

struct HttpField {
  std::string name;
  std::string value;
};
using HttpFields = std::vector<HttpField>;

struct HttpRequest {
  std::string method;
  std::string target;  ///< Request target as sent, including the query.
  HttpFields fields;
  std::string body;
};

/// Status and fields of a response.
struct HttpResponseHead {
  int status = 0;
  HttpFields fields;
  /// Body length; unset if not announced.
  std::optional<std::uint64_t> length;
};

/// Compares two field names, ignoring case.
bool EqualFieldNames(std::string_view a, std::string_view b);

/// Returns the value of the first field named `name`, or null.
const std::string* FindField(const HttpFields& fields, std::string_view name);

/// Removes every field named `name`.
void EraseField(HttpFields* fields, std::string_view name);

/// Removes every field whose name begins with `prefix`, ignoring case.
void EraseFieldsWithPrefix(HttpFields* fields, std::string_view prefix);

/// Replaces all fields named `name` with a single one.
void SetField(HttpFields* fields, std::string name, std::string value);

/// Removes the hop-by-hop fields (RFC 9110, 7.6.1), including those that the
/// `Connection` field names, and the framing fields.
void EraseHopByHopFields(HttpFields* fields);

/// Returns the path of `target`, without its query.
std::string_view PathWithoutQuery(std::string_view target);

/// Returns `host` without a port.
std::string_view HostWithoutPort(std::string_view host);

/// Returns the standard reason phrase of a status.
std::string_view ReasonPhrase(int status);

/// Serializes a request line and the fields, with a Content-Length if the
/// request has a body or its method usually has one.
std::string SerializeRequestHead(const HttpRequest& request);

/// Parses an unsigned decimal integer; returns nothing for any other text.
std::optional<std::uint64_t> ParseDecimal(std::string_view text);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_HTTP_MESSAGE_H_
