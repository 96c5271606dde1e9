// The fields of records in the state store, read from values that are parsed already. An error
// means that the value holds no such record.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>

#include "codec/json_fields.h"
#include "codec/state_records.h"

namespace eiderreel::codec::fields {

/// The number of the compact form. The bits form has none, since builds from before there was
/// another one wrote none.
constexpr std::uint64_t kCompactForm = 2;

/// A job as its record keeps it.
struct StoredJob {
  JobSpec spec;
  std::size_t prerequisite_chunks = 0;  // values in which its prerequisites stand; 0: in the record
};

/// How a job ended.
struct StoredEnd {
  std::optional<JobPhase> phase;
  std::optional<Ms> at;  // time of day; earlier builds did not write it
};

/// The records of state_records.h, each from its value.
Decoded<PartitionRecord> parse_partition_record(const Value& value);
/// The record of a machine.
Decoded<MachineRecord> parse_machine_record(const Value& value);
/// The record of a controller.
Decoded<NodeRecord> parse_node_record(const Value& value);
/// The record of a job, with or without prerequisites.
Decoded<StoredJob> parse_job_record(const Value& value);
/// A chunk of the prerequisites of a job.
Decoded<PrerequisiteChunk> parse_prerequisite_chunk(const Value& value);
/// The final record of a job; what cannot be read of it is missing.
StoredEnd parse_final_record(const Value& value);
/// Done tasks of a job, in either form.
Decoded<DoneRecord> parse_done_record(const Value& value);
/// The cluster version and the step that led to it.
Decoded<VersionRecord> parse_version_record(const Value& value);

}  // namespace eiderreel::codec::fields
