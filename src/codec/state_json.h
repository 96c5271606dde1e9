// Requests to the state store and its answers, in JSON; section "Controller nodes -> state service"
// of the protocol.
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

/// A key with its value, or a change of one. The key says which record the value holds; one that
/// cannot be read is left out, as values of later builds may be.
struct StateRow {
  std::string key;
  bool deleted = false;
  std::uint64_t revision = 0;  // of the key's last change
  std::string nonce;           // of the write
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

  /// Whether the row is a job that waits for others.
  bool has_prerequisites() const {
    return prerequisite_chunks > 0 || (job && !job->prerequisites.empty());
  }
};

/// A page of keys, or a sequence of changes.
struct StateList {
  std::vector<StateRow> rows;
  std::uint64_t store_revision = 0;  // all changes up to here are in it
  bool more = false;                 // further pages follow
};

/// The answer to "GET /kv?prefix=".
Decoded<StateList> parse_list(const std::string& body);
/// The answer to "GET /follow".
Decoded<StateList> parse_events(const std::string& body);
/// The answer to "GET /kv/{key}".
Decoded<StateRow> parse_row(const std::string& body);
/// A key's row as the state store would show it, for a commit of our own. An empty value deletes.
std::string stored_row(const std::string& key, const std::string& value, std::uint64_t revision);
/// The lease in the answer to "POST /grants".
Decoded<std::uint64_t> parse_lease_id(const std::string& body);
/// The revision of the newest change of all, in the answer to a commit.
Decoded<std::uint64_t> parse_store_revision(const std::string& body);
/// The keys whose preconditions have failed, of an answer to a commit; empty: it names none.
std::vector<std::string> parse_failed(const std::string& body);

/// One change in a transaction.
struct Write {
  std::string key;
  std::string value;  // JSON; empty: delete
  bool lease_bound = false;
};

/// A key that has to be at this revision for a transaction to take place; 0: absent.
struct Precondition {
  std::string key;
  std::uint64_t revision = 0;
};

/// The body of "POST /commit". The lease is that of writes that are bound to one.
std::string commit_body(const std::vector<Precondition>& preconditions,
                        const std::vector<Write>& writes, std::uint64_t lease_id);
/// The body of "POST /grants", for a lease of so many ms.
std::string lease_request_body(Ms life);

}  // namespace eiderreel::codec
