#include "core/part.h"

namespace eiderreel {
Part::Part(int index, std::uint64_t term, Ms claimed_at, PartLimits limits, std::vector<Team> teams)
    : index_(index),
      term_(term),
      now_(claimed_at),
      claimed_at_(claimed_at),
      limits_(limits),
      teams_(std::move(teams)),
      team_cpus_(teams_.size(), 0.0),
      team_gpus_(teams_.size(), 0.0) {}

int Part::team_index(const std::string& name) const {
  for (std::size_t i = 0; i < teams_.size(); ++i)
    if (teams_[i].name == name) return static_cast<int>(i);
  return -1;
}

// ---------------------------------------------------------------------------- machines

void Part::add_machine(const std::string& id, std::uint64_t stamp, bool fresh, Ms now) {
  auto& m = machines_[id];
  if (m) {
    m->stamp = std::max(m->stamp, stamp);
    return;
  }
  m = std::make_unique<Machine>();
  m->id = id;
  m->stamp = stamp;
  m->proven = fresh;
  proof_known_ = false;
  // Invariant 5: the last answer another owner could have given is not later than our claim.
  m->last_answer = fresh ? now : claimed_at_;
  m->last_report = now;
  m->idle_since = now;
}

void Part::remove_machine(const std::string& id) {
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  drop_all(*it->second);
  machines_.erase(it);
  proof_known_ = false;
}

// Invariant 2: the term of a machine is the newest stamp of its part's or its own key.
std::uint64_t Part::term_of(const std::string& id) const {
  auto it = machines_.find(id);
  return it == machines_.end() ? term_ : std::max(term_, it->second->stamp);
}

void Part::set_types(const std::vector<MachineType>& types) {
  for (const auto& t : types) types_[t.name] = t;
  for (auto& [id, m] : machines_)
    if (auto it = types_.find(m->type_name); it != types_.end()) m->type = &it->second;
  proof_known_ = false;
}

bool Part::idle(const std::string& id) const {
  auto it = machines_.find(id);
  return it != machines_.end() && it->second->proven && it->second->tasks.empty();
}

std::vector<std::string> Part::idle_machines(bool spot, double cpus, bool rested, Ms now) const {
  std::vector<const Machine*> idle;
  for (const auto& [id, m] : machines_)
    // Guard: one that was let run empty is given away at once; its advice is renewed all the time.
    if (m->spot == spot && usable(*m, now) && m->tasks.empty() &&
        (!rested || now - m->idle_since >= keep_ms()))
      idle.push_back(m.get());
  std::sort(idle.begin(), idle.end(), [](const Machine* a, const Machine* b) {
    return std::tie(a->idle_since, a->id) < std::tie(b->idle_since, b->id);
  });
  std::vector<std::string> out;
  for (const Machine* m : idle) {
    if (m->type->cpus > cpus) continue;
    cpus -= m->type->cpus;
    out.push_back(m->id);
  }
  return out;
}

bool Part::begin_leave(const std::string& id) {
  if (!idle(id)) return false;
  machines_[id]->leaving = true;
  return true;
}

void Part::end_leave(const std::string& id) {
  if (auto it = machines_.find(id); it != machines_.end()) it->second->leaving = false;
}

void Part::drop_all(Machine& m) {
  while (!m.tasks.empty()) release(m, m.tasks.begin()->first, true);
}

void Part::machine_gone(const std::string& id, Ms) {
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  drop_all(*it->second);
  set_proven(*it->second);
  it->second->gone = true;
}

void Part::set_proven(Machine& m) {
  if (!m.proven) proof_known_ = false;
  m.proven = true;
}

// A task of a job we no longer know: its size and team are unknown until it is gone.
void Part::count_unknown(Machine& m, int by) {
  m.unknown += by;
  proof_known_ = false;
}

// Changes only while machines are heard of for the first time, so it is counted when asked for.
const Part::Proof& Part::proof() {
  if (proof_known_) return proof_;
  double largest = 0;
  for (const auto& [n, t] : types_) largest = std::max(largest, t.cpus);
  proof_ = {};
  for (const auto& [id, m] : machines_) {
    if (m->proven && m->unknown == 0) continue;
    proof_.cpus += m->type ? m->type->cpus : largest;
    if (m->proven) continue;
    ++proof_.unproven;
    if (!m->spot) ++proof_.unproven_ordinary;
  }
  proof_known_ = true;
  return proof_;
}

std::vector<std::string> Part::machine_names() const {
  std::vector<std::string> out;
  for (const auto& [id, m] : machines_) out.push_back(id);
  std::sort(out.begin(), out.end());
  return out;
}

// -------------------------------------------------------------------------------- jobs

void Part::open_job(const JobSpec& spec, std::uint64_t stamp, bool older,
                    const std::vector<std::uint32_t>& done, Ms age) {
  if (jobs_.count(spec.id)) return;
  auto j = std::make_unique<Job>();
  j->spec = spec;
  j->stamp = stamp;
  j->older = older;
  j->team = team_index(spec.team);
  if (j->team < 0) return;
  if (image_numbers_.size() >= constants::kImagesKnown + jobs_.size()) forget_images();
  j->image = image_number(spec.image);
  j->state.assign(spec.tasks, State::queued);
  j->queued = spec.tasks;
  j->waiting_since = now_;
  for (auto i : done)
    if (i < spec.tasks && j->state[i] == State::queued) {
      j->state[i] = State::recorded;
      --j->queued;
      ++j->done;
    }
  if (spec.deadline_s && spec.kind == Kind::array) {
    const double slack = std::max(0.0, *spec.deadline_s - spec.estimate_s);
    slack_s_ = slack_s_ == 0 ? slack : slack_s_ + (slack - slack_s_) * constants::kSlackWeight;
  }
  if (auto wait = limits_.waits.find(spec.jobclass);
      wait != limits_.waits.end() && wait->second > 0 && spec.kind == Kind::array)
    wait_s_ = wait_s_ == 0 ? wait->second : std::min(wait_s_, wait->second);
  j->accepted = now_ - age;
  j->begun = j->done > 0;
  if (auto aims = limits_.aims.find(spec.jobclass); aims != limits_.aims.end())
    for (const FinishAim& aim : aims->second) {
      const double s = aim.times > 0 ? aim.times * spec.deadline_s.value_or(0) : aim.within_s;
      if (s > 0) j->bounds.push_back(j->accepted + static_cast<Ms>(s * 1000));
    }
  if (j->bounds.empty() && spec.deadline_s)
    j->bounds.push_back(j->accepted + static_cast<Ms>(*spec.deadline_s * 1000));
  std::sort(j->bounds.begin(), j->bounds.end());
  order_.push_back(j.get());
  reorder(now_);
  jobs_[spec.id] = std::move(j);
}

std::optional<JobStatus> Part::status(const std::string& id) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return std::nullopt;
  const Job& j = *it->second;
  return JobStatus{j.running > 0 ? JobPhase::running : JobPhase::queued, j.done, j.running};
}

