// The order of the checks matters: an outdated heartbeat is rejected before it changes any state,
// and a heartbeat with an old fencing token renews the lease but is no evidence about tasks.
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

// Updates a bound task that a heartbeat reports as not exited.
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
  // Invariant 5: once replies are known not to arrive, the machine gets no status 200 until its
  // lease has certainly expired (see `PartitionScheduler::tick`).
  if (has_inbound_loss(machine) && !machine.lease_expired) return stale_reply(fencing_token);
  update_machine(machine, heartbeat, now);
  if (heartbeat.fencing_token < fencing_token) return announce_token(machine, heartbeat, now);
  machine.token_announcements = 0;
  machines_.mark_reconciled(machine);

  HeartbeatReply reply{HeartbeatVerdict::ok, fencing_token, {}};
  ReportedTasks reported;
  for (const TaskStatus& status : heartbeat.tasks)
    reconcile_task(machine, status, now, reported, reply.commands);
  const bool launch_lost = release_missing(machine, reported.on_machine, now);
  if (reported.launch_confirmed)
    machine.lost_replies = 0;
  else if (launch_lost)
    record_lost_reply(machine, now);
  if (has_inbound_loss(machine)) return stale_reply(fencing_token);
  if (!machine.tasks.empty() || machine.idle_since == 0) machine.idle_since = now;
  return reply;
}

bool HeartbeatReconciler::is_outdated(const ScheduledMachine& machine,
                                      const Heartbeat& heartbeat) const {
  // A higher fencing token comes from a newer leader: the state of this leader is stale.
  if (heartbeat.fencing_token > machines_.fencing_token_of(machine)) return true;
  if (!machine.heartbeat_received) return false;
  // Delayed and duplicate messages: only a higher (incarnation, sequence) is accepted.
  if (std::pair(heartbeat.incarnation, heartbeat.sequence) <=
      std::pair(machine.incarnation, machine.sequence))
    return true;
  // After the lease has expired by the leader's clock, only a new incarnation is accepted.
  return machine.lease_expired && heartbeat.incarnation == machine.incarnation;
}

// A worker starts a new incarnation after its lease has expired; it has killed all its tasks.
void HeartbeatReconciler::begin_incarnation(ScheduledMachine& machine, Ms now) {
  bindings_.release_all(machine, now);
  machine.images.clear();
  // The lease expired on the worker although a reply was sent within the lease time, so that reply
  // was lost. The new incarnation starts on trial (see `on_trial`).
  if (!machine.lease_expired && now - machine.last_ok_reply_at < policy_.lease_ms)
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
  if (heartbeat.termination_notice_s)
    machine.reclaim_at = now + static_cast<Ms>(*heartbeat.termination_notice_s * 1000);
  else
    machine.reclaim_at.reset();
}

// Invariant 5: only a heartbeat that carries this leader's fencing token is evidence about tasks.
// One with an older token may be minutes late, and another leader may have started tasks since
// then. The reply announces the current fencing token to the worker.
HeartbeatReply HeartbeatReconciler::announce_token(ScheduledMachine& machine,
                                                   const Heartbeat& heartbeat, Ms now) const {
  const std::uint64_t fencing_token = machines_.fencing_token_of(machine);
  if (machine.token_announcements++ == 0) machine.first_announced_at = now;
  // The token was announced twice (`kMaxTokenAnnouncements`), and the heartbeats still lack it:
  // replies do not reach the worker.
  if (machine.token_announcements > constants::kMaxTokenAnnouncements &&
      now - machine.first_announced_at > constants::kWorkerReplyTimeoutMs)
    return stale_reply(fencing_token);
  // Invariant 7: this reply renews the lease like any other, so it has to carry the kills. Without
  // them, tasks of a job whose cancellation had been confirmed to its user outlived `cancel_s`:
  // machines that hung during the cancellation got the fencing token of a new leader in this reply
  // and were unreachable afterwards.
  return {HeartbeatVerdict::ok, fencing_token, kills_for_ended_jobs(heartbeat)};
}

// Returns kills for the reported tasks whose job has ended or is cancelled. They are valid however
// old the heartbeat is: such a job is never started again, and a kill applies to one attempt.
std::vector<Command> HeartbeatReconciler::kills_for_ended_jobs(const Heartbeat& heartbeat) const {
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
                                         Ms now, ReportedTasks& reported,
                                         std::vector<Command>& commands) {
  const TaskKey key{status.job, status.index};
  const auto found = machine.tasks.find(key);
  BoundTask* const bound = found == machine.tasks.end() ? nullptr : &found->second;
  if (bound && bound->attempt == status.attempt && !bound->reported) {
    bound->reported = true;
    reported.launch_confirmed = true;
  }
  if (status.phase == TaskPhase::exited) {
    reconcile_exited(machine, status, bound, now, commands);
    return;
  }
  reported.on_machine.insert(key);
  if (bound) update_bound(*bound, status);
  const BoundTask& task = bound ? *bound : bind_reported(machine, status, now);
  if (task.stop_grace_s) commands.push_back(kill_command(key, status.attempt, *task.stop_grace_s));
}

void HeartbeatReconciler::reconcile_exited(ScheduledMachine& machine, const TaskStatus& status,
                                           const BoundTask* bound, Ms now,
                                           std::vector<Command>& commands) {
  const TaskKey key{status.job, status.index};
  const bool current_attempt = bound != nullptr && bound->attempt == status.attempt;
  if (ScheduledJob* job = find_job(status); job && status.exit_reason == ExitReason::done) {
    if (current_attempt) bindings_.release(machine, key, Requeue::no, now);
    job->set_done(status.index);
    record_success(machine);
    // Invariant 7: a task is cleared only after its completion is durably recorded.
    if (job->tasks[status.index] == TaskState::recorded)
      commands.push_back(clear_command(key, status.attempt));
    return;
  }
  if (current_attempt) {
    ScheduledJob* const job = bound->job;
    if (job && status.exit_reason == ExitReason::error) record_failure(machine, *job, now);
    if (job && status.exit_reason == ExitReason::no_such)
      job->not_before = now + constants::kInitialJobBackoffMs;
    bindings_.release(machine, key, Requeue::yes, now);
  }
  commands.push_back(clear_command(key, status.attempt));
}

// Binds a reported task that was not bound to the machine: an earlier leader has started it, or it
// must not run, and is then bound as an orphan.
BoundTask& HeartbeatReconciler::bind_reported(ScheduledMachine& machine, const TaskStatus& status,
                                              Ms now) {
  ScheduledJob* job = find_job(status);
  if (!job || job->tasks[status.index] != TaskState::queued)
    return bindings_.bind_orphan(machine, status, job, now);
  BoundTask& task = bindings_.bind(machine, *job, status.index, status.attempt, status.phase, now);
  task.reported = true;
  if (job->cancelling) task.stop_grace_s = 0;
  return task;
}

// Invariant 4: the outcome of a launch is unknown until the next heartbeat. A bound task that this
// heartbeat does not report was never started or has ended. Returns whether a launch was lost.
bool HeartbeatReconciler::release_missing(ScheduledMachine& machine,
                                          const std::set<TaskKey>& on_machine, Ms now) {
  bool launch_lost = false;
  std::vector<TaskKey> missing;
  for (const auto& [key, task] : machine.tasks) {
    if (on_machine.contains(key)) continue;
    missing.push_back(key);
    launch_lost |= !task.reported;
  }
  for (const TaskKey& key : missing) bindings_.release(machine, key, Requeue::yes, now);
  return launch_lost;
}

}  // namespace eiderreel
