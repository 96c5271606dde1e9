#include "standin/version_checker.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <vector>

#include "standin/text.h"

namespace eiderreel::standin {
namespace {

using rapidjson::Document;

struct Writer {
  std::string node, boot;
};

// Every value begins with the nonce of its commit: node, boot id and a counter.
Writer writer_of(const std::string& value) {
  Document document;
  document.Parse(value.c_str());
  if (!document.IsObject() || !document.HasMember("n")) return {};
  const std::string nonce = document["n"].GetString();
  const auto boot = nonce.rfind('.');
  const auto node = nonce.rfind('.', boot - 1);
  return {nonce.substr(0, node), nonce.substr(node + 1, boot - node - 1)};
}

// A number in a value; 0: there is none.
std::uint64_t number_in(const std::string* value, const char* name) {
  if (!value) return 0;
  Document document;
  document.Parse(value->c_str());
  return document.IsObject() && document.HasMember(name) && document[name].IsUint64()
             ? document[name].GetUint64()
             : 0;
}

std::string boot_in(const std::string* record) {
  if (!record) return "";
  Document document;
  document.Parse(record->c_str());
  return document["boot"].GetString();
}

}  // namespace

void VersionChecker::written(const std::string& key, const std::string& value, const Rows& rows) {
  if (has_prefix(key, "e/node/")) return take_record(key, value);
  if (key == "e/upgrade/version") versions_.push_back(number_in(&value, "version"));
  check_writer(key, value, rows);
}

void VersionChecker::take_record(const std::string& key, const std::string& value) {
  if (number_in(&value, "acting") > 0) boots_.insert({codec::key_name(key), boot_in(&value)});
}

// Whoever writes has a record at that moment, and progress is in the form of its version.
void VersionChecker::check_writer(const std::string& key, const std::string& value,
                                  const Rows& rows) {
  const Writer writer = writer_of(value);
  if (!boots_.count({writer.node, writer.boot})) return;
  const std::string* record = rows("e/node/" + writer.node);
  const std::uint64_t acting = number_in(record, "acting");
  if (acting == 0 || boot_in(record) != writer.boot)
    return on_violation_(writer.node + " writes " + key + " without a record");
  if (!has_prefix(key, "d/")) return;
  const bool compact = number_in(&value, "form") == 2;
  ++progress_written_[compact];
  if (compact != (acting >= 2))
    on_violation_(writer.node + " writes " + key + (compact ? " compact" : " as bits") +
                  " under version " + std::to_string(acting));
}

void VersionChecker::look(const Rows& rows) {
  std::set<std::string> nodes;
  for (const auto& [node, boot] : boots_) nodes.insert(node);
  const std::string* version = rows("e/upgrade/version");
  const std::uint64_t cluster = version ? number_in(version, "version") : 1;
  if (cluster == 0) return;  // a value that no controller has written
  std::uint64_t least = cluster, most = cluster;
  for (const std::string& node : nodes) {
    const std::uint64_t acting = number_in(rows("e/node/" + node), "acting");
    if (acting == 0) continue;
    least = std::min(least, acting);
    most = std::max(most, acting);
  }
  if (most - least > 1)
    on_violation_("versions from " + std::to_string(least) + " to " + std::to_string(most));
}

}  // namespace eiderreel::standin
