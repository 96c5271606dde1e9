// Helpers for the JSON bodies and paths of the requests to simulated services.
#pragma once
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <string>

#include "codec/job_json.h"
#include "codec/state_json.h"

namespace eiderreel::standin {

inline std::string json_text(const rapidjson::Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return buffer.GetString();
}

inline std::string error_text(const char* what) {
  return std::string("{\"error\":\"") + what + "\"}";
}

inline bool has_prefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

// The value of a query parameter of a path; empty if it is missing.
inline std::string query_parameter(const std::string& path, const std::string& name) {
  auto begin = path.find('?');
  while (begin != std::string::npos) {
    const auto end = path.find('&', begin + 1);
    const auto parameter = path.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
    if (has_prefix(parameter, name + "=")) return parameter.substr(name.size() + 1);
    begin = end;
  }
  return "";
}

// The body of a submission: the job and its prerequisites, without the other fields of a stored job
// record.
inline std::string submission_text(const JobSpec& spec) {
  JobSpec alone = spec;
  alone.prerequisites.clear();
  std::string text = codec::encode(alone, "user");
  if (spec.prerequisites.empty()) return text;
  std::string list;
  for (const auto& id : spec.prerequisites) list += (list.empty() ? "\"" : ",\"") + id + "\"";
  text.insert(text.size() - 1, ",\"awaits\":[" + list + "]");
  return text;
}

}  // namespace eiderreel::standin