std::uint64_t Part::job_stamp(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? 0 : it->second->stamp;
}

std::uint32_t Part::task_count(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? 0 : it->second->spec.tasks;
}

void Part::hold_job(const std::string& id) {
  if (auto it = jobs_.find(id); it != jobs_.end()) it->second->held = true;
}

bool Part::held(const std::string& id) const {
  auto it = jobs_.find(id);
  return it != jobs_.end() && it->second->held;
}

void Part::kill_tasks(const std::string& id) {
  for (auto& [mid, m] : machines_)
    for (auto t = m->tasks.lower_bound({id, 0}); t != m->tasks.end() && t->first.first == id; ++t) {
      t->second.killing = true;
      t->second.grace_s = 0;
      kills_[mid].push_back({Verb::kill, id, t->first.second, t->second.attempt, 0});
    }
}

void Part::cancel_job(const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second->cancelling) return;
  it->second->held = it->second->cancelling = true;
  kill_tasks(id);
}

void Part::close_job(const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job* j = it->second.get();
  if (!j->cancelling) kill_tasks(id);
  // An orphan keeps its room and its team's share until it is seen to be gone.
  for (auto& [mid, m] : machines_)
    for (auto t = m->tasks.lower_bound({id, 0}); t != m->tasks.end() && t->first.first == id; ++t)
      t->second.job = nullptr;
  order_.erase(std::find(order_.begin(), order_.end(), j));
  waiting_known_ = false;
  jobs_.erase(it);
}

std::vector<std::uint32_t> Part::unrecorded(const std::string& id) const {
  std::vector<std::uint32_t> out;
  auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second->unrecorded == 0) return out;
  for (std::uint32_t i = 0; i < it->second->spec.tasks; ++i)
    if (it->second->state[i] == State::done) out.push_back(i);
  return out;
}

void Part::mark_recorded(const std::string& id, const std::vector<std::uint32_t>& tasks) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job& j = *it->second;
  for (auto i : tasks)
    if (j.state[i] == State::done) {
      j.state[i] = State::recorded;
      --j.unrecorded;
    }
}

