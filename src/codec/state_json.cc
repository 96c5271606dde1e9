// Keys and values kept in the state store, and its requests and answers.
#include "codec/state_json.h"

#include <algorithm>
#include <limits>

#include "codec/job_json.h"
#include "codec/json_fields.h"
#include "codec/progress_form.h"

namespace eiderreel::codec {

using namespace fields;

namespace {

using upgrade::ProgressForm;

constexpr char kNestedJob[] = "job";
constexpr char kPrerequisiteChunks[] = "awaits_parts";
constexpr std::uint64_t kCompactForm = 2;  // bits have no number, as earlier builds wrote none
constexpr char kWholeJob[] = "all";        // in place of a range, the value tells of all tasks
constexpr char kHistory[] = "u/history/";  // see upgrade_json.cc
const std::string kVersionKey = "e/upgrade/version";

// A number that no version has stands for one that is too high for any build.
upgrade::ClusterVersion cluster_version(std::uint64_t number) {
  return static_cast<upgrade::ClusterVersion>(
      std::min<std::uint64_t>(number, std::numeric_limits<std::uint32_t>::max()));
}

// The record of a job without prerequisites is the job; one with prerequisites holds it.
void read_job(const Value& v, StateRow& r) {
  const Value* nested = field(v, kNestedJob);
  const Value& job = nested && nested->IsObject() ? *nested : v;
  JobSpec spec;
  std::uint64_t at = 0, chunks = 0;
  if (get(job, "at_ms", at)) spec.accepted_at = static_cast<Ms>(at);
  if (!parse_spec(job, spec).empty()) return;
  if (nested && !parse_job_ids(v, "awaits", spec.prerequisites)) return;
  if (get(v, kPrerequisiteChunks, chunks)) r.prerequisite_chunks = chunks;
  r.job = std::move(spec);
}

// The first task that a value of progress tells of. Earlier builds write whole chunks and name them
// by number.
std::optional<std::uint32_t> first_task(const Value& v) {
  std::uint64_t chunk = 0, first = 0;
  if (get(v, "chunk", chunk) && chunk < constants::kTasksMax)
    first = chunk * constants::kProgressChunkTasks;
  else if (!get(v, "first", first))
    return std::nullopt;
  if (first >= constants::kTasksMax) return std::nullopt;
  return static_cast<std::uint32_t>(first);
}

// A compact value holds a Roaring bitmap, or bits where these are shorter.
void read_progress(const Value& v, StateRow& r) {
  const auto first = first_task(v);
  if (!first) return;
  std::uint64_t form = 0;
  DoneRecord done;
  if (get(v, "form", form)) {
    if (form != kCompactForm) return;
    done.form = ProgressForm::compact;
  }
  std::string text;
  if (get(v, "bits", text)) {
    done.tasks = unpack_bits(text, *first);
  } else {
    if (done.form != ProgressForm::compact || !get(v, "roaring", text)) return;
    auto tasks = unpack_roaring(text, *first);
    if (!tasks) return;
    done.tasks = std::move(*tasks);
  }
  r.done = std::move(done);
}

void read_node(const Value& v, StateRow& r) {
  NodeRecord n;
  get(v, "features", n.features);
  if (!get(v, "boot", n.boot) || !get(v, "grant", n.lease_id)) return;
  std::uint64_t oldest = 0, newest = 0, acting = 0;
  if (get(v, "oldest", oldest) && get(v, "newest", newest) && get(v, "acting", acting)) {
    upgrade::BuildVersions versions;
    versions.range = {cluster_version(oldest), cluster_version(newest)};
    versions.acting = cluster_version(acting);
    get(v, "build", versions.build);
    n.versions = std::move(versions);
  }
  r.node = std::move(n);
}

void read_version(const Value& v, StateRow& r) {
  VersionRecord record;
  std::uint64_t version = 0, from = 0, at = 0;
  if (!get(v, "version", version) || version == 0) return;
  record.version = cluster_version(version);
  if (get(v, "from", from)) record.from = cluster_version(from);
  if (get(v, "at_ms", at)) record.at = static_cast<Ms>(at);
  get(v, "who", record.who);
  get(v, "request", record.request);
  r.version = std::move(record);
}

// A build that knows no prerequisites would start the job at once. It finds none of the
// job's fields in such a record, and leaves the job alone.
void put_nested_job(Writer& w, const JobSpec& job) {
  w.Key(kNestedJob);
  w.StartObject();
  put_spec(w, job);
  w.EndObject();
}

void read_value(const Value& v, StateRow& r) {
  if (!v.IsObject()) return;
  get(v, "n", r.nonce);
  if (starts_with(r.key, "e/part/")) {
    PartitionRecord p;
    if (get(v, "owner", p.leader) && get(v, "grant", p.lease_id)) r.partition = p;
  } else if (starts_with(r.key, "e/machine/")) {
    const Value* p = field(v, "part");
    MachineRecord m;
    if (p && p->IsInt() && get(v, "type", m.type) && get(v, "zone", m.zone) &&
        get(v, "addr", m.addr) && get(v, "spot", m.spot)) {
      m.partition = p->GetInt();
      r.machine = m;
    }
  } else if (starts_with(r.key, "e/node/")) {
    read_node(v, r);
  } else if (starts_with(r.key, "e/job/")) {
    read_job(v, r);
  } else if (starts_with(r.key, "e/awaits/")) {
    PrerequisiteChunk chunk;
    if (parse_job_ids(v, "awaits", chunk.jobs)) r.prerequisites = std::move(chunk);
  } else if (starts_with(r.key, "e/final/")) {
    std::string p;
    std::uint64_t at = 0;
    if (get(v, "phase", p)) r.final_phase = named<JobPhase>(p, kJobPhases);
    if (get(v, "at_ms", at)) r.final_at = static_cast<Ms>(at);
  } else if (starts_with(r.key, "d/")) {
    read_progress(v, r);
  } else if (r.key == kVersionKey) {
    read_version(v, r);
  } else if (starts_with(r.key, kHistory)) {
    Buffer buffer;
    Writer writer(buffer);
    v.Accept(writer);
    r.text.assign(buffer.GetString(), buffer.GetSize());
  }
}

bool read_row(const Value& v, StateRow& r) {
  if (!v.IsObject()) return false;
  if (get(v, "delete", r.key)) {
    r.deleted = true;
    return get(v, "stamp", r.revision);
  }
  if (!get(v, "key", r.key) && !get(v, "write", r.key)) return false;
  if (!get(v, "stamp", r.revision)) return false;
  if (const Value* value = field(v, "v")) read_value(*value, r);
  return true;
}

std::optional<StateList> parse_rows(const std::string& body, const char* name) {
  Doc d;
  if (!parse(d, body)) return std::nullopt;
  const Value* rows = field(d, name);
  StateList out;
  if (!rows || !rows->IsArray() || !get(d, "ledger", out.store_revision)) return std::nullopt;
  get(d, "more", out.more);
  for (const auto& e : rows->GetArray()) {
    StateRow r;
    if (!read_row(e, r)) return std::nullopt;
    out.rows.push_back(std::move(r));
  }
  return out;
}

}  // namespace

std::string encode(const PartitionRecord& r, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    put(w, "owner", r.leader);
    put(w, "grant", r.lease_id);
  });
}
std::string encode(const MachineRecord& r, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    put(w, "part", r.partition);
    put(w, "type", r.type);
    put(w, "zone", r.zone);
    put(w, "addr", r.addr);
    put(w, "spot", r.spot);
  });
}
std::string encode(const NodeRecord& r, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    put(w, "boot", r.boot);
    put(w, "grant", r.lease_id);
    if (r.features > 0) put(w, "features", r.features);
    if (!r.versions) return;
    put(w, "oldest", std::uint64_t{upgrade::number(r.versions->range.oldest)});
    put(w, "newest", std::uint64_t{upgrade::number(r.versions->range.newest)});
    put(w, "acting", std::uint64_t{upgrade::number(r.versions->acting)});
    put(w, "build", r.versions->build);
  });
}
std::string encode(const JobSpec& r, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    if (r.prerequisites.empty()) return put_spec(w, r);
    put_job_ids(w, "awaits", r.prerequisites);
    put_nested_job(w, r);
  });
}
std::string encode_with_chunks(const JobSpec& r, std::size_t chunks, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    put(w, kPrerequisiteChunks, static_cast<std::uint64_t>(chunks));
    put_nested_job(w, r);
  });
}
std::string encode(const PrerequisiteChunk& r, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    put_job_ids(w, "awaits", r.jobs);
  });
}
std::string encode_final(JobPhase p, Ms at, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    put(w, "phase", std::string(phase_name(p)));
    put(w, "at_ms", static_cast<std::uint64_t>(at));
  });
}
std::string encode(const VersionRecord& r, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    put(w, "version", std::uint64_t{upgrade::number(r.version)});
    put(w, "from", std::uint64_t{upgrade::number(r.from)});
    put(w, "at_ms", static_cast<std::uint64_t>(r.at));
    put(w, "who", r.who);
    put(w, "request", r.request);
  });
}

