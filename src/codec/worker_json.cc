// Heartbeats of workers, and the commands for them.
#include "codec/worker_json.h"

#include "codec/json_fields.h"

namespace eiderreel::codec {

using namespace fields;

namespace {

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

void put_orders(Writer& w, const std::vector<Command>& commands) {
  w.Key("orders");
  w.StartArray();
  for (const auto& o : commands) {
    w.StartObject();
    put(w, "verb", std::string(kVerbs[static_cast<int>(o.type)]));
    put(w, "shard", task_name(o.job, o.index));
    put(w, "try", o.attempt);
    if (o.type == CommandType::kill) put(w, "mercy_s", o.grace_s);
    w.EndObject();
  }
  w.EndArray();
}

}  // namespace

std::optional<Heartbeat> parse_heartbeat(const std::string& body) {
  Doc d;
  if (!parse(d, body)) return std::nullopt;
  Heartbeat r;
  if (!get(d, "host", r.machine) || !get(d, "endpoint", r.addr) || !get(d, "hull", r.type) ||
      !get(d, "berth", r.zone) || !get(d, "driftwood", r.spot) ||
      !get(d, "tenure", r.incarnation) || !get(d, "tick", r.sequence) ||
      !get(d, "epoch", r.fencing_token))
    return std::nullopt;
  double notice = 0;
  if (get(d, "warning_s", notice)) r.notice_s = notice;
  const Value* tasks = field(d, "shards");
  if (!tasks || !tasks->IsArray()) return std::nullopt;
  for (const auto& e : tasks->GetArray()) {
    if (!e.IsObject()) return std::nullopt;
    TaskStatus t;
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

std::string heartbeat_reply_body(std::uint64_t fencing_token,
                                 const std::vector<Command>& commands) {
  return object([&](Writer& w) {
    put(w, "epoch", fencing_token);
    put_orders(w, commands);
  });
}

std::string commands_body(std::uint64_t fencing_token, std::uint64_t incarnation,
                          const std::vector<Command>& commands) {
  return object([&](Writer& w) {
    put(w, "epoch", fencing_token);
    put(w, "tenure", incarnation);
    put_orders(w, commands);
  });
}

std::string upstream_body(const std::string& node) {
  return object([&](Writer& w) { put(w, "upstream", node); });
}

}  // namespace eiderreel::codec
