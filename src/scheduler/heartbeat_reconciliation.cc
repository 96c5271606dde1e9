// Heartbeats: what a machine's heartbeat proves of the tasks on it, and what its answer has to
// carry.
#include "scheduler/partition_scheduler.h"

namespace eiderreel {

// A machine that fails everything is told apart from a job that fails everywhere: a job that
// failed on several machines no longer counts against machines, and pauses itself instead.
void PartitionScheduler::record_failure(Machine& m, Job& j, Ms now) {
  // Not for ever; the machine may be well again, and the only one with room.
  j.avoided_machines[m.id] = now + constants::kQuarantineMaxMs;
  if (static_cast<int>(j.avoided_machines.size()) >= constants::kJobBadMachines && j.done == 0) {
    j.backoff =
        j.backoff ? std::min(j.backoff * 2, constants::kJobBackoffMaxMs) : constants::kJobBackoffMs;
    j.not_before = now + j.backoff;
    return;
  }
  if (++m.errors >= constants::kUnhealthyErrors) {
    m.errors = constants::kUnhealthyErrors - 1;  // after it a single failure begins the next one
    quarantine(m, now);
  }
}

void PartitionScheduler::quarantine(Machine& m, Ms now) {
  m.quarantine_ms = m.quarantine_ms ? std::min(m.quarantine_ms * 2, constants::kQuarantineMaxMs)
                                    : constants::kQuarantineMs;
  m.quarantine_until = now + m.quarantine_ms;
}

// A machine whose heartbeats arrive but which our answers do not reach. Each 200 counts as an
// answer that it may have had, so its lease would never seem over, and it would be given tasks
// again and again. One lost answer proves nothing: it then gets one task at a time until one shows.
void PartitionScheduler::record_lost_reply(Machine& m, Ms now) {
  if (++m.lost_replies >= constants::kInboundLossAnswers) quarantine(m, now);
}

bool PartitionScheduler::has_inbound_loss(const Machine& m) {
  return m.lost_replies >= constants::kInboundLossAnswers;
}

// Kills for the tasks in a heartbeat whose job is over or cancelled. They hold whatever the age of
// the heartbeat: such a job is never started again, and a kill names one attempt.
std::vector<Command> PartitionScheduler::owed_kills(const Heartbeat& r) const {
  std::vector<Command> kills;
  for (const TaskStatus& task : r.tasks) {
    if (task.phase == TaskPhase::exited) continue;
    const auto job = jobs_.find(task.job);
    if (job == jobs_.end() || job->second->cancelling)
      kills.push_back({CommandType::kill, task.job, task.index, task.attempt, 0});
  }
  return kills;
}

HeartbeatReply PartitionScheduler::on_heartbeat(const Heartbeat& r, Ms now) {
  now_ = now;
  auto it = machines_.find(r.machine);
  if (it == machines_.end()) return {HeartbeatVerdict::stale, fencing_token_, {}};
  Machine& m = *it->second;
  const HeartbeatReply stale{HeartbeatVerdict::stale, fencing_token_of(r.machine), {}};
  if (is_outdated(m, r)) return stale;
  if (m.heartbeat_received && r.incarnation > m.incarnation) begin_incarnation(m, now);
  // Invariant 5: no 200 any more until its lease is surely over (see `tick`).
  if (has_inbound_loss(m) && !m.lease_expired) return stale;
  update_machine(m, r, now);
  if (r.fencing_token < stale.fencing_token) return announce_token(m, r, now);
  m.token_announcements = 0;
  mark_reconciled(m);

  HeartbeatReply answer{HeartbeatVerdict::ok, stale.fencing_token, {}};
  HeartbeatTasks shown;
  for (const TaskStatus& task : r.tasks) reconcile_task(m, task, now, shown, answer.commands);
  const bool start_lost = release_missing(m, shown.on_machine);
  if (shown.start_shown)
    m.lost_replies = 0;
  else if (start_lost)
    record_lost_reply(m, now);
  if (has_inbound_loss(m)) return stale;
  if (!m.tasks.empty() || m.idle_since == 0) m.idle_since = now;
  return answer;
}

bool PartitionScheduler::is_outdated(const Machine& m, const Heartbeat& r) const {
  // A worker that has seen a higher fencing token has another leader: our view is behind.
  if (r.fencing_token > fencing_token_of(m.id)) return true;
  if (!m.heartbeat_received) return false;
  // Late and repeated messages: only the newest (incarnation, sequence) counts.
  if (std::pair(r.incarnation, r.sequence) <= std::pair(m.incarnation, m.sequence)) return true;
  // After its lease ended by our clock, a machine must show a new incarnation.
  return m.lease_expired && r.incarnation == m.incarnation;
}

// The worker has killed all that it had.
void PartitionScheduler::begin_incarnation(Machine& m, Ms now) {
  release_all_tasks(m);
  m.images.clear();
  // Its lease ended although we answered: it did not hear. Then this incarnation starts on trial.
  if (!m.lease_expired && now - m.last_reply < limits_.lease_ms) record_lost_reply(m, now);
  if (m.lease_expired && has_inbound_loss(m)) m.lost_replies = constants::kInboundLossAnswers - 1;
  m.token_announcements = 0;
}

void PartitionScheduler::update_machine(Machine& m, const Heartbeat& r, Ms now) {
  m.heartbeat_received = true;
  m.lease_expired = false;
  m.incarnation = r.incarnation;
  m.sequence = r.sequence;
  m.last_heartbeat = now;
  m.addr = r.addr;
  m.zone = r.zone;
  m.spot = r.spot;
  m.type_name = r.type;
  if (auto t = types_.find(r.type); t != types_.end()) m.type = &t->second;
  if (r.notice_s)
    m.taken_at = now + static_cast<Ms>(*r.notice_s * 1000);
  else
    m.taken_at.reset();
}

// Invariant 5: only a heartbeat sent under our fencing token proves anything. A heartbeat from
// before may be minutes late, and another leader may have started tasks since. The answer tells the
// fencing token.
HeartbeatReply PartitionScheduler::announce_token(Machine& m, const Heartbeat& r, Ms now) {
  const std::uint64_t fencing_token = fencing_token_of(m.id);
  if (m.token_announcements++ == 0) m.first_announced_at = now;
  // It was told our fencing token, twice, and does not show it.
  if (m.token_announcements > constants::kTokenAnnouncements &&
      now - m.first_announced_at > constants::kWorkerPatienceMs)
    return {HeartbeatVerdict::stale, fencing_token, {}};
  // Invariant 7. This answer renews the lease like any other. Without kills in it, tasks of
  // a job whose user had been told that it is cancelled outlived `cancel_s`: machines that hung
  // at the cancellation were told the fencing token of a new leader, and could not be reached after
  // that.
  return {HeartbeatVerdict::ok, fencing_token, owed_kills(r)};
}

PartitionScheduler::Job* PartitionScheduler::find_job(const TaskStatus& task) const {
  const auto it = jobs_.find(task.job);
  return it == jobs_.end() || task.index >= it->second->spec.tasks ? nullptr : it->second.get();
}

void PartitionScheduler::reconcile_task(Machine& m, const TaskStatus& task, Ms now,
                                        HeartbeatTasks& shown, std::vector<Command>& out) {
  const TaskKey key{task.job, task.index};
  const auto bound = m.tasks.find(key);
  if (bound != m.tasks.end() && bound->second.attempt == task.attempt && !bound->second.seen)
    shown.start_shown = bound->second.seen = true;
  if (task.phase == TaskPhase::exited) return reconcile_exited(m, task, now, out);
  shown.on_machine.insert(key);
  reconcile_running(m, task, now);
  if (const BoundTask& b = m.tasks.at(key); b.stop_grace_s)
    out.push_back({CommandType::kill, task.job, task.index, task.attempt, *b.stop_grace_s});
}

void PartitionScheduler::reconcile_exited(Machine& m, const TaskStatus& task, Ms now,
                                          std::vector<Command>& out) {
  const TaskKey key{task.job, task.index};
  const auto bound = m.tasks.find(key);
  const bool ours = bound != m.tasks.end() && bound->second.attempt == task.attempt;
  const Command clear{CommandType::clear, task.job, task.index, task.attempt, 0};
  Job* job = find_job(task);
  if (task.exit_reason == ExitReason::done && job) {
    if (ours) release_task(m, key, false);
    set_done(*job, task.index);
    m.errors = 0;
    m.quarantine_ms = 0;
    // Invariant 7: cleared only after its durable record.
    if (job->state[task.index] == TaskState::recorded) out.push_back(clear);
    return;
  }
  if (ours) {
    Job* bound_job = bound->second.job;
    if (task.exit_reason == ExitReason::error && bound_job) record_failure(m, *bound_job, now);
    if (task.exit_reason == ExitReason::no_such && bound_job)
      bound_job->not_before = now + constants::kJobBackoffMs;
    release_task(m, key, true);
  }
  out.push_back(clear);
}

void PartitionScheduler::reconcile_running(Machine& m, const TaskStatus& task, Ms now) {
  const TaskKey key{task.job, task.index};
  const auto bound = m.tasks.find(key);
  if (bound == m.tasks.end()) {
    Job* job = find_job(task);
    if (!job || job->state[task.index] != TaskState::queued) return bind_orphan(m, task, job, now);
    bind(m, *job, task.index, task.attempt, task.phase);  // found after a failover
    m.tasks[key].seen = true;
    if (job->cancelling) m.tasks[key].stop_grace_s = 0;
    return;
  }
  BoundTask& b = bound->second;
  if (b.attempt != task.attempt) {
    b.attempt = task.attempt;
    return;
  }
  if (b.job) {
    if (b.phase != TaskPhase::running && task.phase == TaskPhase::running) ++b.job->running;
    if (b.phase == TaskPhase::running && task.phase != TaskPhase::running) --b.job->running;
  }
  b.phase = task.phase;
}

// Not ours to run: its job is over, or the task is done. It is killed, and holds room until it is
// gone.
void PartitionScheduler::bind_orphan(Machine& m, const TaskStatus& task, const Job* job, Ms now) {
  BoundTask b;
  b.attempt = task.attempt;
  b.phase = task.phase;
  b.seen = true;
  b.ends = now;
  b.stop_grace_s = 0;
  if (!job) {
    add_unknown_tasks(m, 1);
  } else {
    b.cpus = job->spec.cpus;
    b.gpus = job->spec.gpus;
    b.memory_gb = job->spec.memory_gb;
    b.team = job->team;
    team_cpus_[b.team] += b.cpus;
    team_gpus_[b.team] += b.gpus;
  }
  m.cpus += b.cpus;
  m.gpus += b.gpus;
  m.memory_gb += b.memory_gb;
  m.tasks[{task.job, task.index}] = b;
}

// Invariant 4: a launch is open until this heartbeat; what it lacks was never started or is gone.
// True when a start left no trace.
bool PartitionScheduler::release_missing(Machine& m, const std::set<TaskKey>& on_machine) {
  bool start_lost = false;
  std::vector<TaskKey> missing;
  for (const auto& [key, bound] : m.tasks) {
    if (on_machine.count(key)) continue;
    missing.push_back(key);
    start_lost |= !bound.seen;
  }
  for (const TaskKey& key : missing) release_task(m, key, true);
  return start_lost;
}

}  // namespace eiderreel
