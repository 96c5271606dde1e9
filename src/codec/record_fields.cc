// Decoding of state store records; state_records.cc encodes them.
#include "codec/record_fields.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>

#include "codec/job_fields.h"
#include "codec/progress_form.h"
#include "codec/wire_names.h"
#include "constants.h"

namespace eiderreel::codec::fields {

namespace {

using upgrade::ClusterVersion;
using upgrade::ProgressForm;

// Numbers that do not fit are clamped to the largest version, which no build supports.
bool get_version(const Value& value, const char* name, ClusterVersion& out) {
  std::uint64_t number = 0;
  if (!get(value, name, number)) return false;
  out = static_cast<ClusterVersion>(
      std::min<std::uint64_t>(number, std::numeric_limits<std::uint32_t>::max()));
  return true;
}

std::optional<Ms> get_time(const Value& value, const char* name) {
  std::uint64_t at_ms = 0;
  if (!get(value, name, at_ms)) return std::nullopt;
  return static_cast<Ms>(at_ms);
}

// The first task that a progress value covers. Earlier builds write full chunks, identified by the
// chunk's index.
std::optional<std::uint32_t> first_task(const Value& value) {
  std::uint64_t chunk = 0;
  std::uint64_t first = 0;
  if (get(value, wire::record::kChunk, chunk) && chunk < constants::kMaxJobTasks)
    first = chunk * constants::kProgressChunkTasks;
  else if (!get(value, wire::record::kFirstTask, first))
    return std::nullopt;
  if (first >= constants::kMaxJobTasks) return std::nullopt;
  return static_cast<std::uint32_t>(first);
}

std::optional<upgrade::BuildVersions> build_versions(const Value& value) {
  upgrade::BuildVersions versions;
  if (!get_version(value, wire::record::kOldestVersion, versions.range.oldest) ||
      !get_version(value, wire::record::kNewestVersion, versions.range.newest) ||
      !get_version(value, wire::record::kActingVersion, versions.acting))
    return std::nullopt;
  get(value, wire::record::kBuild, versions.build);
  return versions;
}

}  // namespace

Decoded<PartitionRecord> parse_partition_record(const Value& value) {
  FieldReader reader(value);
  PartitionRecord record;
  reader.required(wire::record::kLeader, record.leader);
  reader.required(wire::record::kLeaseId, record.lease_id);
  return reader.result(std::move(record));
}

Decoded<MachineRecord> parse_machine_record(const Value& value) {
  FieldReader reader(value);
  MachineRecord record;
  reader.required(wire::record::kPartition, record.partition);
  reader.required(wire::record::kMachineType, record.type);
  reader.required(wire::record::kZone, record.zone);
  reader.required(wire::record::kAddress, record.addr);
  reader.required(wire::record::kSpot, record.spot);
  return reader.result(std::move(record));
}

Decoded<NodeRecord> parse_node_record(const Value& value) {
  FieldReader reader(value);
  NodeRecord record;
  reader.required(wire::record::kBootId, record.boot_id);
  reader.required(wire::record::kLeaseId, record.lease_id);
  reader.optional(wire::record::kFeatures, record.features);
  record.versions = build_versions(value);
  return reader.result(std::move(record));
}

// The record of a job without prerequisites has the job's fields at its top level; the record of a
// job with prerequisites has them in a nested object.
Decoded<JobRecord> parse_job_record(const Value& value) {
  const Value* nested = find_field(value, wire::record::kJob);
  const Value& job = nested != nullptr && nested->IsObject() ? *nested : value;
  auto spec = parse_spec(job);
  if (!spec) return tl::unexpected(spec.error());
  spec->accepted_at = get_time(job, wire::job::kAcceptedAtMs).value_or(0);
  if (nested != nullptr) {
    auto prerequisites = parse_job_ids(value, wire::record::kPrerequisites);
    if (!prerequisites) return tl::unexpected(prerequisites.error());
    spec->prerequisites = std::move(*prerequisites);
  }
  std::uint64_t chunks = 0;
  get(value, wire::record::kPrerequisiteChunks, chunks);
  return JobRecord{std::move(*spec), chunks};
}

Decoded<PrerequisiteChunk> parse_prerequisite_chunk(const Value& value) {
  auto jobs = parse_job_ids(value, wire::record::kPrerequisites);
  if (!jobs) return tl::unexpected(jobs.error());
  return PrerequisiteChunk{std::move(*jobs)};
}

FinalRecord parse_final_record(const Value& value) {
  FinalRecord record;
  std::string phase;
  if (get(value, wire::record::kPhase, phase))
    record.phase = enum_value<JobPhase>(phase, wire::job::kPhases);
  record.at = get_time(value, wire::record::kAtMs);
  return record;
}

Decoded<ProgressRecord> parse_progress_record(const Value& value) {
  const auto first = first_task(value);
  if (!first) return field_error(DecodeFault::missing_or_invalid, wire::record::kFirstTask);
  ProgressRecord record;
  std::uint64_t form = 0;
  if (get(value, wire::record::kForm, form)) {
    if (form != kCompactFormNumber) return field_error(DecodeFault::invalid, wire::record::kForm);
    record.form = ProgressForm::compact;
  }
  std::string text;
  if (get(value, wire::record::kBits, text)) {
    record.tasks = unpack_bits(text, *first);
    return record;
  }
  if (record.form != ProgressForm::compact || !get(value, wire::record::kRoaring, text))
    return field_error(DecodeFault::missing_or_invalid, wire::record::kBits);
  auto tasks = unpack_roaring(text, *first);
  if (!tasks) return tl::unexpected(tasks.error());
  record.tasks = std::move(*tasks);
  return record;
}

Decoded<VersionRecord> parse_version_record(const Value& value) {
  VersionRecord record;
  if (!get_version(value, wire::record::kVersion, record.version) ||
      upgrade::number(record.version) == 0)
    return field_error(DecodeFault::missing_or_invalid, wire::record::kVersion);
  get_version(value, wire::record::kPreviousVersion, record.previous_version);
  record.at = get_time(value, wire::record::kAtMs).value_or(0);
  get(value, wire::record::kRequestedBy, record.requested_by);
  get(value, wire::record::kRequestId, record.request_id);
  return record;
}

}  // namespace eiderreel::codec::fields
