/// \file
/// Strict reading of TOML tables: each value is checked for its type and range,
/// and a key that is not read is an error.
#ifndef WISTERIARILL_VERSION_TOML_TABLE_READER_H_
#define WISTERIARILL_VERSION_TOML_TABLE_READER_H_

#include <toml++/toml.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriarill/version/deployment.h"

namespace wisteriarill {

/// An error in a configuration file and its remedy.
struct Diagnostic {
  std::string file;
  std::string key;
  std::string message;
  std::string remedy;
};

/// Returns "file: key: message; remedy".
std::string ToString(const Diagnostic& diagnostic);

/// Reads one table and adds a Diagnostic for each error.
class TomlTableReader {
 public:
  /// `path` is the name of the table in diagnostics. `diagnostics` must outlive
  /// the reader.
  TomlTableReader(const toml::table& table, std::string file, std::string path,
                  std::vector<Diagnostic>* diagnostics);

  /// Returns the location of `key` in this table, or of the table itself if
  /// `key` is empty.
  SourceLocation Locate(std::string_view key) const;

  std::optional<std::string> OptionalString(std::string_view key);
  std::string RequiredString(std::string_view key);
  std::optional<std::int64_t> OptionalInteger(std::string_view key,
                                              std::int64_t min,
                                              std::int64_t max);
  std::int64_t RequiredInteger(std::string_view key, std::int64_t min,
                               std::int64_t max);
  /// Reads an integer or a floating-point number between `min` and `max`.
  std::optional<double> OptionalNumber(std::string_view key, double min,
                                       double max);
  std::optional<bool> OptionalBool(std::string_view key);
  std::vector<std::string> StringList(std::string_view key);
  /// Reads an array of tables. A missing key counts as an empty array.
  std::vector<TomlTableReader> Tables(std::string_view key);
  /// Reads a string that must be one of `names` and returns its index. Returns
  /// `fallback` if the key is missing or its value is not valid.
  std::size_t Choice(std::string_view key,
                     const std::vector<std::string>& names,
                     std::size_t fallback);

  /// Adds a Diagnostic for `key`.
  void Report(std::string_view key, std::string message, std::string remedy);
  /// Reports every key of the table that no function has read.
  void ReportUnknownKeys();

 private:
  const toml::node* Find(std::string_view key);

  const toml::table* table_;
  std::string file_;
  std::string path_;
  std::vector<Diagnostic>* diagnostics_;
  std::set<std::string, std::less<>> read_keys_;
};

/// Parses a TOML file. On failure, adds a Diagnostic and returns std::nullopt.
std::optional<toml::table> ParseTomlFile(const std::string& path,
                                         const std::string& shown_name,
                                         std::vector<Diagnostic>* diagnostics);

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_TOML_TABLE_READER_H_
