#include "wisteriarill/version/toml_table_reader.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace wisteriarill {
namespace {

std::string Join(const std::vector<std::string>& names) {
  std::string joined;
  for (const std::string& name : names) {
    if (!joined.empty()) joined += ", ";
    joined += name;
  }
  return joined;
}

std::string RangeRemedy(double min, double max) {
  std::ostringstream text;
  text << "write a value between " << min << " and " << max;
  return text.str();
}

/// Returns the key that is assigned on line `number` of `text`; empty if the
/// line is not an assignment.
std::string KeyOnLine(const std::string& text, std::uint32_t number) {
  std::istringstream lines(text);
  std::string line;
  for (std::uint32_t i = 0; i < number; ++i) {
    if (!std::getline(lines, line)) return "";
  }
  const std::size_t equals = line.find('=');
  if (equals == std::string::npos) return "";
  const std::size_t begin = line.find_first_not_of(" \t");
  const std::size_t end = line.find_last_not_of(" \t", equals - 1);
  if (begin >= equals || end == std::string::npos) return "";
  return line.substr(begin, end - begin + 1);
}

}  // namespace

std::string ToString(const Diagnostic& diagnostic) {
  std::string text = diagnostic.file;
  if (!diagnostic.key.empty()) text += ": " + diagnostic.key;
  return text + ": " + diagnostic.message + "; " + diagnostic.remedy;
}

TomlTableReader::TomlTableReader(const toml::table& table, std::string file,
                                 std::string path,
                                 std::vector<Diagnostic>* diagnostics)
    : table_(&table),
      file_(std::move(file)),
      path_(std::move(path)),
      diagnostics_(diagnostics) {}

SourceLocation TomlTableReader::Locate(std::string_view key) const {
  if (key.empty()) return {file_, path_};
  if (path_.empty()) return {file_, std::string(key)};
  return {file_, path_ + "." + std::string(key)};
}

void TomlTableReader::Report(std::string_view key, std::string message,
                             std::string remedy) {
  SourceLocation at = Locate(key);
  diagnostics_->push_back(Diagnostic{std::move(at.file), std::move(at.key),
                                     std::move(message), std::move(remedy)});
}

const toml::node* TomlTableReader::Find(std::string_view key) {
  read_keys_.emplace(key);
  return table_->get(key);
}

std::optional<std::string> TomlTableReader::OptionalString(
    std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return std::nullopt;
  const auto* text = node->as_string();
  if (text == nullptr) {
    Report(key, "is not a string", "write it in double quotes");
    return std::nullopt;
  }
  return text->get();
}

std::string TomlTableReader::RequiredString(std::string_view key) {
  const bool present = Find(key) != nullptr;
  const std::optional<std::string> text = OptionalString(key);
  if (text.has_value() && !text->empty()) return *text;
  if (!present) Report(key, "is missing", "set it to a string");
  if (text.has_value()) Report(key, "is empty", "write a name");
  return {};
}

std::optional<std::int64_t> TomlTableReader::OptionalInteger(
    std::string_view key, std::int64_t min, std::int64_t max) {
  const toml::node* node = Find(key);
  if (node == nullptr) return std::nullopt;
  const auto* integer = node->as_integer();
  if (integer == nullptr) {
    Report(key, "is not a whole number", "write digits without quotes");
    return std::nullopt;
  }
  if (integer->get() < min || integer->get() > max) {
    Report(key, "is out of range",
           "write a whole number between " + std::to_string(min) + " and " +
               std::to_string(max));
    return std::nullopt;
  }
  return integer->get();
}

std::int64_t TomlTableReader::RequiredInteger(std::string_view key,
                                              std::int64_t min,
                                              std::int64_t max) {
  if (Find(key) == nullptr) {
    Report(key, "is missing",
           "set it to a whole number between " + std::to_string(min) + " and " +
               std::to_string(max));
    return min;
  }
  return OptionalInteger(key, min, max).value_or(min);
}

std::optional<double> TomlTableReader::OptionalNumber(std::string_view key,
                                                      double min, double max) {
  const toml::node* node = Find(key);
  if (node == nullptr) return std::nullopt;
  const std::optional<double> number = node->value<double>();
  if (!number.has_value() || node->is_boolean()) {
    Report(key, "is not a number", "write digits without quotes");
    return std::nullopt;
  }
  if (!(*number >= min && *number <= max)) {
    Report(key, "is out of range", RangeRemedy(min, max));
    return std::nullopt;
  }
  return number;
}

std::optional<bool> TomlTableReader::OptionalBool(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return std::nullopt;
  const auto* flag = node->as_boolean();
  if (flag == nullptr) {
    Report(key, "is not a boolean", "write true or false");
    return std::nullopt;
  }
  return flag->get();
}

std::vector<std::string> TomlTableReader::StringList(std::string_view key) {
  std::vector<std::string> list;
  const toml::node* node = Find(key);
  if (node == nullptr) return list;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    Report(key, "is not an array", "write [\"a\", \"b\"]");
    return list;
  }
  for (const toml::node& element : *array) {
    const auto* text = element.as_string();
    if (text == nullptr) {
      Report(key, "has an element that is not a string",
             "write each element in double quotes");
      continue;
    }
    list.push_back(text->get());
  }
  return list;
}

std::vector<TomlTableReader> TomlTableReader::Tables(std::string_view key) {
  std::vector<TomlTableReader> readers;
  const toml::node* node = Find(key);
  if (node == nullptr) return readers;
  const toml::array* array = node->as_array();
  if (array == nullptr || !array->is_homogeneous(toml::node_type::table)) {
    Report(key, "is not an array of tables",
           "write [[" + Locate(key).key + "]]");
    return readers;
  }
  std::size_t index = 0;
  for (const toml::node& element : *array) {
    readers.emplace_back(*element.as_table(), file_,
                         Locate(key).key + "[" + std::to_string(index++) + "]",
                         diagnostics_);
  }
  return readers;
}

std::size_t TomlTableReader::Choice(std::string_view key,
                                    const std::vector<std::string>& names,
                                    std::size_t fallback) {
  const std::optional<std::string> text = OptionalString(key);
  if (!text.has_value()) return fallback;
  const auto found = std::find(names.begin(), names.end(), *text);
  if (found != names.end()) {
    return static_cast<std::size_t>(found - names.begin());
  }
  Report(key, "has the unknown value \"" + *text + "\"",
         "write one of " + Join(names));
  return fallback;
}

void TomlTableReader::ReportUnknownKeys() {
  for (const auto& [key, value] : *table_) {
    if (read_keys_.count(key.str()) > 0) continue;
    Report(key.str(), "is not a known key",
           "remove it or correct its spelling; docs/CONFIGURATION.md lists "
           "the keys");
  }
}

std::optional<toml::table> ParseTomlFile(const std::string& path,
                                         const std::string& shown_name,
                                         std::vector<Diagnostic>* diagnostics) {
  std::ifstream file(path);
  if (!file) {
    diagnostics->push_back({shown_name, "", "cannot be read",
                            "check that it exists and is readable"});
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  try {
    return toml::parse(text.str(), shown_name);
  } catch (const toml::parse_error& error) {
    const std::uint32_t line = error.source().begin.line;
    const std::string key = KeyOnLine(text.str(), line);
    const std::string remedy =
        key.empty() ? "correct the TOML syntax"
                    : "write a TOML value after \"" + key +
                          " =\", or remove the line to use the default";
    diagnostics->push_back({shown_name, "line " + std::to_string(line),
                            std::string(error.description()), remedy});
    return std::nullopt;
  }
}

}  // namespace wisteriarill
