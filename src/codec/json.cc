#include "codec/json.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>

namespace eiderreel::codec {
namespace {

using Doc = rapidjson::Document;
using Value = rapidjson::Value;
using Buffer = rapidjson::StringBuffer;
using Writer = rapidjson::Writer<Buffer>;

constexpr unsigned kFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;
constexpr double kAmountMax = 1e9;  // above any machine or duration: absurd

bool parse(Doc& d, const std::string& body) {
  d.Parse<kFlags>(body.data(), body.size());
  return !d.HasParseError() && d.IsObject();
}

const Value* field(const Value& v, const char* name) {
  auto it = v.FindMember(name);
  return it == v.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

bool get(const Value& v, const char* name, std::string& out) {
  const Value* f = field(v, name);
  if (!f || !f->IsString()) return false;
  out.assign(f->GetString(), f->GetStringLength());
  return true;
}
bool get(const Value& v, const char* name, bool& out) {
  const Value* f = field(v, name);
  if (!f || !f->IsBool()) return false;
  out = f->GetBool();
  return true;
}
bool get(const Value& v, const char* name, double& out) {
  const Value* f = field(v, name);
  if (!f || !f->IsNumber()) return false;
  out = f->GetDouble();
  return std::isfinite(out);
}
bool get(const Value& v, const char* name, std::uint64_t& out) {
  const Value* f = field(v, name);
  if (!f || !f->IsUint64()) return false;
  out = f->GetUint64();
  return true;
}

template <class F>
std::string object(F&& fill) {
  Buffer b;
  Writer w(b);
  w.StartObject();
  fill(w);
  w.EndObject();
  return {b.GetString(), b.GetSize()};
}
void put(Writer& w, const char* k, const std::string& v) {
  w.Key(k);
  w.String(v.data(), static_cast<rapidjson::SizeType>(v.size()));
}
void put(Writer& w, const char* k, bool v) { w.Key(k), w.Bool(v); }
void put(Writer& w, const char* k, double v) { w.Key(k), w.Double(v); }
void put(Writer& w, const char* k, std::uint64_t v) { w.Key(k), w.Uint64(v); }
void put(Writer& w, const char* k, int v) { w.Key(k), w.Int(v); }

template <class E, std::size_t N>
std::optional<E> named(const std::string& s, const char* const (&names)[N]) {
  for (std::size_t i = 0; i < N; ++i)
    if (s == names[i]) return static_cast<E>(i);
  return std::nullopt;
}

const char* const kPriorities[] = {"best_effort", "standard", "high", "production"};
const char* const kKinds[] = {"sweep", "daemon"};
const char* const kJobPhases[] = {"queued", "running", "done", "cancelled"};
const char* const kTaskPhases[] = {"pulling", "running", "flushing", "exited"};
const char* const kExitReasons[] = {"", "done", "stopped", "error", "no_room", "busy", "no_such"};
const char* const kVerbs[] = {"launch", "kill", "clear"};

std::string task_name(const std::string& job, std::uint32_t index) {
  return job + "/" + std::to_string(index);
}

bool parse_task_name(const std::string& s, std::string& job, std::uint32_t& index) {
  auto slash = s.rfind('/');
  if (slash == std::string::npos || slash + 1 >= s.size() || s.size() - slash > 8) return false;
  index = 0;
  for (std::size_t i = slash + 1; i < s.size(); ++i) {
    if (s[i] < '0' || s[i] > '9') return false;
    index = index * 10 + static_cast<std::uint32_t>(s[i] - '0');
  }
  job = s.substr(0, slash);
  return true;
}

// The job in the form users submit it; its record in the state service has the same.
std::string parse_spec(const Value& d, JobSpec& j) {
  if (!get(d, "name_id", j.id) || !valid_job_id(j.id)) return "name_id";
  if (!get(d, "jobclass", j.jobclass)) return "jobclass";
  if (!get(d, "crew", j.team)) return "crew";
  std::string s;
  if (!get(d, "shape", s)) return "shape";
  auto kind = named<Kind>(s, kKinds);
  if (!kind) return "shape";
  j.kind = *kind;
  if (!get(d, "rank", s)) return "rank";
  auto priority = named<Priority>(s, kPriorities);
  if (!priority) return "rank";
  j.priority = *priority;
  std::uint64_t n = 0;
  if (!get(d, "shards", n) || n == 0 || n > constants::kTasksMax) return "shards";
  j.tasks = static_cast<std::uint32_t>(n);
  auto amount = [&](const char* name, double& out) {
    return get(d, name, out) && out >= 0 && out <= kAmountMax;
  };
  if (!amount("cores", j.cpus) || j.cpus <= 0) return "cores";
  if (!amount("accelerators", j.gpus)) return "accelerators";
  if (!amount("mem_gb", j.memory_gb)) return "mem_gb";
  if (!get(d, "bundle", j.image)) return "bundle";
  if (!amount("size_gb", j.image_gb)) return "size_gb";
  if (const Value* t = field(d, "hulls")) {
    if (!t->IsArray() || t->Empty()) return "hulls";
    for (const auto& e : t->GetArray()) {
      if (!e.IsString()) return "hulls";
      j.types.emplace_back(e.GetString(), e.GetStringLength());
    }
  }
  if (field(d, "berth") && (!get(d, "berth", j.zone) || j.zone.empty())) return "berth";
  if (!get(d, "one_zone", j.one_zone)) return "one_zone";
  if (!get(d, "apart", j.spread)) return "apart";
  if (!get(d, "driftwood", j.spot)) return "driftwood";
  if (!amount("guess_s", j.estimate_s)) return "guess_s";
  if (!amount("snapshot_s", j.checkpoint_s)) return "snapshot_s";
  if (!amount("stow_s", j.save_s)) return "stow_s";
  if (field(d, "due_s")) {
    double due = 0;
    if (!amount("due_s", due)) return "due_s";
    j.deadline_s = due;
  }
  return "";
}

void put_spec(Writer& w, const JobSpec& j) {
  put(w, "name_id", j.id);
  put(w, "jobclass", j.jobclass);
  put(w, "crew", j.team);
  put(w, "shape", std::string(kKinds[static_cast<int>(j.kind)]));
  put(w, "rank", std::string(kPriorities[static_cast<int>(j.priority)]));
  put(w, "shards", std::uint64_t{j.tasks});
  put(w, "cores", j.cpus);
  put(w, "accelerators", j.gpus);
  put(w, "mem_gb", j.memory_gb);
  put(w, "bundle", j.image);
  put(w, "size_gb", j.image_gb);
  if (!j.types.empty()) {
    w.Key("hulls");
    w.StartArray();
    for (const auto& t : j.types) w.String(t.data(), static_cast<rapidjson::SizeType>(t.size()));
    w.EndArray();
  }
  if (!j.zone.empty()) put(w, "berth", j.zone);
  put(w, "one_zone", j.one_zone);
  put(w, "apart", j.spread);
  put(w, "driftwood", j.spot);
  put(w, "guess_s", j.estimate_s);
  put(w, "snapshot_s", j.checkpoint_s);
  put(w, "stow_s", j.save_s);
  if (j.deadline_s) put(w, "due_s", *j.deadline_s);
  put(w, "at_ms", static_cast<std::uint64_t>(j.accepted_at));
}

void put_orders(Writer& w, const std::vector<Command>& commands) {
  w.Key("orders");
  w.StartArray();
  for (const auto& o : commands) {
    w.StartObject();
    put(w, "verb", std::string(kVerbs[static_cast<int>(o.verb)]));
    put(w, "shard", task_name(o.job, o.index));
    put(w, "try", o.attempt);
    if (o.verb == Verb::kill) put(w, "mercy_s", o.grace_s);
    w.EndObject();
  }
  w.EndArray();
}

// Runs of indexes as [first, length] pairs would be short for most jobs and long for a few; bits
// have one size. base64 keeps 4 KiB of them within the value limit.
const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

std::string pack_bits(const std::vector<std::uint32_t>& tasks, std::uint32_t from) {
  std::uint32_t top = 0;
  for (auto t : tasks) top = std::max(top, t - from + 1);
  std::string out((top + 5) / 6, '\0');
  for (auto t : tasks) out[(t - from) / 6] |= static_cast<char>(1 << ((t - from) % 6));
  for (auto& c : out) c = kDigits[static_cast<int>(c)];
  return out;
}

std::vector<std::uint32_t> unpack_bits(const std::string& s, std::uint32_t from) {
  static const std::string digits(kDigits);
  std::vector<std::uint32_t> out;
  for (std::size_t i = 0; i < s.size() && i * 6 < constants::kDoneChunk; ++i) {
    auto v = digits.find(s[i]);
    if (v == std::string::npos) continue;
    for (int b = 0; b < 6; ++b)
      if (v & (1u << b)) out.push_back(from + static_cast<std::uint32_t>(i) * 6 + b);
  }
  return out;
}

bool starts(const std::string& s, const char* p) { return s.rfind(p, 0) == 0; }

void read_value(const Value& v, StateRow& r) {
  if (!v.IsObject()) return;
  get(v, "n", r.nonce);
  if (starts(r.key, "e/part/")) {
    PartRecord p;
    if (get(v, "owner", p.owner) && get(v, "grant", p.grant)) r.part = p;
  } else if (starts(r.key, "e/machine/")) {
    const Value* p = field(v, "part");
    MachineRecord m;
    if (p && p->IsInt() && get(v, "type", m.type) && get(v, "zone", m.zone) &&
        get(v, "addr", m.addr) && get(v, "spot", m.spot)) {
      m.part = p->GetInt();
      r.machine = m;
    }
  } else if (starts(r.key, "e/node/")) {
    NodeRecord n;
    if (get(v, "boot", n.boot) && get(v, "grant", n.grant)) r.node = n;
  } else if (starts(r.key, "e/job/")) {
    JobSpec j;
    std::uint64_t at = 0;
    if (get(v, "at_ms", at)) j.accepted_at = static_cast<Ms>(at);
    if (parse_spec(v, j).empty()) r.job = j;
  } else if (starts(r.key, "e/final/")) {
    std::string p;
    if (get(v, "phase", p)) r.final_phase = named<JobPhase>(p, kJobPhases);
  } else if (starts(r.key, "d/")) {
    std::string bits;
    std::uint64_t chunk = 0;
    if (get(v, "bits", bits) && get(v, "chunk", chunk))
      r.done =
          DoneRecord{unpack_bits(bits, static_cast<std::uint32_t>(chunk) * constants::kDoneChunk)};
  }
}

bool read_row(const Value& v, StateRow& r) {
  if (!v.IsObject()) return false;
  if (get(v, "delete", r.key)) {
    r.deleted = true;
    return get(v, "stamp", r.stamp);
  }
  if (!get(v, "key", r.key) && !get(v, "write", r.key)) return false;
  if (!get(v, "stamp", r.stamp)) return false;
  if (const Value* value = field(v, "v")) read_value(*value, r);
  return true;
}

std::optional<StateList> parse_rows(const std::string& body, const char* name) {
  Doc d;
  if (!parse(d, body)) return std::nullopt;
  const Value* rows = field(d, name);
  StateList out;
  if (!rows || !rows->IsArray() || !get(d, "ledger", out.ledger)) return std::nullopt;
  get(d, "more", out.more);
  for (const auto& e : rows->GetArray()) {
    StateRow r;
    if (!read_row(e, r)) return std::nullopt;
    out.rows.push_back(std::move(r));
  }
  return out;
}

}  // namespace

// -------------------------------------------------------------------------------- users

bool valid_job_id(const std::string& id) {
  if (!starts(id, "run-") || id.size() < 5 || id.size() > 64) return false;
  return std::all_of(id.begin() + 4, id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

ParsedJob parse_job(const std::string& body) {
  Doc d;
  d.Parse<kFlags>(body.data(), body.size());
  if (d.HasParseError())
    return {std::nullopt, std::string("not JSON: ") + GetParseError_En(d.GetParseError())};
  if (!d.IsObject()) return {std::nullopt, "not an object"};
  JobSpec j;
  std::string bad = parse_spec(d, j);
  if (!bad.empty()) return {std::nullopt, "field " + bad + " is missing or invalid"};
  return {j, ""};
}

const char* phase_name(JobPhase p) { return kJobPhases[static_cast<int>(p)]; }

std::string job_answer(const std::string& id, JobPhase phase) {
  return object([&](Writer& w) {
    put(w, "name_id", id);
    put(w, "phase", std::string(phase_name(phase)));
  });
}

std::string job_status(const std::string& id, const JobStatus& s) {
  return object([&](Writer& w) {
    put(w, "name_id", id);
    put(w, "phase", std::string(phase_name(s.phase)));
    put(w, "done", std::uint64_t{s.done});
    put(w, "running", std::uint64_t{s.running});
  });
}

std::string error_body(const std::string& text) {
  return object([&](Writer& w) { put(w, "error", text); });
}

// ------------------------------------------------------------------------------ workers

std::optional<Report> parse_report(const std::string& body) {
  Doc d;
  if (!parse(d, body)) return std::nullopt;
  Report r;
  if (!get(d, "host", r.machine) || !get(d, "endpoint", r.addr) || !get(d, "hull", r.type) ||
      !get(d, "berth", r.zone) || !get(d, "driftwood", r.spot) || !get(d, "tenure", r.tenure) ||
      !get(d, "tick", r.tick) || !get(d, "epoch", r.term))
    return std::nullopt;
  double notice = 0;
  if (get(d, "warning_s", notice)) r.notice_s = notice;
  const Value* tasks = field(d, "shards");
  if (!tasks || !tasks->IsArray()) return std::nullopt;
  for (const auto& e : tasks->GetArray()) {
    if (!e.IsObject()) return std::nullopt;
    TaskReport t;
    std::string name, phase, exit_reason;
    if (!get(e, "shard", name) || !parse_task_name(name, t.job, t.index) ||
        !get(e, "try", t.attempt) || !get(e, "phase", phase))
      return std::nullopt;
    // An unknown phase of a task on the machine counts as running: it holds its room.
    t.phase = named<TaskPhase>(phase, kTaskPhases).value_or(TaskPhase::running);
    if (get(e, "cause", exit_reason))
      t.exit_reason = named<ExitReason>(exit_reason, kExitReasons).value_or(ExitReason::error);
    r.tasks.push_back(std::move(t));
  }
  return r;
}

std::string report_answer(std::uint64_t term, const std::vector<Command>& commands) {
  return object([&](Writer& w) {
    put(w, "epoch", term);
    put_orders(w, commands);
  });
}

std::string commands_body(std::uint64_t term, std::uint64_t tenure,
                          const std::vector<Command>& commands) {
  return object([&](Writer& w) {
    put(w, "epoch", term);
    put(w, "tenure", tenure);
    put_orders(w, commands);
  });
}

std::string upstream_body(const std::string& node) {
  return object([&](Writer& w) { put(w, "upstream", node); });
}

// -------------------------------------------------------------------------------- cloud

std::optional<std::vector<MachineType>> parse_catalog(const std::string& body) {
  Doc d;
  if (!parse(d, body)) return std::nullopt;
  const Value* types = field(d, "hulls");
  if (!types || !types->IsArray()) return std::nullopt;
  std::vector<MachineType> out;
  for (const auto& e : types->GetArray()) {
    if (!e.IsObject()) return std::nullopt;
    MachineType t;
    if (!get(e, "name", t.name) || !get(e, "cores", t.cpus) || !get(e, "mem_gb", t.memory_gb))
      return std::nullopt;
    get(e, "accelerators", t.gpus);
    get(e, "cache_gb", t.cache_gb);
    get(e, "fetch_gb_per_s", t.fetch_gb_per_s);
    get(e, "price", t.price);
    get(e, "market_price", t.spot_price);
    get(e, "ready_s", t.boot_s);
    if (const Value* z = field(e, "berths"); z && z->IsArray())
      for (const auto& n : z->GetArray())
        if (n.IsString()) t.zones.emplace_back(n.GetString(), n.GetStringLength());
    out.push_back(std::move(t));
  }
  return out;
}

std::optional<MachineList> parse_machines(const std::string& body) {
  Doc d;
  if (!parse(d, body)) return std::nullopt;
  const Value* rows = field(d, "hosts");
  MachineList out;
  if (!rows || !rows->IsArray() || !get(d, "more", out.more)) return std::nullopt;
  for (const auto& e : rows->GetArray()) {
    ListedMachine m;
    if (!e.IsObject() || !get(e, "name_id", m.id)) return std::nullopt;
    get(e, "endpoint", m.addr);
    get(e, "hull", m.type);
    get(e, "berth", m.zone);
    get(e, "driftwood", m.spot);
    get(e, "phase", m.phase);
    get(e, "held_s", m.held_s);
    out.machines.push_back(std::move(m));
  }
  return out;
}

std::optional<std::vector<std::string>> parse_rented(const std::string& body) {
  Doc d;
  if (!parse(d, body)) return std::nullopt;
  const Value* rows = field(d, "hosts");
  if (!rows || !rows->IsArray()) return std::nullopt;
  std::vector<std::string> out;
  for (const auto& e : rows->GetArray())
    if (e.IsString()) out.emplace_back(e.GetString(), e.GetStringLength());
  return out;
}

std::string rent_body(const std::string& charter, const std::string& type, const std::string& zone,
                      bool spot, int count) {
  return object([&](Writer& w) {
    put(w, "charter", charter);
    put(w, "hull", type);
    put(w, "berth", zone);
    put(w, "driftwood", spot);
    put(w, "how_many", count);
  });
}

std::string return_body(const std::vector<std::string>& machines) {
  return object([&](Writer& w) {
    w.Key("hosts");
    w.StartArray();
    for (const auto& m : machines) w.String(m.data(), static_cast<rapidjson::SizeType>(m.size()));
    w.EndArray();
  });
}

// ------------------------------------------------------------------------ state service

std::string encode(const PartRecord& r, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    put(w, "owner", r.owner);
    put(w, "grant", r.grant);
  });
}
std::string encode(const MachineRecord& r, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    put(w, "part", r.part);
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
    put(w, "grant", r.grant);
  });
}
std::string encode(const JobSpec& r, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    put_spec(w, r);
  });
}
std::string encode_final(JobPhase p, const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    put(w, "phase", std::string(phase_name(p)));
  });
}
std::string encode_done(const std::vector<std::uint32_t>& tasks, std::uint32_t chunk,
                        const std::string& nonce) {
  return object([&](Writer& w) {
    put(w, "n", nonce);
    put(w, "chunk", std::uint64_t{chunk});
    put(w, "bits", pack_bits(tasks, chunk * constants::kDoneChunk));
  });
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

std::string stored_row(const std::string& key, const std::string& value, std::uint64_t stamp) {
  return object([&](Writer& w) {
    put(w, value.empty() ? "delete" : "write", key);
    put(w, "stamp", stamp);
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

std::string commit_body(const std::vector<Guard>& guards, const std::vector<Write>& writes,
                        std::uint64_t grant) {
  return object([&](Writer& w) {
    w.Key("guards");
    w.StartArray();
    for (const auto& g : guards) {
      w.StartObject();
      put(w, "key", g.key);
      put(w, "stamp", g.stamp);
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
        if (o.tethered) put(w, "tether", grant);
      }
      w.EndObject();
    }
    w.EndArray();
  });
}

std::string grant_body(Ms life) {
  return object([&](Writer& w) { put(w, "life_ms", static_cast<std::uint64_t>(life)); });
}

std::string part_key(int part) { return "e/part/" + std::to_string(part); }
std::string machine_key(const std::string& id) { return "e/machine/" + id; }
std::string node_key(const std::string& name) { return "e/node/" + name; }
std::string job_key(const std::string& id) { return "e/job/" + id; }
std::string final_key(const std::string& id) { return "e/final/" + id; }
std::string done_prefix(int part) { return "d/" + std::to_string(part) + "/"; }
std::string done_key(int part, const std::string& id, std::uint32_t chunk) {
  return done_prefix(part) + id + "/" + std::to_string(chunk);
}
std::string key_name(const std::string& key) { return key.substr(key.rfind('/') + 1); }
std::string done_key_job(const std::string& key) {
  auto end = key.rfind('/');
  auto begin = key.rfind('/', end - 1);
  return key.substr(begin + 1, end - begin - 1);
}

}  // namespace eiderreel::codec
