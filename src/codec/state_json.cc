// JSON codec of the state store's API.
#include "codec/state_json.h"

#include <array>
#include <utility>

#include "codec/json_fields.h"
#include "codec/record_fields.h"
#include "codec/wire_names.h"

namespace eiderreel::codec {

using namespace fields;

namespace {

void read_partition(const Value& value, StateRow& row) {
  row.partition = to_optional(parse_partition_record(value));
}

void read_machine(const Value& value, StateRow& row) {
  row.machine = to_optional(parse_machine_record(value));
}

void read_node(const Value& value, StateRow& row) {
  row.node = to_optional(parse_node_record(value));
}

void read_job(const Value& value, StateRow& row) {
  auto job = parse_job_record(value);
  if (!job) return;
  row.job = std::move(job->spec);
  row.prerequisite_chunks = job->prerequisite_chunks;
}

void read_prerequisites(const Value& value, StateRow& row) {
  row.prerequisites = to_optional(parse_prerequisite_chunk(value));
}

void read_final(const Value& value, StateRow& row) {
  const FinalRecord record = parse_final_record(value);
  row.final_phase = record.phase;
  row.final_at = record.at;
}

void read_progress(const Value& value, StateRow& row) {
  row.progress = to_optional(parse_progress_record(value));
}

void read_version(const Value& value, StateRow& row) {
  if (row.key == version_key()) row.version = to_optional(parse_version_record(value));
}

void read_text(const Value& value, StateRow& row) {
  Buffer buffer;
  Writer writer(buffer);
  value.Accept(writer);
  row.json_value.assign(buffer.GetString(), buffer.GetSize());
}

struct ValueReader {
  const char* prefix;  // of the keys whose values `read` decodes
  void (*read)(const Value& value, StateRow& row);
};

constexpr std::array kValueReaders = {
    ValueReader{wire::key::kPartitions, read_partition},
    ValueReader{wire::key::kMachines, read_machine},
    ValueReader{wire::key::kNodes, read_node},
    ValueReader{wire::key::kJobs, read_job},
    ValueReader{wire::key::kPrerequisites, read_prerequisites},
    ValueReader{wire::key::kFinalRecords, read_final},
    ValueReader{wire::key::kProgress, read_progress},
    ValueReader{wire::key::kVersion, read_version},
    ValueReader{wire::key::kHistory, read_text},
};

void read_value(const Value& value, StateRow& row) {
  if (!value.IsObject()) return;
  get(value, wire::record::kNonce, row.nonce);
  for (const ValueReader& reader : kValueReaders)
    if (row.key.starts_with(reader.prefix)) return reader.read(value, row);
}

// A row of a list has a field for its key; an event has a field for the written or the deleted key.
Decoded<StateRow> read_row(const Value& object) {
  FieldReader reader(object);
  StateRow row;
  row.deleted = get(object, wire::store::kDelete, row.key);
  if (!row.deleted && !get(object, wire::store::kKey, row.key))
    reader.required(wire::store::kPut, row.key);
  reader.required(wire::store::kRevision, row.revision);
  const Value* value = find_field(object, wire::store::kValue);
  if (!reader.failed() && !row.deleted && value != nullptr) read_value(*value, row);
  return reader.result(std::move(row));
}

Decoded<StateList> parse_rows(const std::string& body, const char* name) {
  const auto document = parse_object(body);
  if (!document) return tl::unexpected(document.error());
  FieldReader reader(*document);
  StateList list;
  reader.required(wire::store::kStoreRevision, list.store_revision);
  reader.optional(wire::store::kMore, list.has_more);
  if (reader.failed()) return reader.result(std::move(list));
  auto rows = parse_objects(*document, name, read_row);
  if (!rows) return tl::unexpected(rows.error());
  list.rows = std::move(*rows);
  return reader.result(std::move(list));
}

Decoded<std::uint64_t> parse_number(const std::string& body, const char* name) {
  const auto document = parse_object(body);
  if (!document) return tl::unexpected(document.error());
  FieldReader reader(*document);
  std::uint64_t number = 0;
  reader.required(name, number);
  return reader.result(number);
}

}  // namespace

Decoded<StateList> parse_list(const std::string& body) {
  return parse_rows(body, wire::store::kRows);
}

Decoded<StateList> parse_events(const std::string& body) {
  return parse_rows(body, wire::store::kEvents);
}

Decoded<StateRow> parse_row(const std::string& body) {
  const auto document = parse_object(body);
  if (!document) return tl::unexpected(document.error());
  return read_row(*document);
}

std::string stored_row(const std::string& key, const std::string& value, std::uint64_t revision) {
  return encode_object([&](Writer& writer) {
    put(writer, value.empty() ? wire::store::kDelete : wire::store::kPut, key);
    put(writer, wire::store::kRevision, revision);
    if (!value.empty()) put_raw(writer, wire::store::kValue, value);
  });
}

Decoded<std::uint64_t> parse_lease_id(const std::string& body) {
  return parse_number(body, wire::store::kLeaseId);
}

Decoded<std::uint64_t> parse_store_revision(const std::string& body) {
  return parse_number(body, wire::store::kStoreRevision);
}

std::vector<std::string> parse_failed_keys(const std::string& body) {
  const auto document = parse_object(body);
  if (!document) return {};
  const Value* keys = find_field(*document, wire::store::kFailedKeys);
  return keys != nullptr ? string_elements(*keys) : std::vector<std::string>{};
}

std::string commit_body(const std::vector<Precondition>& preconditions,
                        const std::vector<Write>& writes, std::uint64_t lease_id) {
  return encode_object([&](Writer& writer) {
    put_objects(writer, wire::store::kPreconditions, preconditions,
                [&](const Precondition& precondition) {
                  put(writer, wire::store::kKey, precondition.key);
                  put(writer, wire::store::kRevision, precondition.revision);
                });
    put_objects(writer, wire::store::kWrites, writes, [&](const Write& write) {
      const bool deletes = write.value.empty();
      put(writer, deletes ? wire::store::kDelete : wire::store::kPut, write.key);
      if (deletes) return;
      put_raw(writer, wire::store::kValue, write.value);
      if (write.lease_bound) put(writer, wire::store::kLeaseId, lease_id);
    });
  });
}

std::string lease_request_body(Ms ttl) {
  return encode_object([&](Writer& writer) {
    put(writer, wire::store::kLeaseTtlMs, static_cast<std::uint64_t>(ttl));
  });
}

}  // namespace eiderreel::codec
