// Reports: what a machine's report proves of the tasks on it, and what its answer has to carry.
#include "scheduler/partition_scheduler.h"

namespace eiderreel {

// A machine that fails everything is told apart from a job that fails everywhere: a job that
// failed on several machines no longer counts against machines, and pauses itself instead.
void Part::note_error(Machine& m, Job& j, Ms now) {
  // Guard: not for ever; the machine may be well again, and the only one with room.
  j.bad_machines[m.id] = now + constants::kQuarantineMaxMs;
  if (static_cast<int>(j.bad_machines.size()) >= constants::kJobBadMachines && j.done == 0) {
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

void Part::quarantine(Machine& m, Ms now) {
  m.quarantine_ms = m.quarantine_ms ? std::min(m.quarantine_ms * 2, constants::kQuarantineMaxMs)
                                    : constants::kQuarantineMs;
  m.quarantine_until = now + m.quarantine_ms;
}

// A machine whose reports arrive but which our answers do not reach. Guard: each 200 counts as an
// answer that it may have had, so its lease would never seem over, and it would be given tasks
// again and again. One lost answer proves nothing: it then gets one task at a time until one shows.
void Part::note_lost_answer(Machine& m, Ms now) {
  if (++m.lost_answers >= constants::kInboundLossAnswers) quarantine(m, now);
}

bool Part::has_inbound_loss(const Machine& m) {
  return m.lost_answers >= constants::kInboundLossAnswers;
}

// Kills for the tasks in a report whose job is over or called off. They hold whatever the age of
// the report: such a job is never started again, and a kill names one attempt.
std::vector<Command> Part::owed_kills(const Report& r) const {
  std::vector<Command> kills;
  for (const TaskReport& task : r.tasks) {
    if (task.phase == TaskPhase::exited) continue;
    const auto job = jobs_.find(task.job);
    if (job == jobs_.end() || job->second->cancelling)
      kills.push_back({Verb::kill, task.job, task.index, task.attempt, 0});
  }
  return kills;
}

Answer Part::on_report(const Report& r, Ms now) {
  now_ = now;
  auto it = machines_.find(r.machine);
  if (it == machines_.end()) return {Verdict::stale, term_, {}};
  Machine& m = *it->second;
  const Answer stale{Verdict::stale, term_of(r.machine), {}};
  if (is_outdated(m, r)) return stale;
  if (m.reported && r.session > m.session) begin_session(m, now);
  // Invariant 5: no 200 any more until its lease is surely over (see `tick`).
  if (has_inbound_loss(m) && !m.gone) return stale;
  take_machine_state(m, r, now);
  if (r.term < stale.term) return tell_term(m, r, now);
  m.term_answers = 0;
  set_proven(m);

  Answer answer{Verdict::ok, stale.term, {}};
  ReportedTasks reported;
  for (const TaskReport& task : r.tasks) take_task(m, task, now, reported, answer.commands);
  const bool start_lost = release_missing(m, reported.on_machine);
  if (reported.start_shown)
    m.lost_answers = 0;
  else if (start_lost)
    note_lost_answer(m, now);
  if (has_inbound_loss(m)) return stale;
  if (!m.tasks.empty() || m.idle_since == 0) m.idle_since = now;
  return answer;
}

bool Part::is_outdated(const Machine& m, const Report& r) const {
  // A worker that has seen a higher term has another owner: our view is behind.
  if (r.term > term_of(m.id)) return true;
  if (!m.reported) return false;
  // Late and repeated messages: only the newest (session, sequence) counts.
  if (std::pair(r.session, r.sequence) <= std::pair(m.session, m.sequence)) return true;
  // After its lease ended by our clock, a machine must show a new session.
  return m.gone && r.session == m.session;
}

// The worker has killed all that it had.
void Part::begin_session(Machine& m, Ms now) {
  drop_all(m);
  m.images.clear();
  // Its lease ended although we answered: it did not hear. Then this session starts on trial.
  if (!m.gone && now - m.last_answer < limits_.lease_ms) note_lost_answer(m, now);
  if (m.gone && has_inbound_loss(m)) m.lost_answers = constants::kInboundLossAnswers - 1;
  m.term_answers = 0;
}

void Part::take_machine_state(Machine& m, const Report& r, Ms now) {
  m.reported = true;
  m.gone = false;
  m.session = r.session;
  m.sequence = r.sequence;
  m.last_report = now;
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

// Invariant 5: only a report sent under our term proves anything. A report from before may be
// minutes late, and another owner may have started tasks since. The answer tells the term.
Answer Part::tell_term(Machine& m, const Report& r, Ms now) {
  const std::uint64_t term = term_of(m.id);
  if (m.term_answers++ == 0) m.term_answered_at = now;
  // It was told our term, twice, and does not show it.
  if (m.term_answers > constants::kTermAnswers &&
      now - m.term_answered_at > constants::kWorkerPatienceMs)
    return {Verdict::stale, term, {}};
  // Invariant 7. Guard: this answer renews the lease like any other. Without kills in it, tasks of
  // a job whose user had been told that it is cancelled outlived `cancel_s`: machines that hung
  // at the cancellation were told the term of a new owner, and could not be reached after that.
  return {Verdict::ok, term, owed_kills(r)};
}

Part::Job* Part::find_job(const TaskReport& task) const {
  const auto it = jobs_.find(task.job);
  return it == jobs_.end() || task.index >= it->second->spec.tasks ? nullptr : it->second.get();
}

void Part::take_task(Machine& m, const TaskReport& task, Ms now, ReportedTasks& reported,
                     std::vector<Command>& out) {
  const TaskKey key{task.job, task.index};
  const auto bound = m.tasks.find(key);
  if (bound != m.tasks.end() && bound->second.attempt == task.attempt && !bound->second.seen)
    reported.start_shown = bound->second.seen = true;
  if (task.phase == TaskPhase::exited) return take_exit(m, task, now, out);
  reported.on_machine.insert(key);
  take_live(m, task, now);
  if (const Bound& b = m.tasks.at(key); b.stop_grace_s)
    out.push_back({Verb::kill, task.job, task.index, task.attempt, *b.stop_grace_s});
}

void Part::take_exit(Machine& m, const TaskReport& task, Ms now, std::vector<Command>& out) {
  const TaskKey key{task.job, task.index};
  const auto bound = m.tasks.find(key);
  const bool ours = bound != m.tasks.end() && bound->second.attempt == task.attempt;
  const Command clear{Verb::clear, task.job, task.index, task.attempt, 0};
  Job* job = find_job(task);
  if (task.exit_reason == ExitReason::done && job) {
    if (ours) release(m, key, false);
    set_done(*job, task.index);
    m.errors = 0;
    m.quarantine_ms = 0;
    // Invariant 7: cleared only after its durable record.
    if (job->state[task.index] == State::recorded) out.push_back(clear);
    return;
  }
  if (ours) {
    Job* owner = bound->second.job;
    if (task.exit_reason == ExitReason::error && owner) note_error(m, *owner, now);
    if (task.exit_reason == ExitReason::no_such && owner)
      owner->not_before = now + constants::kJobBackoffMs;
    release(m, key, true);
  }
  out.push_back(clear);
}

void Part::take_live(Machine& m, const TaskReport& task, Ms now) {
  const TaskKey key{task.job, task.index};
  const auto bound = m.tasks.find(key);
  if (bound == m.tasks.end()) {
    Job* job = find_job(task);
    if (!job || job->state[task.index] != State::queued) return hold_room(m, task, job, now);
    bind(m, *job, task.index, task.attempt, task.phase);  // found after a takeover
    m.tasks[key].seen = true;
    if (job->cancelling) m.tasks[key].stop_grace_s = 0;
    return;
  }
  Bound& b = bound->second;
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
void Part::hold_room(Machine& m, const TaskReport& task, const Job* job, Ms now) {
  Bound b;
  b.attempt = task.attempt;
  b.phase = task.phase;
  b.seen = true;
  b.ends = now;
  b.stop_grace_s = 0;
  if (!job) {
    count_unknown(m, 1);
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

// Invariant 4: a launch is open until this report; what it lacks was never started or is gone. True
// when a start left no trace.
bool Part::release_missing(Machine& m, const std::set<TaskKey>& on_machine) {
  bool start_lost = false;
  std::vector<TaskKey> missing;
  for (const auto& [key, bound] : m.tasks) {
    if (on_machine.count(key)) continue;
    missing.push_back(key);
    start_lost |= !bound.seen;
  }
  for (const TaskKey& key : missing) release(m, key, true);
  return start_lost;
}

}  // namespace eiderreel
