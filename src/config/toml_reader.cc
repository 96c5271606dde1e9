// Typed access to the fields of a TOML settings file. Every problem is recorded.
#include "config/toml_reader.h"

#include "config/host_port.h"

namespace eiderreel {
namespace {

// The text of a bound without the trailing zeros of std::to_string, like "0.001" or "50".
std::string bound_text(double bound) {
  std::string text = std::to_string(bound);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

}  // namespace

std::string entry_path(const std::string& list, std::size_t index) {
  return list + "[" + std::to_string(index) + "].";
}

std::optional<toml::table> TomlReader::parse() {
  toml::parse_result parsed = toml::parse_file(file_);
  if (parsed) return std::move(parsed).table();
  // Line 0 means that the file could not be read.
  const auto line = parsed.error().source().begin.line;
  add_problem(line != 0 ? "line " + std::to_string(line) : "file",
              std::string(parsed.error().description()));
  return std::nullopt;
}

void TomlReader::add_problem(const std::string& field, const std::string& message) {
  problems_.push_back({file_, field, message});
}

const toml::table* TomlReader::table(const toml::table& parent, const std::string& path,
                                     const char* name) {
  const toml::node* node = parent.get(name);
  if (node && node->is_table()) return node->as_table();
  add_problem(path + name, node ? "must be a table" : "is missing");
  return nullptr;
}

const toml::table* TomlReader::entry(const toml::array& list, std::size_t index,
                                     const std::string& path) {
  const toml::table* table = list.get(index)->as_table();
  if (!table) add_problem(path, "must be a table");
  return table;
}

void TomlReader::text(const toml::table& table, const std::string& path, const char* name,
                      std::string& out) {
  const toml::node* node = table.get(name);
  if (!node) return add_problem(path + name, "is missing");
  if (!node->is_string() || node->as_string()->get().empty())
    return add_problem(path + name, "must be a text");
  out = node->as_string()->get();
}

void TomlReader::address(const toml::table& table, const std::string& path, const char* name,
                         std::string& out) {
  text(table, path, name, out);
  if (out.empty()) return;  // text() has recorded the problem
  if (!parse_host_port(out)) add_problem(path + name, "must be IP:PORT");
}

void TomlReader::number(const toml::table& table, const std::string& path, const char* name,
                        double low, double high, double& out) {
  const toml::node* node = table.get(name);
  if (!node) return add_problem(path + name, "is missing");
  if (!node->is_number()) return add_problem(path + name, "must be a number");
  const double value = node->value<double>().value_or(0);
  // NaN is valid TOML; it fails both comparisons and is reported as out of range.
  const bool in_range = value >= low && value <= high;
  if (!in_range)
    return add_problem(path + name,
                       "must be between " + bound_text(low) + " and " + bound_text(high));
  out = value;
}

void TomlReader::integer(const toml::table& table, const std::string& path, const char* name,
                         int low, int high, int& out) {
  const toml::node* node = table.get(name);
  if (node && !node->is_integer()) return add_problem(path + name, "must be a whole number");
  double value = out;
  number(table, path, name, low, high, value);
  out = static_cast<int>(value);
}

}  // namespace eiderreel
