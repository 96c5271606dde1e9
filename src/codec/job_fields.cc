// JSON codec of a job's fields.
#include "codec/job_fields.h"

#include <cstdint>
#include <set>
#include <utility>

#include "codec/job_json.h"
#include "codec/wire_names.h"
#include "constants.h"

namespace eiderreel::codec::fields {

namespace {

void read_amount(FieldReader& reader, const char* name, double& out) {
  reader.required(name, out);
  reader.check(name, out >= 0 && out <= kMaxAmount);
}

void read_identity(FieldReader& reader, JobSpec& spec) {
  reader.required(wire::job::kId, spec.id);
  reader.check(wire::job::kId, valid_job_id(spec.id));
  reader.required(wire::job::kClass, spec.jobclass);
  reader.required(wire::job::kTeam, spec.team);
  reader.required(wire::job::kKind, wire::job::kKinds, spec.kind);
  reader.required(wire::job::kPriority, wire::job::kPriorities, spec.priority);
}

void read_resources(FieldReader& reader, JobSpec& spec) {
  std::uint64_t tasks = 0;
  reader.required(wire::job::kTasks, tasks);
  reader.check(wire::job::kTasks, tasks > 0 && tasks <= constants::kMaxJobTasks);
  spec.tasks = static_cast<std::uint32_t>(tasks);
  read_amount(reader, wire::job::kCpus, spec.cpus);
  reader.check(wire::job::kCpus, spec.cpus > 0);
  read_amount(reader, wire::job::kGpus, spec.gpus);
  read_amount(reader, wire::job::kMemoryGb, spec.memory_gb);
  reader.required(wire::job::kImage, spec.image);
  read_amount(reader, wire::job::kImageGb, spec.image_gb);
}

void read_placement(FieldReader& reader, const Value& object, JobSpec& spec) {
  if (const Value* types = find_field(object, wire::job::kMachineTypes)) {
    spec.types = parse_strings(*types).value_or(std::vector<std::string>{});
    reader.check(wire::job::kMachineTypes, !spec.types.empty());
  }
  if (reader.has(wire::job::kZone)) {
    reader.required(wire::job::kZone, spec.zone);
    reader.check(wire::job::kZone, !spec.zone.empty());
  }
  reader.required(wire::job::kOneZone, spec.one_zone);
  reader.required(wire::job::kSpread, spec.spread);
  reader.required(wire::job::kSpot, spec.spot);
}

void read_durations(FieldReader& reader, JobSpec& spec) {
  read_amount(reader, wire::job::kEstimateS, spec.estimate_s);
  read_amount(reader, wire::job::kCheckpointS, spec.checkpoint_s);
  read_amount(reader, wire::job::kSaveS, spec.save_s);
  if (!reader.has(wire::job::kDeadlineS)) return;
  double deadline_s = 0;
  read_amount(reader, wire::job::kDeadlineS, deadline_s);
  spec.deadline_s = deadline_s;
}

}  // namespace

Decoded<JobSpec> parse_spec(const Value& object) {
  FieldReader reader(object);
  JobSpec spec;
  read_identity(reader, spec);
  read_resources(reader, spec);
  read_placement(reader, object, spec);
  read_durations(reader, spec);
  return reader.result(std::move(spec));
}

Decoded<std::vector<std::string>> parse_job_ids(const Value& object, const char* name) {
  std::vector<std::string> ids;
  const Value* list = find_field(object, name);
  if (list == nullptr) return ids;
  const auto listed_ids = parse_strings(*list);
  if (!listed_ids) return field_error(DecodeFault::invalid, name);
  std::set<std::string> unique_ids;
  for (const auto& id : *listed_ids) {
    if (!valid_job_id(id)) return field_error(DecodeFault::invalid, name);
    if (unique_ids.insert(id).second) ids.push_back(id);
  }
  return ids;
}

void put_spec(Writer& writer, const JobSpec& spec) {
  put(writer, wire::job::kId, spec.id);
  put(writer, wire::job::kClass, spec.jobclass);
  put(writer, wire::job::kTeam, spec.team);
  put(writer, wire::job::kKind, enum_name(spec.kind, wire::job::kKinds));
  put(writer, wire::job::kPriority, enum_name(spec.priority, wire::job::kPriorities));
  put(writer, wire::job::kTasks, std::uint64_t{spec.tasks});
  put(writer, wire::job::kCpus, spec.cpus);
  put(writer, wire::job::kGpus, spec.gpus);
  put(writer, wire::job::kMemoryGb, spec.memory_gb);
  put(writer, wire::job::kImage, spec.image);
  put(writer, wire::job::kImageGb, spec.image_gb);
  if (!spec.types.empty()) put_strings(writer, wire::job::kMachineTypes, spec.types);
  if (!spec.zone.empty()) put(writer, wire::job::kZone, spec.zone);
  put(writer, wire::job::kOneZone, spec.one_zone);
  put(writer, wire::job::kSpread, spec.spread);
  put(writer, wire::job::kSpot, spec.spot);
  put(writer, wire::job::kEstimateS, spec.estimate_s);
  put(writer, wire::job::kCheckpointS, spec.checkpoint_s);
  put(writer, wire::job::kSaveS, spec.save_s);
  if (spec.deadline_s) put(writer, wire::job::kDeadlineS, *spec.deadline_s);
  put(writer, wire::job::kAcceptedAtMs, static_cast<std::uint64_t>(spec.accepted_at));
}

}  // namespace eiderreel::codec::fields
