// Reading of settings files: every problem is noted with its file and field.
#pragma once
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace eiderreel {

// Reads fields and notes every problem as "FILE: FIELD: what is wrong".
class TomlReader {
 public:
  TomlReader(std::string file, std::vector<std::string>& problems)
      : file_(std::move(file)), problems_(problems) {}

  void problem(const std::string& field, const std::string& what) {
    problems_.push_back(file_ + ": " + field + ": " + what);
  }

  const toml::table* table(const toml::table& t, const std::string& path, const char* name) {
    const auto* n = t.get(name);
    if (!n || !n->is_table()) {
      problem(path + name, n ? "must be a table" : "is missing");
      return nullptr;
    }
    return n->as_table();
  }

  void text(const toml::table& t, const std::string& path, const char* name, std::string& out) {
    const auto* n = t.get(name);
    if (!n) return problem(path + name, "is missing");
    if (!n->is_string() || n->as_string()->get().empty())
      return problem(path + name, "must be a text");
    out = n->as_string()->get();
  }

  void address(const toml::table& t, const std::string& path, const char* name, std::string& out) {
    text(t, path, name, out);
    if (out.empty()) return;
    const auto colon = out.rfind(':');
    const bool port = colon != std::string::npos && colon > 0 && out.size() - colon - 1 >= 1 &&
                      out.size() - colon - 1 <= 5 &&
                      std::all_of(out.begin() + static_cast<long>(colon) + 1, out.end(),
                                  [](char c) { return c >= '0' && c <= '9'; });
    if (!port || std::stoi(out.substr(colon + 1)) > 65535 || std::stoi(out.substr(colon + 1)) == 0)
      problem(path + name, "must be IP:PORT");
  }

  void number(const toml::table& t, const std::string& path, const char* name, double low,
              double high, double& out) {
    const auto* n = t.get(name);
    if (!n) return problem(path + name, "is missing");
    if (!n->is_number()) return problem(path + name, "must be a number");
    const double v = n->value<double>().value_or(0);
    if (!(v >= low && v <= high))
      return problem(path + name, "must be between " + show(low) + " and " + show(high));
    out = v;
  }

  void whole(const toml::table& t, const std::string& path, const char* name, int low, int high,
             int& out) {
    const auto* n = t.get(name);
    if (n && !n->is_integer()) return problem(path + name, "must be a whole number");
    double v = out;
    number(t, path, name, low, high, v);
    out = static_cast<int>(v);
  }

 private:
  static std::string show(double v) {
    std::string s = std::to_string(v);
    s.erase(s.find_last_not_of('0') + 1);
    if (s.back() == '.') s.pop_back();
    return s;
  }
  std::string file_;
  std::vector<std::string>& problems_;
};

}  // namespace eiderreel
