// JSON in and out: the only place that knows the names on the wire.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "model/types.h"
#include "versioning/cluster_version.h"

namespace eiderreel::codec {

// --- users ---
struct ParsedJob {
  // Also there if the prerequisites alone are invalid: the job may be known, whatever they say.
  std::optional<JobSpec> spec;
  std::string error;  // what is wrong; empty: nothing
};
ParsedJob parse_job(const std::string& body);
bool valid_job_id(const std::string& id);
std::string job_answer(const std::string& id, JobPhase phase);
std::string job_status(const std::string& id, const JobStatus& s);
std::string error_body(const std::string& text);
const char* phase_name(JobPhase p);

// --- workers ---
std::optional<Heartbeat> parse_heartbeat(const std::string& body);
std::string heartbeat_reply_body(std::uint64_t fencing_token, const std::vector<Command>& commands);
std::string commands_body(std::uint64_t fencing_token, std::uint64_t incarnation,
                          const std::vector<Command>& commands);
std::string upstream_body(const std::string& node);

// --- cloud ---
struct ListedMachine {
  std::string id, addr, type, zone, phase;
  bool spot = false;
  double held_s = 0;
};
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;
};
std::optional<std::vector<MachineType>> parse_catalog(const std::string& body);
std::optional<MachineList> parse_machines(const std::string& body);
std::optional<std::vector<std::string>> parse_provisioned(const std::string& body);
std::string scale_out_body(const std::string& charter, const std::string& type,
                           const std::string& zone, bool spot, int count);
std::string scale_in_body(const std::vector<std::string>& machines);

// --- state store ---
// The records we keep there. `nonce` tells our own write apart when an answer is missing.
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

struct StateRow {
  std::string key;
  bool deleted = false;
  std::uint64_t revision = 0;
  std::string nonce;
  // what the value holds, by its key
  std::optional<PartitionRecord> partition;
  std::optional<MachineRecord> machine;
  std::optional<NodeRecord> node;
  std::optional<JobSpec> job;
  std::size_t prerequisite_chunks = 0;  // of the job's prerequisites, where they are spread
  std::optional<PrerequisiteChunk> prerequisites;
  std::optional<JobPhase> final_phase;
  std::optional<Ms> final_at;  // time of day; earlier builds did not write it
  std::optional<DoneRecord> done;
  std::optional<VersionRecord> version;
  std::string text;  // the value as it is, of keys that another codec reads

  bool has_prerequisites() const {
    return prerequisite_chunks > 0 || (job && !job->prerequisites.empty());
  }
};
struct StateList {
  std::vector<StateRow> rows;
  std::uint64_t store_revision = 0;
  bool more = false;
};
std::optional<StateList> parse_list(const std::string& body);
std::optional<StateList> parse_events(const std::string& body);
std::optional<StateRow> parse_row(const std::string& body);
// A key's row as the state store would show it, for a commit of our own.
std::string stored_row(const std::string& key, const std::string& value, std::uint64_t revision);
std::optional<std::uint64_t> parse_number(const std::string& body, const char* field);
// The keys whose preconditions have failed, of an answer to a commit.
std::vector<std::string> parse_failed(const std::string& body);

struct Write {
  std::string key;
  std::string value;  // JSON; empty: delete
  bool lease_bound = false;
};
struct Precondition {
  std::string key;
  std::uint64_t revision = 0;
};
std::string commit_body(const std::vector<Precondition>& preconditions,
                        const std::vector<Write>& writes, std::uint64_t lease_id);
std::string lease_request_body(Ms life);

// Keys. All under `e/` is followed by every node; `d/` (done tasks) is read at failover only.
std::string version_key();
std::string version_prefix();       // followed where cluster versions are enabled
std::string all_progress_prefix();  // of every partition
std::string partition_key(int partition);
std::string machine_key(const std::string& id);
std::string node_key(const std::string& name);
std::string job_key(const std::string& id);
std::string final_key(const std::string& id);
std::string done_prefix(int partition);
std::string done_key(int partition, const std::string& id, const TaskRange& range);
// The last key that comes before the final record of this job.
std::string before_final_key(const std::string& id);
// Where the prerequisites of a job are kept that do not fit into its record; the nonce is the
// record's, so that chunks of another try are never taken for its own.
std::string prerequisite_key(const std::string& id, const std::string& nonce, std::size_t chunk);
struct PrerequisiteChunkKey {
  std::string job, nonce;
  std::size_t chunk = 0;
};
std::optional<PrerequisiteChunkKey> parse_prerequisite_key(const std::string& key);
// The last segment of a key, and for done keys the job's id.
std::string key_name(const std::string& key);
std::string done_key_job(const std::string& key);

}  // namespace eiderreel::codec