std::string encode_done(const std::vector<std::uint32_t>& tasks, const TaskRange& range,
                        ProgressForm form, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    if (!range.whole && range.count == constants::kProgressChunkTasks)
      put(w, "chunk", std::uint64_t{range.first / constants::kProgressChunkTasks});
    else
      put(w, "first", std::uint64_t{range.first});
    if (form == ProgressForm::bits) return put(w, "bits", pack_bits(tasks, range.first));
    put(w, "form", kCompactForm);
    // Bits are read up to a chunk; the many short arrays are shorter in bits.
    std::string roaring = pack_roaring(tasks, range.first);
    const std::uint32_t last = tasks.empty() ? range.first : tasks.back();
    const std::uint32_t span = last - range.first + 1;
    if (span <= constants::kProgressChunkTasks && packed_size(span) <= roaring.size())
      put(w, "bits", pack_bits(tasks, range.first));
    else
      put(w, "roaring", roaring);
  });
}

// Whole chunks, as earlier builds have them, wherever those fit.
TaskRange progress_range(std::uint32_t task, std::uint32_t tasks, std::size_t value_bytes) {
  const std::uint32_t largest = std::min(tasks, constants::kProgressChunkTasks);
  const std::size_t digits = value_bytes - std::min(value_bytes, constants::kProgressOverhead);
  std::uint32_t count = constants::kProgressChunkTasks;
  if (packed_size(largest) > digits)
    count =
        std::max<std::uint32_t>(static_cast<std::uint32_t>(digits) * kBitsPerDigit, kBitsPerDigit);
  return {task / count * count, count};
}

