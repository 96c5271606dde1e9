// Typed access to the fields of a TOML settings file. Every problem is recorded.
#pragma once
#include <toml++/toml.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/config_problem.h"

namespace eiderreel {

/// Reads fields from TOML tables. If a field is missing or invalid, a problem is recorded and the
/// output parameter stays unchanged, so that one run reports all problems of a file.
///
/// In all functions, `path` is the dotted path of the table with a trailing dot, or empty for the
/// top level. It is only used to name fields in problems.
class TomlReader {
 public:
  /// Problems are appended to `problems`, which must outlive the reader.
  TomlReader(std::string file, std::vector<ConfigProblem>& problems)
      : file_(std::move(file)), problems_(problems) {}

  /// Parses the file. Records a problem and returns nothing if the file cannot be opened or is not
  /// valid TOML.
  std::optional<toml::table> parse();

  /// Records a problem of a field.
  void add_problem(const std::string& field, const std::string& message);

  /// Returns the sub-table `name`. Records a problem and returns null if it is missing or not a
  /// table.
  const toml::table* table(const toml::table& parent, const std::string& path, const char* name);

  /// Returns an entry of a list as a table. Records a problem and returns null if it is not a
  /// table.
  const toml::table* entry(const toml::array& list, std::size_t index, const std::string& path);

  /// Reads a string that must not be empty.
  void text(const toml::table& table, const std::string& path, const char* name, std::string& out);

  /// Reads an address of the form HOST:PORT.
  void address(const toml::table& table, const std::string& path, const char* name,
               std::string& out);

  /// Reads a number between `low` and `high`, both inclusive.
  void number(const toml::table& table, const std::string& path, const char* name, double low,
              double high, double& out);

  /// Reads an integer between `low` and `high`, both inclusive.
  void integer(const toml::table& table, const std::string& path, const char* name, int low,
               int high, int& out);

 private:
  std::string file_;
  std::vector<ConfigProblem>& problems_;
};

/// The path of a list entry with a trailing dot, like "params.teams[0].".
std::string entry_path(const std::string& list, std::size_t index);

}  // namespace eiderreel
