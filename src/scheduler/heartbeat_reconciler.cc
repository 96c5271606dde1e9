// The order of the checks matters: what is outdated proves nothing, and what proves nothing about
// tasks may still renew the lease.
#include "scheduler/heartbeat_reconciler.h"

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "scheduler/heartbeat_reply.h"
#include "scheduler/machine_health.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/task_bindings.h"
#include "scheduler/task_commands.h"

namespace eiderreel {
namespace {

HeartbeatReply stale_reply(std::uint64_t fencing_token) {
  return {HeartbeatVerdict::stale, fencing_token, {}};
}

// A task that was bound already is shown by a heartbeat as not exited.
void update_bound(BoundTask& task, const TaskStatus& status) {
  if (task.attempt != status.attempt) {
    task.attempt = status.attempt;
    return;
  }
  if (task.job) {
    const bool was_running = task.phase == TaskPhase::running;
    const bool is_running = status.phase == TaskPhase::running;
    if (!was_running && is_running) ++task.job->running;
    if (was_running && !is_running) --task.job->running;
  }
  task.phase = status.phase;
}

}  // namespace

HeartbeatReply HeartbeatReconciler::reconcile(const Heartbeat& heartbeat, Ms now) {
  ScheduledMachine* const found = machines_.find(heartbeat.machine);
  if (!found) return stale_reply(machines_.fencing_token());
  ScheduledMachine& machine = *found;
  const std::uint64_t fencing_token = machines_.fencing_token_of(machine);
  if (is_outdated(machine, heartbeat)) return stale_reply(fencing_token);
  if (machine.heartbeat_received && heartbeat.incarnation > machine.incarnation)
    begin_incarnation(machine, now);
  // Invariant 5: no 200 any more until its lease is surely over (see `PartitionScheduler::tick`).
  if (has_inbound_loss(machine) && !machine.lease_expired) return stale_reply(fencing_token);
  update_machine(machine, heartbeat, now);
  if (heartbeat.fencing_token < fencing_token) return announce_token(machine, heartbeat, now);
  machine.token_announcements = 0;
  machines_.mark_reconciled(machine);

  HeartbeatReply reply{HeartbeatVerdict::ok, fencing_token, {}};
  ShownTasks shown;
  for (const TaskStatus& status : heartbeat.tasks)
    reconcile_task(machine, status, now, shown, reply.commands);
  const bool start_lost = release_missing(machine, shown.on_machine, now);
  if (shown.new_start)
    machine.lost_replies = 0;
  else if (start_lost)
    record_lost_reply(machine, now);
  if (has_inbound_loss(machine)) return stale_reply(fencing_token);
  if (!machine.tasks.empty() || machine.idle_since == 0) machine.idle_since = now;
  return reply;
}

bool HeartbeatReconciler::is_outdated(const ScheduledMachine& machine,
                                      const Heartbeat& heartbeat) const {
  // A worker that has seen a higher fencing token has another leader: our view is behind.
  if (heartbeat.fencing_token > machines_.fencing_token_of(machine)) return true;
  if (!machine.heartbeat_received) return false;
  // Late and repeated messages: only the newest (incarnation, sequence) counts.
  if (std::pair(heartbeat.incarnation, heartbeat.sequence) <=
      std::pair(machine.incarnation, machine.sequence))
    return true;
  // After its lease ended by our clock, a machine must show a new incarnation.
  return machine.lease_expired && heartbeat.incarnation == machine.incarnation;
}

// The worker has killed all that it had.
void HeartbeatReconciler::begin_incarnation(ScheduledMachine& machine, Ms now) {
  bindings_.release_all(machine, now);
  machine.images.clear();
  // Its lease ended although we answered: it did not hear. Then this incarnation starts on trial.
  if (!machine.lease_expired && now - machine.last_reply < policy_.lease_ms)
    record_lost_reply(machine, now);
  if (machine.lease_expired && has_inbound_loss(machine))
    machine.lost_replies = constants::kInboundLossReplies - 1;
  machine.token_announcements = 0;
}

void HeartbeatReconciler::update_machine(ScheduledMachine& machine, const Heartbeat& heartbeat,
                                         Ms now) const {
  machine.heartbeat_received = true;
  machine.lease_expired = false;
  machine.incarnation = heartbeat.incarnation;
  machine.sequence = heartbeat.sequence;
  machine.last_heartbeat = now;
  machine.addr = heartbeat.addr;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
  machine.type_name = heartbeat.type;
  if (const MachineType* type = machines_.type(heartbeat.type)) machine.type = type;
  if (heartbeat.notice_s)
    machine.taken_at = now + static_cast<Ms>(*heartbeat.notice_s * 1000);
  else
    machine.taken_at.reset();
}

// Invariant 5: only a heartbeat sent under our fencing token proves anything. A heartbeat from
// before may be minutes late, and another leader may have started tasks since. The answer tells the
// fencing token.
HeartbeatReply HeartbeatReconciler::announce_token(ScheduledMachine& machine,
                                                   const Heartbeat& heartbeat, Ms now) const {
  const std::uint64_t fencing_token = machines_.fencing_token_of(machine);
  if (machine.token_announcements++ == 0) machine.first_announced_at = now;
  // It was told our fencing token, twice, and does not show it.
  if (machine.token_announcements > constants::kMaxTokenAnnouncements &&
      now - machine.first_announced_at > constants::kWorkerReplyTimeoutMs)
    return stale_reply(fencing_token);
  // Invariant 7. This answer renews the lease like any other. Without kills in it, tasks of a job
  // whose user had been told that it is cancelled outlived `cancel_s`: machines that hung at the
  // cancellation were told the fencing token of a new leader, and could not be reached after that.
  return {HeartbeatVerdict::ok, fencing_token, owed_kills(heartbeat)};
}

// Kills for the tasks in a heartbeat whose job is over or cancelled. They hold whatever the age of
// the heartbeat: such a job is never started again, and a kill names one attempt.
std::vector<Command> HeartbeatReconciler::owed_kills(const Heartbeat& heartbeat) const {
  std::vector<Command> kills;
  for (const TaskStatus& status : heartbeat.tasks) {
    if (status.phase == TaskPhase::exited) continue;
    const ScheduledJob* job = jobs_.find(status.job);
    if (!job || job->cancelling)
      kills.push_back(kill_command({status.job, status.index}, status.attempt, 0));
  }
  return kills;
}

ScheduledJob* HeartbeatReconciler::find_job(const TaskStatus& status) const {
  ScheduledJob* job = jobs_.find(status.job);
  return job && status.index < job->spec.tasks ? job : nullptr;
}

void HeartbeatReconciler::reconcile_task(ScheduledMachine& machine, const TaskStatus& status,
                                         Ms now, ShownTasks& shown, std::vector<Command>& out) {
  const TaskKey key{status.job, status.index};
  const auto found = machine.tasks.find(key);
  BoundTask* const bound = found == machine.tasks.end() ? nullptr : &found->second;
  if (bound && bound->attempt == status.attempt && !bound->seen) {
    bound->seen = true;
    shown.new_start = true;
  }
  if (status.phase == TaskPhase::exited) {
    reconcile_exited(machine, status, bound, now, out);
    return;
  }
  shown.on_machine.insert(key);
  if (bound) update_bound(*bound, status);
  const BoundTask& task = bound ? *bound : bind_found(machine, status, now);
  if (task.stop_grace_s) out.push_back(kill_command(key, status.attempt, *task.stop_grace_s));
}

void HeartbeatReconciler::reconcile_exited(ScheduledMachine& machine, const TaskStatus& status,
                                           const BoundTask* bound, Ms now,
                                           std::vector<Command>& out) {
  const TaskKey key{status.job, status.index};
  const bool ours = bound != nullptr && bound->attempt == status.attempt;
  if (ScheduledJob* job = find_job(status); job && status.exit_reason == ExitReason::done) {
    if (ours) bindings_.release(machine, key, Requeue::no, now);
    job->set_done(status.index);
    record_success(machine);
    // Invariant 7: cleared only after its durable record.
    if (job->tasks[status.index] == TaskState::recorded)
      out.push_back(clear_command(key, status.attempt));
    return;
  }
  if (ours) {
    ScheduledJob* const job = bound->job;
    if (job && status.exit_reason == ExitReason::error) record_failure(machine, *job, now);
    if (job && status.exit_reason == ExitReason::no_such)
      job->not_before = now + constants::kInitialJobBackoffMs;
    bindings_.release(machine, key, Requeue::yes, now);
  }
  out.push_back(clear_command(key, status.attempt));
}

// A task that we had not bound: it was started by an earlier leader, or it is not ours to run.
BoundTask& HeartbeatReconciler::bind_found(ScheduledMachine& machine, const TaskStatus& status,
                                           Ms now) {
  ScheduledJob* job = find_job(status);
  if (!job || job->tasks[status.index] != TaskState::queued)
    return bindings_.bind_orphan(machine, status, job, now);
  BoundTask& task = bindings_.bind(machine, *job, status.index, status.attempt, status.phase, now);
  task.seen = true;
  if (job->cancelling) task.stop_grace_s = 0;
  return task;
}

// Invariant 4: a launch is open until this heartbeat; what it lacks was never started or is gone.
// Returns whether a start left no trace.
bool HeartbeatReconciler::release_missing(ScheduledMachine& machine,
                                          const std::set<TaskKey>& on_machine, Ms now) {
  bool start_lost = false;
  std::vector<TaskKey> missing;
  for (const auto& [key, task] : machine.tasks) {
    if (on_machine.contains(key)) continue;
    missing.push_back(key);
    start_lost |= !task.seen;
  }
  for (const TaskKey& key : missing) bindings_.release(machine, key, Requeue::yes, now);
  return start_lost;
}

}  // namespace eiderreel
