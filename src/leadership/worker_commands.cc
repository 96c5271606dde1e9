// Sends commands to workers: in the immediate or deferred reply to a heartbeat, or in a request to
// the worker.
#include "leadership/worker_commands.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "codec/worker_json.h"
#include "runtime/http_status.h"

namespace eiderreel {

namespace k = constants;

void WorkerCommands::reply_to_heartbeat(LedPartition& led, const std::string& machine,
                                        const std::vector<Command>& commands, const Reply& reply) {
  PartitionScheduler& scheduler = *led.scheduler;
  counters_.preemptions += scheduler.take_preemptions();
  const std::uint64_t fencing_token = scheduler.fencing_token_of(machine);
  for (const auto& command : commands) {
    if (command.type != CommandType::launch) continue;
    ++counters_.starts;
    spdlog::debug("task start job={} task={} attempt={} machine={} fencing_token={}", command.job,
                  command.index, command.attempt, machine, fencing_token);
  }
  scheduler.heartbeat_answered(machine, runtime_.now());
  reply(http_status::kOk, codec::heartbeat_reply_body(fencing_token, commands));
}

// Invariant 6 is checked first: a process that was paused may process changes of the state store
// before its next tick, when its lease may already have ended. The deferred machines are tried one
// by one.
void WorkerCommands::answer_deferred(LedPartition& led) {
  PartitionScheduler& scheduler = *led.scheduler;
  if (!led_partitions_.is_acting_leader(scheduler.index())) return;
  const Ms now = runtime_.now();
  const bool has_waiting = scheduler.has_waiting_tasks();
  std::vector<std::string> machines;
  for (const auto& [machine, deferred_reply] : led.deferred) machines.push_back(machine);
  if (has_waiting) machines = scheduler.fullest_first(std::move(machines));
  std::vector<std::pair<std::string, std::vector<Command>>> ready;
  for (const auto& machine : machines) {
    auto starts = has_waiting ? scheduler.place_tasks(machine, now) : std::vector<Command>{};
    if (!starts.empty() || led.deferred.at(machine).reply_by <= now)
      ready.emplace_back(machine, std::move(starts));
  }
  for (const auto& [machine, starts] : ready)
    reply_to_heartbeat(led, machine, starts, led.take_deferred(machine));
}

// Invariant 6: while the controller may not act for the partition, the kills stay queued until it
// may act again or steps down.
void WorkerCommands::send_kills(LedPartition& led) {
  if (!led_partitions_.is_acting_leader(led.scheduler->index())) return;
  for (const auto& kill : led.scheduler->take_kills()) {
    // If a heartbeat of the worker is deferred, the reply carries the kills; otherwise they are
    // sent to /commands.
    if (const auto reply = led.take_deferred(kill.machine))
      reply_to_heartbeat(led, kill.machine, kill.commands, reply);
    else
      request_kill(led.term(), kill);
  }
}

// The next heartbeat shows the effect of the request. A worker that does not answer may also be
// unable to send heartbeats to this controller, so the request is its only way to receive the kill
// and is retried.
void WorkerCommands::request_kill(const LeadershipTerm& term,
                                  const PartitionScheduler::KillBatch& kill) {
  runtime_.http({kill.addr, "POST", "/commands",
                 codec::commands_body(kill.fencing_token, kill.incarnation, kill.commands),
                 k::kWorkerRequestTimeoutMs, true},
                [this, term, machine = kill.machine](const HttpReply& reply) {
                  if (reply.status == http_status::kNoAnswer) retry_kills(term, machine);
                });
}

void WorkerCommands::retry_kills(const LeadershipTerm& term, const std::string& machine) {
  runtime_.after(k::kRetryDelayMs, [this, term, machine] {
    LedPartition* led = led_partitions_.find(term);
    if (!led || !led_partitions_.is_acting_leader(term.partition)) return;
    led->scheduler->retry_kills(machine);
    send_kills(*led);
  });
}

}  // namespace eiderreel
