// Encoding of state store records; record_fields.cc decodes them.
#include "codec/state_records.h"

#include <algorithm>

#include "codec/job_fields.h"
#include "codec/job_json.h"
#include "codec/json_fields.h"
#include "codec/progress_form.h"
#include "codec/record_fields.h"
#include "codec/wire_names.h"
#include "constants.h"

namespace eiderreel::codec {

using namespace fields;

namespace {

using upgrade::ClusterVersion;
using upgrade::ProgressForm;

template <class WriteFields>
std::string encode_record(const std::string& nonce, const WriteFields& write_fields) {
  return encode_object([&](Writer& writer) {
    put(writer, wire::record::kNonce, nonce);
    write_fields(writer);
  });
}

void put_version(Writer& writer, const char* name, ClusterVersion version) {
  put(writer, name, std::uint64_t{upgrade::number(version)});
}

// Writes the job's fields into a nested object. A build without support for prerequisites would
// start the job at once; as it finds no job fields at the top level, it ignores the record.
void put_nested_job(Writer& writer, const JobSpec& spec) {
  writer.Key(wire::record::kJob);
  writer.StartObject();
  put_spec(writer, spec);
  writer.EndObject();
}

void put_range(Writer& writer, const TaskRange& range) {
  if (!range.whole_job && range.count == constants::kProgressChunkTasks)
    put(writer, wire::record::kChunk, std::uint64_t{range.first / constants::kProgressChunkTasks});
  else
    put(writer, wire::record::kFirstTask, std::uint64_t{range.first});
}

// Writes a Roaring bitmap, or the bits form where that is shorter, as for many short arrays. The
// bits form is limited to the tasks of one chunk, because decoders read no more.
void put_compact(Writer& writer, const std::vector<std::uint32_t>& tasks, std::uint32_t first) {
  put(writer, wire::record::kForm, kCompactFormNumber);
  const std::string roaring = pack_roaring(tasks, first);
  const std::uint32_t last = tasks.empty() ? first : tasks.back();
  const std::uint32_t span = last - first + 1;
  if (span <= constants::kProgressChunkTasks && packed_length(span) <= roaring.size())
    put(writer, wire::record::kBits, pack_bits(tasks, first));
  else
    put(writer, wire::record::kRoaring, roaring);
}

}  // namespace

std::string encode(const PartitionRecord& record, const std::string& nonce) {
  return encode_record(nonce, [&](Writer& writer) {
    put(writer, wire::record::kLeader, record.leader);
    put(writer, wire::record::kLeaseId, record.lease_id);
  });
}

std::string encode(const MachineRecord& record, const std::string& nonce) {
  return encode_record(nonce, [&](Writer& writer) {
    put(writer, wire::record::kPartition, record.partition);
    put(writer, wire::record::kMachineType, record.type);
    put(writer, wire::record::kZone, record.zone);
    put(writer, wire::record::kAddress, record.addr);
    put(writer, wire::record::kSpot, record.spot);
  });
}

std::string encode(const NodeRecord& record, const std::string& nonce) {
  return encode_record(nonce, [&](Writer& writer) {
    put(writer, wire::record::kBootId, record.boot_id);
    put(writer, wire::record::kLeaseId, record.lease_id);
    if (record.features > 0) put(writer, wire::record::kFeatures, record.features);
    if (!record.versions) return;
    put_version(writer, wire::record::kOldestVersion, record.versions->range.oldest);
    put_version(writer, wire::record::kNewestVersion, record.versions->range.newest);
    put_version(writer, wire::record::kActingVersion, record.versions->acting);
    put(writer, wire::record::kBuild, record.versions->build);
  });
}

std::string encode(const PrerequisiteChunk& record, const std::string& nonce) {
  return encode_record(nonce, [&](Writer& writer) {
    put_strings(writer, wire::record::kPrerequisites, record.jobs);
  });
}

std::string encode(const VersionRecord& record, const std::string& nonce) {
  return encode_record(nonce, [&](Writer& writer) {
    put_version(writer, wire::record::kVersion, record.version);
    put_version(writer, wire::record::kPreviousVersion, record.previous_version);
    put(writer, wire::record::kAtMs, static_cast<std::uint64_t>(record.at));
    put(writer, wire::record::kRequestedBy, record.requested_by);
    put(writer, wire::record::kRequestId, record.request_id);
  });
}

std::string encode(const JobSpec& spec, const std::string& nonce) {
  return encode_record(nonce, [&](Writer& writer) {
    if (spec.prerequisites.empty()) {
      put_spec(writer, spec);
      return;
    }
    put_strings(writer, wire::record::kPrerequisites, spec.prerequisites);
    put_nested_job(writer, spec);
  });
}

std::string encode_with_chunks(const JobSpec& spec, std::size_t chunks, const std::string& nonce) {
  return encode_record(nonce, [&](Writer& writer) {
    put(writer, wire::record::kPrerequisiteChunks, static_cast<std::uint64_t>(chunks));
    put_nested_job(writer, spec);
  });
}

std::string encode_final(JobPhase phase, Ms at, const std::string& nonce) {
  return encode_record(nonce, [&](Writer& writer) {
    put(writer, wire::record::kPhase, std::string(phase_name(phase)));
    put(writer, wire::record::kAtMs, static_cast<std::uint64_t>(at));
  });
}

std::string encode_progress(const std::vector<std::uint32_t>& tasks, const TaskRange& range,
                            ProgressForm form, const std::string& nonce) {
  return encode_record(nonce, [&](Writer& writer) {
    put_range(writer, range);
    if (form == ProgressForm::bits)
      put(writer, wire::record::kBits, pack_bits(tasks, range.first));
    else
      put_compact(writer, tasks, range.first);
  });
}

// Uses full chunks wherever they fit into a value, for compatibility with earlier builds.
TaskRange progress_range(std::uint32_t task, std::uint32_t tasks, std::size_t value_bytes) {
  const std::uint32_t largest_count = std::min(tasks, constants::kProgressChunkTasks);
  const std::size_t max_characters =
      value_bytes - std::min(value_bytes, constants::kProgressOverhead);
  std::uint32_t count = constants::kProgressChunkTasks;
  if (packed_length(largest_count) > max_characters)
    count = std::max<std::uint32_t>(static_cast<std::uint32_t>(max_characters) * kBitsPerCharacter,
                                    kBitsPerCharacter);
  return {task / count * count, count};
}

}  // namespace eiderreel::codec
