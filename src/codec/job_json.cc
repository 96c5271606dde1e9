// Jobs as users submit and see them.
#include "codec/job_json.h"

#include <rapidjson/error/en.h>

#include <algorithm>
#include <set>

#include "codec/json_fields.h"

namespace eiderreel::codec {

using namespace fields;

namespace {

const char* const kPriorities[] = {"best_effort", "standard", "high", "production"};
const char* const kKinds[] = {"sweep", "daemon"};

}  // namespace

namespace fields {

std::string parse_spec(const Value& d, JobSpec& j) {
  if (!get(d, "name_id", j.id) || !valid_job_id(j.id)) return "name_id";
  if (!get(d, "jobclass", j.jobclass)) return "jobclass";
  if (!get(d, "crew", j.team)) return "crew";
  std::string s;
  if (!get(d, "shape", s)) return "shape";
  auto kind = named<JobKind>(s, kKinds);
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

bool parse_job_ids(const Value& d, const char* name, std::vector<std::string>& out) {
  const Value* list = field(d, name);
  if (!list) return true;
  if (!list->IsArray()) return false;
  std::set<std::string> seen;
  for (const auto& e : list->GetArray()) {
    if (!e.IsString()) return false;
    std::string id(e.GetString(), e.GetStringLength());
    if (!valid_job_id(id)) return false;
    if (seen.insert(id).second) out.push_back(std::move(id));
  }
  return true;
}

void put_job_ids(Writer& w, const char* name, const std::vector<std::string>& ids) {
  w.Key(name);
  w.StartArray();
  for (const auto& id : ids) w.String(id.data(), static_cast<rapidjson::SizeType>(id.size()));
  w.EndArray();
}

}  // namespace fields

bool valid_job_id(const std::string& id) {
  if (!starts_with(id, "run-") || id.size() < 5 || id.size() > 64) return false;
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
  if (!parse_job_ids(d, "awaits", j.prerequisites)) return {j, "field awaits is invalid"};
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

}  // namespace eiderreel::codec
