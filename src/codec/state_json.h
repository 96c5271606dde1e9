// Requests to the state store and its answers, in JSON.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "codec/state_keys.h"
#include "codec/state_records.h"

namespace eiderreel::codec {

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

}  // namespace eiderreel::codec
