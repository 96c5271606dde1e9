// Decoding of state store records from parsed JSON values. An error means that the value is not a
// valid record of its type.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>

#include "codec/json_fields.h"
#include "codec/state_records.h"

namespace eiderreel::codec::fields {

/// Number that marks the compact form of progress. The bits form has no number, because builds that
/// predate the compact form wrote none.
constexpr std::uint64_t kCompactFormNumber = 2;

/// The content of a job record.
struct JobRecord {
  JobSpec spec;
  std::size_t prerequisite_chunks =
      0;  // values that contain the prerequisites; 0: they are in this record
};

/// The content of a job's final record.
struct FinalRecord {
  std::optional<JobPhase> phase;
  std::optional<Ms> at;  // wall clock; earlier builds did not write it
};

/// Parses the claim of a partition's leader.
Decoded<PartitionRecord> parse_partition_record(const Value& value);
/// Parses the record of a machine.
Decoded<MachineRecord> parse_machine_record(const Value& value);
/// Parses the record of a controller.
Decoded<NodeRecord> parse_node_record(const Value& value);
/// Parses the record of a job, with or without prerequisites.
Decoded<JobRecord> parse_job_record(const Value& value);
/// Parses a chunk of a job's prerequisites.
Decoded<PrerequisiteChunk> parse_prerequisite_chunk(const Value& value);
/// Parses the final record of a job. Fields that cannot be read are left empty.
FinalRecord parse_final_record(const Value& value);
/// Parses finished tasks of a job, in the bits form or the compact form.
Decoded<ProgressRecord> parse_progress_record(const Value& value);
/// Parses the cluster version and the upgrade step that set it.
Decoded<VersionRecord> parse_version_record(const Value& value);

}  // namespace eiderreel::codec::fields