std::vector<std::string> Part::jobs_to_record() const {
  std::vector<std::string> out;
  for (const Job* j : order_)
    if (j->unrecorded > 0 || j->done == j->spec.tasks || j->held) out.push_back(j->spec.id);
  return out;
}

std::vector<std::uint32_t> Part::done_in_chunk(const std::string& id, std::uint32_t chunk) const {
  std::vector<std::uint32_t> out;
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return out;
  const Job& j = *it->second;
  std::uint32_t from = chunk * constants::kDoneChunk;
  std::uint32_t to = std::min(j.spec.tasks, from + constants::kDoneChunk);
  for (std::uint32_t i = from; i < to; ++i)
    if (j.state[i] >= State::done) out.push_back(i);
  return out;
}

bool Part::complete(const std::string& id) const {
  auto it = jobs_.find(id);
  return it != jobs_.end() && it->second->done == it->second->spec.tasks;
}

// ------------------------------------------------------------------- binding and proof

void Part::bind(Machine& m, Job& j, std::uint32_t i, std::uint64_t attempt, TaskPhase p) {
  const bool service = j.spec.kind == Kind::service;
  Bound b{&j,
          attempt,
          p,
          false,
          j.spec.cpus,
          j.spec.gpus,
          j.spec.memory_gb,
          j.team,
          service,
          false,
          now_ + static_cast<Ms>(j.spec.estimate_s * 1000)};
  m.tasks[{j.spec.id, i}] = b;
  totals_.free[m.spot][fill(m)] -= b.cpus;
  if (!m.spare) totals_.kept -= b.cpus;
  m.cpus += b.cpus;
  m.gpus += b.gpus;
  m.memory_gb += b.memory_gb;
  if (service) {
    m.service_cpus += b.cpus;
    m.service_size = std::max(m.service_size, b.cpus);
  }
  // From now on it has the image or fetches it, so whoever needs it too is best sent here.
  m.images.insert(j.image);
  team_cpus_[b.team] += b.cpus;
  team_gpus_[b.team] += b.gpus;
  if (j.state[i] == State::queued) {
    j.state[i] = State::bound;
    --j.queued;
  }
  ++j.bound;
  j.begun = true;
  if (p == TaskPhase::running) ++j.running;
  ++j.zones[m.zone];
}

void Part::requeue(Job& j, std::uint32_t i) {
  if (j.state[i] != State::bound) return;
  j.state[i] = State::queued;
  if (j.queued++ == 0) {
    j.waiting_since = now_;
    waiting_known_ = false;
  }
  j.first_queued = std::min(j.first_queued, i);
}

// The task is proven gone from this machine. The key is a copy: callers pass one that goes with it.
void Part::release(Machine& m, TaskKey key, bool again) {
  auto it = m.tasks.find(key);
  if (it == m.tasks.end()) return;
  Bound b = it->second;
  m.tasks.erase(it);
  m.cpus -= b.cpus;
  m.gpus -= b.gpus;
  m.memory_gb -= b.memory_gb;
  if (b.service) m.service_cpus -= b.cpus;
  if (b.team < 0) count_unknown(m, -1);
  if (m.tasks.empty()) m.cpus = m.gpus = m.memory_gb = m.service_cpus = 0;  // no rounding is kept
  totals_.free[m.spot][fill(m)] += b.cpus;
  if (!m.spare) totals_.kept += b.cpus;
  if (b.team >= 0) {
    team_cpus_[b.team] -= b.cpus;
    team_gpus_[b.team] -= b.gpus;
  }
  if (b.job) {
    --b.job->bound;
    if (b.phase == TaskPhase::running) --b.job->running;
    if (--b.job->zones[m.zone] == 0) b.job->zones.erase(m.zone);
    if (again) requeue(*b.job, key.second);
  }
}

void Part::set_done(Job& j, std::uint32_t i) {
  if (j.state[i] >= State::done) return;
  if (j.state[i] == State::queued) --j.queued;
  j.state[i] = State::done;
  ++j.done;
  ++j.unrecorded;
}

// A machine that fails everything is told apart from a job that fails everywhere: a job that
// failed on several machines no longer counts against machines, and pauses itself instead.
void Part::note_error(Machine& m, Job& j, Ms now) {
  // Guard: not for ever; the machine may be well again, and the only one with room.
  j.bad_machines[m.id] = now + constants::kShunMaxMs;
  if (static_cast<int>(j.bad_machines.size()) >= constants::kJobBadMachines && j.done == 0) {
    j.backoff =
        j.backoff ? std::min(j.backoff * 2, constants::kJobBackoffMaxMs) : constants::kJobBackoffMs;
    j.not_before = now + j.backoff;
    return;
  }
  if (++m.errors >= constants::kSickErrors) {
    m.errors = constants::kSickErrors - 1;  // after the pause a single failure shuns it again
    shun(m, now);
  }
}

