// Typed access to the fields of a TOML settings file that records every problem it meets.
#pragma once
#include <toml++/toml.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/config_problem.h"

namespace eiderreel {

/// Reads fields out of TOML tables. A field that is missing or malformed is recorded as a problem
/// and its output keeps its value, so that one run reports all problems of a file.
///
/// In all functions `path` is the dotted path of the table, with its trailing dot, or empty for the
/// top level; it is only used to name fields in problems.
class TomlReader {
 public:
  /// Problems are appended to `problems`, which must outlive the reader.
  TomlReader(std::string file, std::vector<ConfigProblem>& problems)
      : file_(std::move(file)), problems_(problems) {}

  /// Parses the whole file. Nothing if it cannot be opened or is not TOML; that is recorded.
  std::optional<toml::table> parse();

  /// Records a problem of a field.
  void problem(const std::string& field, const std::string& message);

  /// The sub-table `name`; null, with a problem recorded, if it is missing or no table.
  const toml::table* table(const toml::table& parent, const std::string& path, const char* name);

  /// The entry of a list as a table; null, with a problem recorded, if it is none.
  const toml::table* entry(const toml::array& list, std::size_t index, const std::string& path);

  /// A text that is not empty.
  void text(const toml::table& table, const std::string& path, const char* name, std::string& out);

  /// An address of the form HOST:PORT.
  void address(const toml::table& table, const std::string& path, const char* name,
               std::string& out);

  /// A number between `low` and `high`, both included.
  void number(const toml::table& table, const std::string& path, const char* name, double low,
              double high, double& out);

  /// A whole number between `low` and `high`, both included.
  void whole(const toml::table& table, const std::string& path, const char* name, int low, int high,
             int& out);

 private:
  std::string file_;
  std::vector<ConfigProblem>& problems_;
};

/// The path of an entry of a list, with its trailing dot: "params.teams[0].".
std::string entry_path(const std::string& list, std::size_t index);

}  // namespace eiderreel
