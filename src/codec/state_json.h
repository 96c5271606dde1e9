// JSON codec of the state store's API. See the section "Controller nodes -> state service" of the
// protocol.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "codec/decode_error.h"
#include "codec/state_keys.h"
#include "codec/state_records.h"

namespace eiderreel::codec {

/// A key with its value, or a change of a key. The key determines the type of the record. A record
/// that cannot be decoded, as records of later builds may be, is left empty.
struct StateRow {
  std::string key;
  bool deleted = false;
  std::uint64_t revision = 0;  // store revision of the key's last change
  std::string nonce;           // identifies the write
  std::optional<PartitionRecord> partition;
  std::optional<MachineRecord> machine;
  std::optional<NodeRecord> node;
  std::optional<JobSpec> job;
  std::size_t prerequisite_chunks = 0;  // number; 0: prerequisites are in the job's record
  std::optional<PrerequisiteChunk> prerequisites;
  std::optional<JobPhase> final_phase;
  std::optional<Ms> final_at;  // wall clock; earlier builds did not write it
  std::optional<ProgressRecord> progress;
  std::optional<VersionRecord> version;
  std::string json_value;  // undecoded JSON value of keys that another codec decodes

  /// Whether the row is the record of a job with prerequisites.
  bool has_prerequisites() const {
    return prerequisite_chunks > 0 || (job && !job->prerequisites.empty());
  }
};

/// A page of keys, or a sequence of changes in order.
struct StateList {
  std::vector<StateRow> rows;
  std::uint64_t store_revision = 0;  // the rows include all changes up to this revision
  bool has_more = false;             // whether further pages follow
};

/// Parses the answer to "GET /kv?prefix=".
Decoded<StateList> parse_list(const std::string& body);
/// Parses the answer to "GET /follow".
Decoded<StateList> parse_events(const std::string& body);
/// Parses the answer to "GET /kv/{key}".
Decoded<StateRow> parse_row(const std::string& body);
/// The row that the state store would return for a key after this process has written it. An empty
/// value stands for a deletion.
std::string stored_row(const std::string& key, const std::string& value, std::uint64_t revision);
/// Parses the lease id in the answer to "POST /grants".
Decoded<std::uint64_t> parse_lease_id(const std::string& body);
/// Parses the store revision, that of the latest change, in the answer to a commit.
Decoded<std::uint64_t> parse_store_revision(const std::string& body);
/// Parses the keys whose preconditions failed from the answer to a commit. Empty if the answer
/// names none.
std::vector<std::string> parse_failed_keys(const std::string& body);

/// One change (write or deletion of a key) in a transaction.
struct Write {
  std::string key;
  std::string value;         // JSON; empty: delete the key
  bool lease_bound = false;  // true: the key is deleted when the lease ends
};

/// The revision that a key must have for a transaction to be committed; 0: the key must be absent.
struct Precondition {
  std::string key;
  std::uint64_t revision = 0;
};

/// The body of "POST /commit". `lease_id` is the lease of all writes that are bound to one.
std::string commit_body(const std::vector<Precondition>& preconditions,
                        const std::vector<Write>& writes, std::uint64_t lease_id);
/// The body of "POST /grants", for a lease with this time to live in ms.
std::string lease_request_body(Ms ttl);

}  // namespace eiderreel::codec
