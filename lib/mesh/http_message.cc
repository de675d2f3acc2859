#include "wisteriarill/mesh/http_message.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <ostream>
#include <utility>

namespace wisteriarill {
namespace {

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

constexpr std::array<std::string_view, 9> kHopByHopFields = {
    "Connection", "Keep-Alive",     "Proxy-Connection",  "TE",    "Trailer",
    "Upgrade",    "Content-Length", "Transfer-Encoding", "Expect"};

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

// Returns the trimmed, nonempty elements of a comma-separated list.
std::vector<std::string> SplitList(std::string_view list) {
  std::vector<std::string> names;
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    const std::string_view name = Trim(list.substr(0, comma));
    if (!name.empty()) names.emplace_back(name);
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return names;
}

}  // namespace

bool EqualFieldNames(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

const std::string* FindField(const HttpFields& fields, std::string_view name) {
  for (const HttpField& field : fields) {
    if (EqualFieldNames(field.name, name)) return &field.value;
  }
  return nullptr;
}

void EraseField(HttpFields* fields, std::string_view name) {
  std::erase_if(*fields, [name](const HttpField& field) {
    return EqualFieldNames(field.name, name);
  });
}

void EraseFieldsWithPrefix(HttpFields* fields, std::string_view prefix) {
  std::erase_if(*fields, [prefix](const HttpField& field) {
    return EqualFieldNames(
        std::string_view(field.name).substr(0, prefix.size()), prefix);
  });
}

void SetField(HttpFields* fields, std::string name, std::string value) {
  EraseField(fields, name);
  fields->push_back({std::move(name), std::move(value)});
}

void EraseHopByHopFields(HttpFields* fields) {
  std::vector<std::string> named;
  for (const HttpField& field : *fields) {
    if (!EqualFieldNames(field.name, "Connection")) continue;
    for (std::string& name : SplitList(field.value)) {
      named.push_back(std::move(name));
    }
  }
  for (const std::string& name : named) EraseField(fields, name);
  for (const std::string_view name : kHopByHopFields) EraseField(fields, name);
}

std::string_view PathWithoutQuery(std::string_view target) {
  return target.substr(0, std::min(target.find('?'), target.size()));
}

std::string_view HostWithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon == std::string_view::npos || host.back() == ']') return host;
  return host.substr(0, colon);
}

std::string_view ReasonPhrase(int status) {
  const auto text = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {text.data(), text.size()};
}

std::string SerializeRequestHead(const HttpRequest& request) {
  std::string text;
  text.reserve(512);
  text.append(request.method).append(" ").append(request.target);
  text.append(" HTTP/1.1\r\n");
  for (const HttpField& field : request.fields) {
    text.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  const bool no_body_expected =
      request.method == "GET" || request.method == "HEAD";
  if (!request.body.empty() || !no_body_expected) {
    text.append("Content-Length: ")
        .append(std::to_string(request.body.size()))
        .append("\r\n");
  }
  return text.append("\r\n");
}

std::optional<std::uint64_t> ParseDecimal(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end || text.empty()) return std::nullopt;
  return value;
}

}  // namespace wisteriarill
