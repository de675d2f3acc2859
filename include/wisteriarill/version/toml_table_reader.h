/// \file
/// Strict reading of TOML tables: each key has a type and a range, and a key
/// nobody asked for is an error.
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

/// One fault in a file, with what to do about it.
struct Diagnostic {
  std::string file;
  std::string key;
  std::string message;
  std::string remedy;
};

/// Returns "file: key: message; remedy".
std::string ToString(const Diagnostic& diagnostic);

/// Reads one table and collects a Diagnostic for each fault.
class TomlTableReader {
 public:
  /// `path` names the table in messages; `diagnostics` outlives the reader.
  TomlTableReader(const toml::table& table, std::string file, std::string path,
              std::vector<Diagnostic>* diagnostics);

  /// Returns the location of `key` in this table.
  SourceLocation Locate(std::string_view key) const;

  std::optional<std::string> OptionalString(std::string_view key);
  std::string RequiredString(std::string_view key);
  std::optional<std::int64_t> OptionalInteger(std::string_view key,
                                              std::int64_t least,
                                              std::int64_t most);
  std::int64_t RequiredInteger(std::string_view key, std::int64_t least,
                               std::int64_t most);
  /// Reads an integer or a fraction between `least` and `most`.
  std::optional<double> OptionalNumber(std::string_view key, double least,
                                       double most);
  std::optional<bool> OptionalBool(std::string_view key);
  std::vector<std::string> StringList(std::string_view key);
  /// Reads an array of tables; missing counts as empty.
  std::vector<TomlTableReader> Tables(std::string_view key);
  /// Reads one of `names` and returns its position, or `fallback` if missing.
  std::size_t Choice(std::string_view key,
                     const std::vector<std::string>& names,
                     std::size_t fallback);

  /// Reports `message` for `key`.
  void Report(std::string_view key, std::string message, std::string remedy);
  /// Reports every key that was never asked for.
  void ReportUnknownKeys();

 private:
  const toml::node* Find(std::string_view key);

  const toml::table* table_;
  std::string file_;
  std::string path_;
  std::vector<Diagnostic>* diagnostics_;
  std::set<std::string, std::less<>> asked_;
};

/// Parses a TOML file; on failure adds a Diagnostic and returns nothing.
std::optional<toml::table> ParseTomlFile(const std::string& path,
                                         const std::string& shown_name,
                                         std::vector<Diagnostic>* diagnostics);

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_TOML_TABLE_READER_H_