std::optional<StateList> parse_list(const std::string& body) { return parse_rows(body, "rows"); }
std::optional<StateList> parse_events(const std::string& body) {
  return parse_rows(body, "events");
}

std::optional<StateRow> parse_row(const std::string& body) {
  Doc d;
  StateRow r;
  if (!parse(d, body) || !read_row(d, r)) return std::nullopt;
  return r;
}

std::string stored_row(const std::string& key, const std::string& value, std::uint64_t revision) {
  return object([&](Writer& w) {
    put(w, value.empty() ? "delete" : "write", key);
    put(w, "stamp", revision);
    if (value.empty()) return;
    w.Key("v");
    w.RawValue(value.data(), value.size(), rapidjson::kObjectType);
  });
}

std::optional<std::uint64_t> parse_number(const std::string& body, const char* name) {
  Doc d;
  std::uint64_t n = 0;
  if (!parse(d, body) || !get(d, name, n)) return std::nullopt;
  return n;
}

std::vector<std::string> parse_failed(const std::string& body) {
  Doc d;
  std::vector<std::string> out;
  if (!parse(d, body)) return out;
  const Value* keys = field(d, "failed");
  if (!keys || !keys->IsArray()) return out;
  for (const auto& key : keys->GetArray())
    if (key.IsString()) out.emplace_back(key.GetString(), key.GetStringLength());
  return out;
}