void Part::shun(Machine& m, Ms now) {
  m.shun_ms = m.shun_ms ? std::min(m.shun_ms * 2, constants::kShunMaxMs) : constants::kShunMs;
  m.shun_until = now + m.shun_ms;
}

// A machine whose reports arrive but which our answers do not reach. Guard: each 200 counts as an
// answer that it may have had, so its lease would never seem over, and it would be given tasks
// again and again. One lost answer proves nothing: it then gets one task at a time until one shows.
void Part::unheard(Machine& m, Ms now) {
  if (++m.unheard >= constants::kDeafAnswers) shun(m, now);
}

bool Part::deaf(const Machine& m) { return m.unheard >= constants::kDeafAnswers; }

// Kills for the tasks in a report whose job is over or called off. They hold whatever the age of
// the report: such a job is never started again, and a kill names one attempt.
std::vector<Command> Part::kills_owed(const Report& r) const {
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
  Answer a;
  now_ = now;
  auto it = machines_.find(r.machine);
  if (it == machines_.end()) return {Verdict::stale, term_, {}};
  Machine& m = *it->second;
  a.term = term_of(r.machine);
  // A worker that has seen a higher term has another owner: our view is behind.
  if (r.term > a.term) return {Verdict::stale, a.term, {}};
  // Late and repeated messages: only the newest (tenure, tick) counts.
  if (m.reported && std::pair(r.tenure, r.tick) <= std::pair(m.tenure, m.tick))
    return {Verdict::stale, a.term, {}};
  // After its lease ended by our clock, a machine must show a new tenure.
  if (m.gone && m.reported && r.tenure == m.tenure) return {Verdict::stale, a.term, {}};

  if (m.reported && r.tenure > m.tenure) {
    drop_all(m);  // a new tenure: the worker has killed all it had
    m.images.clear();
    // Its lease ended although we answered: it did not hear. Then this tenure starts on trial.
    if (!m.gone && now - m.last_answer < limits_.lease_ms) unheard(m, now);
    if (m.gone && deaf(m)) m.unheard = constants::kDeafAnswers - 1;
    m.raises = 0;
  }
  // Invariant 5: a deaf machine gets no 200 any more until its lease is surely over (see `tick`).
  if (deaf(m) && !m.gone) return {Verdict::stale, a.term, {}};
  m.reported = true;
  m.gone = false;
  m.tenure = r.tenure;
  m.tick = r.tick;
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

  // Invariant 5: only a report sent under our term proves anything. A report from before may
  // be minutes late, and another owner may have started tasks since. The answer raises the term.
  if (r.term < a.term) {
    if (m.raises++ == 0) m.raised_at = now;
    // It was told our term, twice, and does not show it.
    if (m.raises > constants::kRaises && now - m.raised_at > constants::kWorkerPatienceMs)
      return {Verdict::stale, a.term, {}};
    // Invariant 7. Guard: this answer renews the lease like any other. Without kills in it, tasks
    // of a job whose user had been told that it is cancelled outlived `cancel_s`: machines that
    // hung at the cancellation were told the term of a new owner, and could not be reached after
    // that.
    a.commands = kills_owed(r);
    return a;
  }
  m.raises = 0;
  set_proven(m);

  bool heard = false, lost = false;
  std::set<TaskKey> seen;
  for (const auto& t : r.tasks) {
    TaskKey key{t.job, t.index};
    auto jt = jobs_.find(t.job);
    Job* j = jt == jobs_.end() || t.index >= jt->second->spec.tasks ? nullptr : jt->second.get();
    auto bt = m.tasks.find(key);
    if (bt != m.tasks.end() && bt->second.attempt == t.attempt && !bt->second.seen)
      heard = bt->second.seen = true;
    if (t.phase == TaskPhase::exited) {
      if (t.exit_reason == ExitReason::done && j) {
        if (bt != m.tasks.end() && bt->second.attempt == t.attempt) release(m, key, false);
        set_done(*j, t.index);
        m.errors = 0;
        m.shun_ms = 0;
        // Invariant 7: cleared only after its durable record.
        if (j->state[t.index] == State::recorded)
          a.commands.push_back({Verb::clear, t.job, t.index, t.attempt, 0});
        continue;
      }
      if (bt != m.tasks.end() && bt->second.attempt == t.attempt) {
        if (t.exit_reason == ExitReason::error && bt->second.job)
          note_error(m, *bt->second.job, now);
        if (t.exit_reason == ExitReason::no_such && bt->second.job)
          bt->second.job->not_before = now + constants::kJobBackoffMs;
        release(m, key, true);
      }
      a.commands.push_back({Verb::clear, t.job, t.index, t.attempt, 0});
      continue;
    }
    seen.insert(key);
    if (bt != m.tasks.end() && bt->second.attempt == t.attempt) {
      Bound& b = bt->second;
      if (b.job) {
        if (b.phase != TaskPhase::running && t.phase == TaskPhase::running) ++b.job->running;
        if (b.phase == TaskPhase::running && t.phase != TaskPhase::running) --b.job->running;
      }
      b.phase = t.phase;
    } else if (bt == m.tasks.end() && j && j->state[t.index] == State::queued) {
      bind(m, *j, t.index, t.attempt, t.phase);  // found after a takeover
      m.tasks[key].seen = true;
      m.tasks[key].killing = j->cancelling;
    } else if (bt == m.tasks.end()) {
      // Not ours to run: its job is over, or the task is done. It holds room until it is gone.
      Bound b{nullptr, t.attempt, t.phase, true, 0, 0, 0, -1, false, true, now};
      if (!j) count_unknown(m, 1);
      if (j) b.cpus = j->spec.cpus, b.gpus = j->spec.gpus, b.memory_gb = j->spec.memory_gb;
      if (j) b.team = j->team, team_cpus_[b.team] += b.cpus, team_gpus_[b.team] += b.gpus;
      m.cpus += b.cpus, m.gpus += b.gpus, m.memory_gb += b.memory_gb;
      m.tasks[key] = b;
    } else {
      bt->second.attempt = t.attempt;
    }
    if (m.tasks[key].killing || m.tasks[key].job == nullptr)
      a.commands.push_back({Verb::kill, t.job, t.index, t.attempt, m.tasks[key].grace_s});
  }
  // Invariant 4: a launch is open until this report; what it lacks was never started or is gone.
  std::vector<TaskKey> lacking;
  for (const auto& [key, b] : m.tasks)
    if (!seen.count(key)) {
      lacking.push_back(key);
      lost |= !b.seen;
    }
  for (const auto& key : lacking) release(m, key, true);
  if (heard)
    m.unheard = 0;
  else if (lost)
    unheard(m, now);
  if (deaf(m)) return {Verdict::stale, a.term, {}};
  if (!m.tasks.empty() || m.idle_since == 0) m.idle_since = now;
  return a;
}

