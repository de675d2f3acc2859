/// \file
/// HTTP messages as plain aggregates, and the rules of RFC 9110 for passing
/// them on.
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
  std::string target;  ///< As sent, query included.
  HttpFields fields;
  std::string body;
};

/// The head of an answer.
struct HttpResponseHead {
  int status = 0;
  HttpFields fields;
  std::optional<std::uint64_t> length;  ///< Unset: until the stream ends.
};

/// Returns whether two field names are equal, case aside.
bool EqualFieldNames(std::string_view a, std::string_view b);

/// Returns the first field named `name`, or null.
const std::string* FindField(const HttpFields& fields, std::string_view name);

/// Removes every field named `name`.
void EraseField(HttpFields* fields, std::string_view name);

/// Sets `name` to one value in place of all that were there.
void SetField(HttpFields* fields, std::string name, std::string value);

/// Removes the fields that concern one connection only, those that
/// `Connection` names included, and the framing fields.
void EraseHopByHopFields(HttpFields* fields);

/// Returns the path of `target`, without its query.
std::string_view PathWithoutQuery(std::string_view target);

/// Returns `host` without a port.
std::string_view HostWithoutPort(std::string_view host);

/// Returns the standard reason phrase of a status.
std::string_view ReasonPhrase(int status);

/// Returns a request head with its Content-Length, ready to send.
std::string SerializeRequestHead(const HttpRequest& request);

/// Parses a whole decimal number; nothing for any other text.
std::optional<std::uint64_t> ParseDecimal(std::string_view text);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_HTTP_MESSAGE_H_
