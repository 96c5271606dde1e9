// How the records of the state store are written; record_fields.cc reads them.
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

template <class Fill>
std::string encode_record(const std::string& nonce, const Fill& fill) {
  return object([&](Writer& writer) {
    put(writer, wire::record::kNonce, nonce);
    fill(writer);
  });
}

void put_version(Writer& writer, const char* name, ClusterVersion version) {
  put(writer, name, std::uint64_t{upgrade::number(version)});
}

// A build that knows no prerequisites would start the job at once. It finds none of the
// job's fields in such a record, and leaves the job alone.
void put_nested_job(Writer& writer, const JobSpec& spec) {
  writer.Key(wire::record::kJob);
  writer.StartObject();
  put_spec(writer, spec);
  writer.EndObject();
}

void put_range(Writer& writer, const TaskRange& range) {
  if (!range.whole && range.count == constants::kProgressChunkTasks)
    put(writer, wire::record::kChunk, std::uint64_t{range.first / constants::kProgressChunkTasks});
  else
    put(writer, wire::record::kFirst, std::uint64_t{range.first});
}

// A Roaring bitmap, or bits where these are shorter, as for many short arrays. Bits are read up to
// a chunk only.
void put_compact(Writer& writer, const std::vector<std::uint32_t>& tasks, std::uint32_t first) {
  put(writer, wire::record::kForm, kCompactForm);
  const std::string roaring = pack_roaring(tasks, first);
  const std::uint32_t last = tasks.empty() ? first : tasks.back();
  const std::uint32_t span = last - first + 1;
  if (span <= constants::kProgressChunkTasks && packed_size(span) <= roaring.size())
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
    put(writer, wire::record::kBoot, record.boot);
    put(writer, wire::record::kLeaseId, record.lease_id);
    if (record.features > 0) put(writer, wire::record::kFeatures, record.features);
    if (!record.versions) return;
    put_version(writer, wire::record::kOldest, record.versions->range.oldest);
    put_version(writer, wire::record::kNewest, record.versions->range.newest);
    put_version(writer, wire::record::kActing, record.versions->acting);
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
    put_version(writer, wire::record::kFrom, record.from);
    put(writer, wire::record::kAtMs, static_cast<std::uint64_t>(record.at));
    put(writer, wire::record::kWho, record.who);
    put(writer, wire::record::kRequest, record.request);
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

std::string encode_done(const std::vector<std::uint32_t>& tasks, const TaskRange& range,
                        ProgressForm form, const std::string& nonce) {
  return encode_record(nonce, [&](Writer& writer) {
    put_range(writer, range);
    if (form == ProgressForm::bits)
      put(writer, wire::record::kBits, pack_bits(tasks, range.first));
    else
      put_compact(writer, tasks, range.first);
  });
}

// Whole chunks, as earlier builds have them, wherever those fit.
TaskRange progress_range(std::uint32_t task, std::uint32_t tasks, std::size_t value_bytes) {
  const std::uint32_t largest = std::min(tasks, constants::kProgressChunkTasks);
  const std::size_t digits = value_bytes - std::min(value_bytes, constants::kProgressOverheadBytes);
  std::uint32_t count = constants::kProgressChunkTasks;
  if (packed_size(largest) > digits)
    count =
        std::max<std::uint32_t>(static_cast<std::uint32_t>(digits) * kBitsPerDigit, kBitsPerDigit);
  return {task / count * count, count};
}

}  // namespace eiderreel::codec
