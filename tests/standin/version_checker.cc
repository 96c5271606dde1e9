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

// A number in a value; 0 if it is missing.
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

void VersionChecker::on_write(const std::string& key, const std::string& value,
                              const StateLookup& lookup) {
  if (has_prefix(key, "e/node/")) return record_process(key, value);
  if (key == "e/upgrade/version") versions_.push_back(number_in(&value, "version"));
  check_writer(key, value, lookup);
}

void VersionChecker::record_process(const std::string& key, const std::string& value) {
  if (number_in(&value, "acting") > 0)
    participants_.insert({codec::key_name(key), boot_in(&value)});
}

// Checks that the writing process has a node record at this moment, and that it writes progress in
// the format of the version in that record.
void VersionChecker::check_writer(const std::string& key, const std::string& value,
                                  const StateLookup& lookup) {
  const Writer writer = writer_of(value);
  if (!participants_.count({writer.node, writer.boot})) return;
  const std::string* record = lookup("e/node/" + writer.node);
  const std::uint64_t acting = number_in(record, "acting");
  if (acting == 0 || boot_in(record) != writer.boot)
    return on_violation_(writer.node + " writes " + key + " without a record");
  if (!has_prefix(key, "d/")) return;
  const bool compact = number_in(&value, "form") == 2;
  ++progress_writes_[compact];
  if (compact != (acting >= 2))
    on_violation_(writer.node + " writes " + key + (compact ? " compact" : " as bits") +
                  " under version " + std::to_string(acting));
}

void VersionChecker::check_versions(const StateLookup& lookup) {
  std::set<std::string> nodes;
  for (const auto& [node, boot] : participants_) nodes.insert(node);
  const std::string* version = lookup("e/upgrade/version");
  const std::uint64_t cluster_version = version ? number_in(version, "version") : 1;
  if (cluster_version == 0) return;  // the value was not written by a controller
  std::uint64_t min_version = cluster_version, max_version = cluster_version;
  for (const std::string& node : nodes) {
    const std::uint64_t acting = number_in(lookup("e/node/" + node), "acting");
    if (acting == 0) continue;
    min_version = std::min(min_version, acting);
    max_version = std::max(max_version, acting);
  }
  if (max_version - min_version > 1)
    on_violation_("versions from " + std::to_string(min_version) + " to " +
                  std::to_string(max_version));
}

}  // namespace eiderreel::standin
