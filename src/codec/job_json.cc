// JSON codec of the users' API for jobs.
#include "codec/job_json.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

#include "codec/job_fields.h"
#include "codec/json_fields.h"
#include "codec/wire_names.h"

namespace eiderreel::codec {

using namespace fields;

namespace {

constexpr std::string_view kIdPrefix = "run-";
constexpr std::size_t kIdMaxCharacters = 64;

}  // namespace

bool valid_job_id(const std::string& id) {
  if (!id.starts_with(kIdPrefix)) return false;
  if (id.size() == kIdPrefix.size() || id.size() > kIdMaxCharacters) return false;
  return id.find_first_not_of("0123456789", kIdPrefix.size()) == std::string::npos;
}

ParsedJob parse_job(const std::string& body) {
  const auto document = parse_object(body);
  if (!document) return {std::nullopt, to_string(document.error())};
  auto spec = parse_spec(*document);
  if (!spec) return {std::nullopt, to_string(spec.error())};
  auto prerequisites = parse_job_ids(*document, wire::job::kPrerequisites);
  if (!prerequisites) return {std::move(*spec), to_string(prerequisites.error())};
  spec->prerequisites = std::move(*prerequisites);
  return {std::move(*spec), ""};
}

const char* phase_name(JobPhase phase) {
  return wire::job::kPhases.at(static_cast<std::size_t>(phase));
}

std::string job_phase_body(const std::string& id, JobPhase phase) {
  return encode_object([&](Writer& writer) {
    put(writer, wire::job::kId, id);
    put(writer, wire::job::kPhase, std::string(phase_name(phase)));
  });
}

std::string job_status_body(const std::string& id, const JobStatus& status) {
  return encode_object([&](Writer& writer) {
    put(writer, wire::job::kId, id);
    put(writer, wire::job::kPhase, std::string(phase_name(status.phase)));
    put(writer, wire::job::kTasksDone, std::uint64_t{status.done});
    put(writer, wire::job::kTasksRunning, std::uint64_t{status.running});
  });
}

std::string error_body(const std::string& text) {
  return encode_object([&](Writer& writer) { put(writer, wire::job::kError, text); });
}

}  // namespace eiderreel::codec