std::string commit_body(const std::vector<Precondition>& preconditions,
                        const std::vector<Write>& writes, std::uint64_t lease_id) {
  return object([&](Writer& w) {
    w.Key("guards");
    w.StartArray();
    for (const auto& g : preconditions) {
      w.StartObject();
      put(w, "key", g.key);
      put(w, "stamp", g.revision);
      w.EndObject();
    }
    w.EndArray();
    w.Key("writes");
    w.StartArray();
    for (const auto& o : writes) {
      w.StartObject();
      if (o.value.empty()) {
        put(w, "delete", o.key);
      } else {
        put(w, "write", o.key);
        w.Key("v");
        w.RawValue(o.value.data(), o.value.size(), rapidjson::kObjectType);
        if (o.lease_bound) put(w, "tether", lease_id);
      }
      w.EndObject();
    }
    w.EndArray();
  });
}

std::string lease_request_body(Ms life) {
  return object([&](Writer& w) { put(w, "life_ms", static_cast<std::uint64_t>(life)); });
}

std::string version_key() { return kVersionKey; }
std::string version_prefix() { return "e/upgrade/"; }
std::string all_progress_prefix() { return "d/"; }
std::string partition_key(int partition) { return "e/part/" + std::to_string(partition); }
std::string machine_key(const std::string& id) { return "e/machine/" + id; }
std::string node_key(const std::string& name) { return "e/node/" + name; }
std::string job_key(const std::string& id) { return "e/job/" + id; }
std::string final_key(const std::string& id) { return "e/final/" + id; }
std::string done_prefix(int partition) { return "d/" + std::to_string(partition) + "/"; }
std::string done_key(int partition, const std::string& id, const TaskRange& range) {
  const std::string name = range.whole ? kWholeJob
                           : range.count == constants::kProgressChunkTasks
                               ? std::to_string(range.first / constants::kProgressChunkTasks)
                               : "p" + std::to_string(range.first);
  return done_prefix(partition) + id + "/" + name;
}
std::string before_final_key(const std::string& id) {
  std::string key = final_key(id);
  --key.back();
  return key + "~";  // after every id that begins with this, and before the next one
}
std::string prerequisite_key(const std::string& id, const std::string& nonce, std::size_t chunk) {
  return "e/awaits/" + id + "/" + nonce + "/" + std::to_string(chunk);
}
std::optional<PrerequisiteChunkKey> parse_prerequisite_key(const std::string& key) {
  static const std::string prefix = "e/awaits/";
  if (!starts_with(key, prefix.c_str())) return std::nullopt;
  const auto job_end = key.find('/', prefix.size());
  const auto nonce_end = key.rfind('/');
  if (job_end == std::string::npos || nonce_end <= job_end) return std::nullopt;
  const std::string chunk = key.substr(nonce_end + 1);
  if (chunk.empty() || chunk.find_first_not_of("0123456789") != std::string::npos ||
      chunk.size() > 6)
    return std::nullopt;
  return PrerequisiteChunkKey{key.substr(prefix.size(), job_end - prefix.size()),
                              key.substr(job_end + 1, nonce_end - job_end - 1), std::stoul(chunk)};
}
std::string key_name(const std::string& key) { return key.substr(key.rfind('/') + 1); }
std::string done_key_job(const std::string& key) {
  auto end = key.rfind('/');
  auto begin = key.rfind('/', end - 1);
  return key.substr(begin + 1, end - begin - 1);
}

}  // namespace eiderreel::codec
