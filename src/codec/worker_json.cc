// JSON codec of heartbeats from workers and commands to workers.
#include "codec/worker_json.h"

#include <cstddef>
#include <utility>

#include "codec/json_fields.h"
#include "codec/wire_names.h"

namespace eiderreel::codec {

using namespace fields;

namespace {

constexpr std::size_t kTaskIndexMaxDigits = 7;  // more digits than any task index has

std::string task_name(const std::string& job, std::uint32_t index) {
  return job + "/" + std::to_string(index);
}

// Parses the format written by task_name. Returns false if the name has another format.
bool parse_task_name(const std::string& name, TaskStatus& task) {
  const auto slash = name.rfind('/');
  if (slash == std::string::npos) return false;
  const std::string digits = name.substr(slash + 1);
  if (digits.empty() || digits.size() > kTaskIndexMaxDigits) return false;
  if (digits.find_first_not_of("0123456789") != std::string::npos) return false;
  task.job = name.substr(0, slash);
  task.index = static_cast<std::uint32_t>(std::stoul(digits));
  return true;
}

Decoded<TaskStatus> parse_task(const Value& object) {
  FieldReader reader(object);
  TaskStatus task;
  std::string name;
  std::string phase;
  std::string exit_reason;
  reader.required(wire::worker::kTask, name);
  reader.check(wire::worker::kTask, parse_task_name(name, task));
  reader.required(wire::worker::kAttempt, task.attempt);
  reader.required(wire::worker::kPhase, phase);
  // A task in an unknown phase counts as running, because it still occupies its resources.
  task.phase = enum_value<TaskPhase>(phase, wire::worker::kPhases).value_or(TaskPhase::running);
  if (get(object, wire::worker::kExitReason, exit_reason))
    task.exit_reason =
        enum_value<ExitReason>(exit_reason, wire::worker::kExitReasons).value_or(ExitReason::error);
  return reader.result(std::move(task));
}

void put_commands(Writer& writer, const std::vector<Command>& commands) {
  put_objects(writer, wire::worker::kCommands, commands, [&](const Command& command) {
    put(writer, wire::worker::kCommandType, enum_name(command.type, wire::worker::kCommandTypes));
    put(writer, wire::worker::kTask, task_name(command.job, command.index));
    put(writer, wire::worker::kAttempt, command.attempt);
    if (command.type == CommandType::kill) put(writer, wire::worker::kGraceS, command.grace_s);
  });
}

}  // namespace

Decoded<Heartbeat> parse_heartbeat(const std::string& body) {
  const auto document = parse_object(body);
  if (!document) return tl::unexpected(document.error());
  FieldReader reader(*document);
  Heartbeat heartbeat;
  reader.required(wire::worker::kMachine, heartbeat.machine);
  reader.required(wire::worker::kAddress, heartbeat.addr);
  reader.required(wire::worker::kMachineType, heartbeat.type);
  reader.required(wire::worker::kZone, heartbeat.zone);
  reader.required(wire::worker::kSpot, heartbeat.spot);
  reader.required(wire::worker::kIncarnation, heartbeat.incarnation);
  reader.required(wire::worker::kSequence, heartbeat.sequence);
  reader.required(wire::worker::kFencingToken, heartbeat.fencing_token);
  double notice_s = 0;
  if (get(*document, wire::worker::kTerminationNoticeS, notice_s))
    heartbeat.termination_notice_s = notice_s;
  auto tasks = parse_objects(*document, wire::worker::kTasks, parse_task);
  if (!tasks) return tl::unexpected(tasks.error());
  heartbeat.tasks = std::move(*tasks);
  return reader.result(std::move(heartbeat));
}

std::string heartbeat_reply_body(std::uint64_t fencing_token,
                                 const std::vector<Command>& commands) {
  return encode_object([&](Writer& writer) {
    put(writer, wire::worker::kFencingToken, fencing_token);
    put_commands(writer, commands);
  });
}

std::string commands_body(std::uint64_t fencing_token, std::uint64_t incarnation,
                          const std::vector<Command>& commands) {
  return encode_object([&](Writer& writer) {
    put(writer, wire::worker::kFencingToken, fencing_token);
    put(writer, wire::worker::kIncarnation, incarnation);
    put_commands(writer, commands);
  });
}

std::string redirect_body(const std::string& node) {
  return encode_object([&](Writer& writer) { put(writer, wire::worker::kRedirectNode, node); });
}

}  // namespace eiderreel::codec
