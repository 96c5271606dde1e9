// The records that controllers keep in the state store. The names of their fields on the wire are
// in state_records.cc alone.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/job.h"
#include "versioning/cluster_version.h"

namespace eiderreel::codec {

struct PartitionRecord {
  std::string leader;
  std::uint64_t lease_id = 0;
};
struct MachineRecord {
  int partition = -1;  // -1: released, to be returned
  std::string type, zone, addr;
  bool spot = false;
};
struct NodeRecord {
  std::string boot;
  std::uint64_t lease_id = 0;
  std::uint64_t features = 0;  // see constants::kFeatures; 0: a build from before there were any
  // Nothing: a build from before cluster versions, or one that takes no part in them.
  std::optional<upgrade::BuildVersions> versions = std::nullopt;
};
struct DoneRecord {
  std::vector<std::uint32_t> tasks;
  upgrade::ProgressForm form = upgrade::ProgressForm::bits;
};
// The durable cluster version, and the step that led to it.
struct VersionRecord {
  upgrade::ClusterVersion version = upgrade::kFirstVersion;
  upgrade::ClusterVersion from = upgrade::kFirstVersion;
  Ms at = 0;            // time of day
  std::string who;      // asked for the step
  std::string request;  // its name, chosen by who asked
};
// Prerequisites of a job that names more than fit into its record.
struct PrerequisiteChunk {
  std::vector<std::string> jobs;
};
// Tasks of a job whose progress shares a value. A job with more tasks than fit into one has
// several.
struct TaskRange {
  std::uint32_t first = 0, count = 0;
  bool whole = false;  // all tasks of the job, however many; compact progress only
  bool operator<(const TaskRange& other) const { return first < other.first; }
};
// The range that holds a task, for values of at most so many bytes.
TaskRange progress_range(std::uint32_t task, std::uint32_t tasks, std::size_t value_bytes);
std::string encode(const PartitionRecord& r, const std::string& nonce);
std::string encode(const MachineRecord& r, const std::string& nonce);
std::string encode(const NodeRecord& r, const std::string& nonce);
std::string encode(const JobSpec& r, const std::string& nonce);
// The record of a job whose prerequisites stand in so many values of their own.
std::string encode_with_chunks(const JobSpec& r, std::size_t chunks, const std::string& nonce);
std::string encode(const PrerequisiteChunk& r, const std::string& nonce);
std::string encode_final(JobPhase p, Ms at, const std::string& nonce);
// `tasks` in ascending order.
std::string encode_done(const std::vector<std::uint32_t>& tasks, const TaskRange& range,
                        upgrade::ProgressForm form, const std::string& nonce);
std::string encode(const VersionRecord& r, const std::string& nonce);

}  // namespace eiderreel::codec