void Part::answered(const std::string& machine, Ms now) {
  if (auto it = machines_.find(machine); it != machines_.end()) it->second->last_answer = now;
}

std::vector<std::string> Part::tick(Ms now) {
  now_ = now;
  std::vector<std::string> lost;
  const Ms limit =
      static_cast<Ms>(limits_.lease_ms * (1 + constants::kDrift)) + constants::kProofMarginMs;
  for (auto& [id, m] : machines_) {
    if (m->gone || now - m->last_answer <= limit) continue;
    // Invariant 5: no answer could have renewed the lease; the worker has killed all it had.
    drop_all(*m);
    set_proven(*m);
    m->gone = true;
    m->raises = 0;
    lost.push_back(id);
  }
  survey(now);
  if (now - reordered_ >= constants::kReorderMs) reorder(now);
  return lost;
}

std::vector<Part::Kill> Part::take_kills() {
  std::vector<Kill> out;
  for (auto& [id, commands] : kills_) {
    auto it = machines_.find(id);
    if (it == machines_.end() || !it->second->reported || it->second->gone) continue;
    const Machine& m = *it->second;
    out.push_back({id, m.addr, m.tenure, term_of(id), std::move(commands)});
  }
  kills_.clear();
  return out;
}

void Part::kill_again(const std::string& id) {
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  for (const auto& [key, b] : it->second->tasks)
    if (b.killing && b.grace_s == 0)
      kills_[id].push_back({Verb::kill, key.first, key.second, b.attempt, 0});
}

Part::Count Part::count() const {
  Count c;
  for (const Job* j : order_) {
    ++(j->running > 0 ? c.jobs_running : c.jobs_queued);
    c.queued += j->queued;
    c.bound += j->bound;
    c.running += j->running;
    c.done += j->done;
  }
  return c;
}

}  // namespace eiderreel
