#include "core/part.h"

#include <cmath>

namespace eiderreel {
namespace {
constexpr double kEps = 1e-9;
}

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
}

bool Part::idle(const std::string& id) const {
  auto it = machines_.find(id);
  return it != machines_.end() && it->second->proven && it->second->tasks.empty();
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
  it->second->proven = true;
  it->second->gone = true;
}

bool Part::all_proven() const {
  return std::all_of(machines_.begin(), machines_.end(),
                     [](const auto& e) { return e.second->proven; });
}

// A task of a job we no longer know: its size and team are unknown until it is gone.
bool Part::holds_unknown(const Machine& m) {
  return std::any_of(m.tasks.begin(), m.tasks.end(),
                     [](const auto& t) { return t.second.team < 0; });
}

double Part::unproven_cpus() const {
  double sum = 0;
  double largest = 0;
  for (const auto& [n, t] : types_) largest = std::max(largest, t.cpus);
  for (const auto& [id, m] : machines_)
    if (!m->proven || holds_unknown(*m)) sum += m->type ? m->type->cpus : largest;
  return sum;
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
  j->accepted = now_ - age;
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

// Within a rank, oldest first among jobs that nothing is expected of. Where an aim or a deadline
// stands, its latest start takes the place of the age: an extension of the design, measured (see
// docs/design.md). A job that can no longer meet an aim lets those that can go first, but not for
// ever.
void Part::reorder(Ms now) {
  reordered_ = now;
  for (Job* j : order_) {
    const Ms run = static_cast<Ms>(j->spec.estimate_s * 1000) + constants::kStartAllowanceMs;
    j->stage = 0;
    j->latest_start = j->accepted + constants::kUnboundedMs;
    if (j->bounds.empty()) continue;
    const std::size_t n = j->bounds.size();
    std::size_t i = 0;
    while (i < n && now + run > j->bounds[i]) ++i;
    j->stage = static_cast<int>(i);
    j->latest_start = i < n ? j->bounds[i] - run : j->accepted;
    if (now - j->accepted > constants::kPatienceBounds * (j->bounds.back() - j->accepted))
      j->stage = 0;
  }
  std::stable_sort(order_.begin(), order_.end(), [](const Job* a, const Job* b) {
    return std::tuple(-static_cast<int>(a->spec.rank), a->stage, a->latest_start, a->stamp) <
           std::tuple(-static_cast<int>(b->spec.rank), b->stage, b->latest_start, b->stamp);
  });
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

void Part::release_job(const std::string& id) {
  if (auto it = jobs_.find(id); it != jobs_.end()) it->second->held = false;
}

bool Part::held(const std::string& id) const {
  auto it = jobs_.find(id);
  return it != jobs_.end() && it->second->held;
}

void Part::close_job(const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job* j = it->second.get();
  for (auto& [mid, m] : machines_) {
    for (auto t = m->tasks.lower_bound({id, 0}); t != m->tasks.end() && t->first.first == id; ++t) {
      // An orphan keeps its room and its team's share until it is seen to be gone.
      t->second.job = nullptr;
      t->second.killing = true;
      t->second.grace_s = 0;
      kills_[mid].push_back({Verb::kill, id, t->first.second, t->second.attempt, 0});
    }
  }
  order_.erase(std::find(order_.begin(), order_.end(), j));
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
    if (j->unrecorded > 0 || j->done == j->spec.tasks) out.push_back(j->spec.id);
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
  Bound b{&j, attempt, p, false, j.spec.cpus, j.spec.gpus, j.spec.memory_gb, j.team};
  m.tasks[{j.spec.id, i}] = b;
  m.cpus += b.cpus;
  m.gpus += b.gpus;
  m.memory_gb += b.memory_gb;
  team_cpus_[b.team] += b.cpus;
  team_gpus_[b.team] += b.gpus;
  if (j.state[i] == State::queued) {
    j.state[i] = State::bound;
    --j.queued;
  }
  ++j.bound;
  if (p == TaskPhase::running) ++j.running;
  ++j.zones[m.zone];
}

void Part::requeue(Job& j, std::uint32_t i) {
  if (j.state[i] != State::bound) return;
  j.state[i] = State::queued;
  if (j.queued++ == 0) j.waiting_since = now_;
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
  if (m.tasks.empty()) m.cpus = m.gpus = m.memory_gb = 0;  // no rounding errors are kept
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
  j.bad_machines.insert(m.id);
  if (static_cast<int>(j.bad_machines.size()) >= constants::kJobBadMachines && j.done == 0) {
    j.backoff =
        j.backoff ? std::min(j.backoff * 2, constants::kJobBackoffMaxMs) : constants::kJobBackoffMs;
    j.not_before = now + j.backoff;
    return;
  }
  if (++m.errors >= constants::kSickErrors) {
    m.errors = constants::kSickErrors - 1;  // after the pause a single failure shuns it again
    m.shun_ms = m.shun_ms ? std::min(m.shun_ms * 2, constants::kShunMaxMs) : constants::kShunMs;
    m.shun_until = now + m.shun_ms;
  }
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
  }
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
  if (r.term < a.term) return a;
  m.proven = true;

  std::set<TaskKey> seen;
  for (const auto& t : r.tasks) {
    TaskKey key{t.job, t.index};
    auto jt = jobs_.find(t.job);
    Job* j = jt == jobs_.end() || t.index >= jt->second->spec.tasks ? nullptr : jt->second.get();
    auto bt = m.tasks.find(key);
    if (t.phase == TaskPhase::exited) {
      if (t.cause == Cause::done && j) {
        if (bt != m.tasks.end() && bt->second.attempt == t.attempt) release(m, key, false);
        set_done(*j, t.index);
        m.errors = 0;
        m.shun_ms = 0;
        // Invariant 7: cleared only after its durable record.
        if (j->state[t.index] == State::recorded)
          a.orders.push_back({Verb::clear, t.job, t.index, t.attempt, 0});
        continue;
      }
      if (bt != m.tasks.end() && bt->second.attempt == t.attempt) {
        if (t.cause == Cause::error && bt->second.job) note_error(m, *bt->second.job, now);
        if (t.cause == Cause::no_such && bt->second.job)
          bt->second.job->not_before = now + constants::kJobBackoffMs;
        release(m, key, true);
      }
      a.orders.push_back({Verb::clear, t.job, t.index, t.attempt, 0});
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
      if (b.job && t.phase == TaskPhase::running) m.images.insert(b.job->spec.image);
    } else if (bt == m.tasks.end() && j && j->state[t.index] == State::queued) {
      bind(m, *j, t.index, t.attempt, t.phase);  // found after a takeover
    } else if (bt == m.tasks.end()) {
      // Not ours to run: its job is over, or the task is done. It holds room until it is gone.
      Bound b{nullptr, t.attempt, t.phase, true, 0, 0, 0, -1};
      if (j) b.cpus = j->spec.cpus, b.gpus = j->spec.gpus, b.memory_gb = j->spec.memory_gb;
      if (j) b.team = j->team, team_cpus_[b.team] += b.cpus, team_gpus_[b.team] += b.gpus;
      m.cpus += b.cpus, m.gpus += b.gpus, m.memory_gb += b.memory_gb;
      m.tasks[key] = b;
    } else {
      bt->second.attempt = t.attempt;
    }
    if (m.tasks[key].killing || m.tasks[key].job == nullptr)
      a.orders.push_back({Verb::kill, t.job, t.index, t.attempt, m.tasks[key].grace_s});
  }
  // Invariant 4: a launch is open until this report; what it lacks was never started or is gone.
  std::vector<TaskKey> lacking;
  for (const auto& [key, b] : m.tasks)
    if (!seen.count(key)) lacking.push_back(key);
  for (const auto& key : lacking) release(m, key, true);
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
    m->proven = true;
    m->gone = true;
    lost.push_back(id);
  }
  choose_spare(now);
  if (now - reordered_ >= constants::kReorderMs) reorder(now);
  return lost;
}

// --------------------------------------------------------------------------- placement

bool Part::fits(const Machine& m, const Job& j, double unproven) const {
  const JobSpec& s = j.spec;
  if (!allowed(s, *m.type, m.zone, m.spot)) return false;
  if (m.cpus + s.cpus > m.type->cpus + kEps || m.gpus + s.gpus > m.type->gpus + kEps ||
      m.memory_gb + s.memory_gb > m.type->memory_gb + kEps)
    return false;
  const Team& t = teams_[j.team];
  // Tasks that may run on machines not heard of yet count as if they filled them.
  if (team_cpus_[j.team] + s.cpus + unproven > t.cpus_max + kEps) return false;
  if (s.gpus > 0 && team_gpus_[j.team] + s.gpus > t.gpus_max + kEps) return false;
  if (s.one_zone && !j.zones.empty() && !j.zones.count(m.zone)) return false;
  if (s.spread) {
    auto z = j.zones.find(m.zone);
    int here = z == j.zones.end() ? 0 : z->second;
    if (here + 1 > static_cast<int>((s.tasks + 1) / 2)) return false;
  }
  return true;
}

bool Part::may_start(const Machine& m, const Job& j, bool proven, Ms now) const {
  if (j.queued == 0 || j.held || j.not_before > now) return false;
  if (j.older && !proven) return false;  // invariant 5
  return !j.bad_machines.count(m.id) || j.bad_machines.size() >= machines_.size();
}

// A service waits a moment for a machine that has its image, since the fetch takes far longer,
// and a shorter one for a machine that runs services already, so that others can run empty.
bool Part::better_elsewhere(const Machine& m, const Job& j, Ms now) const {
  if (j.spec.kind != Kind::service) return false;
  const Ms waited = now - j.waiting_since;
  const bool image = m.images.count(j.spec.image) > 0;
  // Joining pays only where a report of such a machine is likely within the wait.
  const bool service =
      std::get<1>(fullness(m)) || limits_.report_ms > 2 * constants::kServicePackMs;
  if (waited >= (image ? constants::kServicePackMs : constants::kImageWaitMs) || (image && service))
    return false;
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& e) {
    const Machine& o = *e.second;
    if (&o == &m || !o.images.count(j.spec.image) || !o.type || o.gone || o.leaving || o.taken_at ||
        o.shun_until > now || !allowed(j.spec, *o.type, o.zone, o.spot))
      return false;
    double held = 0;  // by services, which give no room
    for (const auto& [key, t] : o.tasks)
      if (t.job && t.job->spec.kind == Kind::service) held += t.cpus;
    return held + j.spec.cpus <= o.type->cpus && (!image || held > 0);
  });
}

bool Part::room_elsewhere(const Machine& m, const Job& j, double unproven) const {
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& e) {
    const Machine& o = *e.second;
    return &o != &m && !o.spare && o.proven && o.reported && !o.gone && !o.leaving && o.type &&
           !o.taken_at && o.shun_until <= now_ && fits(o, j, unproven);
  });
}

// With nothing waiting and more than a machine's worth of free room for a while, the emptiest
// machine without services is spared: it runs empty, and the leader may move or return it.
void Part::choose_spare(Ms now) {
  double free = 0, largest = 0;
  Machine* emptiest = nullptr;
  for (auto& [id, m] : machines_) {
    if (!m->type || !m->reported || m->gone || m->leaving || m->spare) continue;
    free += m->type->cpus - m->cpus;
    largest = std::max(largest, m->type->cpus);
    const bool service = std::any_of(m->tasks.begin(), m->tasks.end(), [](const auto& t) {
      return t.second.job && t.second.job->spec.kind == Kind::service;
    });
    if (service) continue;
    if (!emptiest || m->cpus < emptiest->cpus ||
        (m->cpus == emptiest->cpus && m->id > emptiest->id))
      emptiest = m.get();
  }
  if (has_waiting() || !emptiest ||
      free - (emptiest->type->cpus - emptiest->cpus) < largest / 2 + emptiest->cpus) {
    surplus_since_ = now;
    return;
  }
  if (now - surplus_since_ < constants::kSpareAfterMs) return;
  emptiest->spare = true;
  surplus_since_ = now - constants::kSpareAfterMs + constants::kSpareNextMs;
}

void Part::shed(double cpus, Ms now) {
  std::vector<Machine*> candidates;
  for (auto& [id, m] : machines_)
    if (m->proven && m->reported && !m->gone && !m->leaving && m->type &&
        !std::get<1>(fullness(*m)))
      candidates.push_back(m.get());
  // Those that run empty already first, then the emptiest.
  std::sort(candidates.begin(), candidates.end(), [now](const Machine* a, const Machine* b) {
    return std::tuple(a->shed_until < now, a->cpus, a->id) <
           std::tuple(b->shed_until < now, b->cpus, b->id);
  });
  for (Machine* m : candidates) {
    if (m->type->cpus > cpus) continue;
    cpus -= m->type->cpus;
    m->shed_until = now + constants::kShedMs;
  }
}

// The greater, the sooner a machine is filled: busy before idle, with services before without,
// large before small, full before empty.
std::tuple<bool, bool, double, double, std::string> Part::fullness(const Machine& m) {
  const bool service = std::any_of(m.tasks.begin(), m.tasks.end(), [](const auto& t) {
    return t.second.job && t.second.job->spec.kind == Kind::service;
  });
  return {!m.tasks.empty(), service, m.type ? m.type->cpus : 0, m.cpus, m.id};
}

std::vector<std::string> Part::fullest_first(std::vector<std::string> ids) const {
  std::erase_if(ids, [this](const std::string& id) { return !machines_.count(id); });
  std::sort(ids.begin(), ids.end(), [this](const auto& a, const auto& b) {
    return fullness(*machines_.at(a)) > fullness(*machines_.at(b));
  });
  return ids;
}

// Free room for the job on machines that are to be filled before this one. What fits there waits
// a moment for their reports, so that other machines run empty: only an idle machine can be given
// to a part in need, or returned.
double Part::room_on_fuller(const Machine& m, const Job& j) const {
  const auto here = fullness(m);
  double room = 0;
  for (const auto& [id, o] : machines_) {
    if (o.get() == &m || !o->proven || !o->reported || o->gone || o->leaving || !o->type ||
        o->taken_at || o->shun_until > now_ || o->shed_until > now_ ||
        o->cpus + j.spec.cpus > o->type->cpus || !allowed(j.spec, *o->type, o->zone, o->spot) ||
        fullness(*o) < here)
      continue;
    room += o->type->cpus - o->cpus;
  }
  return room;
}

void Part::start_one(Machine& m, Job& j, std::vector<Order>& out) {
  std::uint32_t i = j.first_queued;
  while (j.state[i] != State::queued) ++i;
  j.first_queued = i;
  std::uint64_t attempt = (term_of(m.id) << constants::kAttemptBits) + ++counter_;
  bind(m, j, i, attempt, TaskPhase::pulling);
  out.push_back({Verb::launch, j.spec.id, i, attempt, 0});
}

bool Part::may_stop(const Bound& victim, const Job& j, bool by_guarantee) const {
  if (!victim.job || victim.killing || victim.phase == TaskPhase::flushing) return false;
  const JobSpec& v = victim.job->spec;
  if (by_guarantee)
    return victim.team != j.team && v.kind == Kind::array && v.rank <= j.spec.rank &&
           team_cpus_[victim.team] - victim.cpus >= teams_[victim.team].cpus - kEps;
  return v.rank < j.spec.rank;
}

// Stops tasks here and starts one of the job in their room, in the same answer: the worker obeys
// in order, and a task that cannot save is gone at once. One that can save is told to, and its
// room is used when it is seen to be gone.
bool Part::preempt_for(Machine& m, Job& j, double unproven, bool by_guarantee,
                       std::vector<Order>& out) {
  std::vector<std::pair<TaskKey, Bound*>> victims;
  // What is told to stop without saving goes before the starts of the same answer.
  double cpus = m.type->cpus, gpus = m.type->gpus, memory = m.type->memory_gb;
  for (const auto& [key, b] : m.tasks) {
    if (b.killing && b.grace_s == 0) continue;
    cpus -= b.cpus;
    gpus -= b.gpus;
    memory -= b.memory_gb;
  }
  std::vector<std::pair<TaskKey, Bound*>> candidates;
  for (auto& [key, b] : m.tasks)
    if (may_stop(b, j, by_guarantee)) candidates.emplace_back(key, &b);
  // The lowest rank first, then the youngest: the least work is lost.
  std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    const Rank ra = a.second->job->spec.rank, rb = b.second->job->spec.rank;
    return ra != rb ? ra < rb : a.second->attempt > b.second->attempt;
  });
  const JobSpec& s = j.spec;
  auto enough = [&] {
    return cpus + kEps >= s.cpus && gpus + kEps >= s.gpus && memory + kEps >= s.memory_gb;
  };
  double given = 0;
  for (auto& c : candidates) {
    if (enough()) break;
    const Bound& b = *c.second;
    if (by_guarantee && team_cpus_[b.team] - given - b.cpus < teams_[b.team].cpus - kEps)
      continue;  // a team keeps its own guarantee
    if (by_guarantee) given += b.cpus;
    cpus += b.cpus;
    gpus += b.gpus;
    memory += b.memory_gb;
    victims.push_back(c);
  }
  if (!enough()) return false;
  // The other conditions, as if the machine were empty.
  const double taken_cpus = m.cpus, taken_gpus = m.gpus, taken_memory = m.memory_gb;
  m.cpus = m.gpus = m.memory_gb = 0;
  const bool fits_here = fits(m, j, unproven);
  m.cpus = taken_cpus, m.gpus = taken_gpus, m.memory_gb = taken_memory;
  if (!fits_here) return false;
  bool at_once = true;
  for (auto& [key, b] : victims) {
    const JobSpec& v = b->job->spec;
    const bool saves = v.checkpoint_s > 0 && b->phase == TaskPhase::running;
    at_once &= !saves;
    b->killing = true;
    b->grace_s = saves ? v.save_s : 0;
    out.push_back({Verb::kill, key.first, key.second, b->attempt, b->grace_s});
    ++preemptions_;
  }
  if (at_once) start_one(m, j, out);
  return at_once;
}

std::vector<Order> Part::place(const std::string& machine, Ms now) {
  std::vector<Order> out;
  now_ = now;
  auto it = machines_.find(machine);
  if (it == machines_.end()) return out;
  Machine& m = *it->second;
  if (!m.proven || !m.reported || m.gone || m.leaving || !m.type || m.taken_at ||
      m.shun_until > now || m.shed_until > now || holds_unknown(m))
    return out;
  const bool proven = all_proven();
  const double unproven = unproven_cpus();
  const Ms pack_ms = std::min(constants::kPackWaitMs, limits_.report_ms * 5 / 4);
  // Work within a guarantee goes first, then borrowing; each by rank, then oldest. The tasks of
  // a job are alike, so they are decided together.
  for (bool within : {true, false}) {
    for (Job* j : order_) {
      if (!may_start(m, *j, proven, now) || better_elsewhere(m, *j, now)) continue;
      const bool packs = j->spec.kind == Kind::array && now - j->waiting_since < pack_ms;
      const double elsewhere = packs ? room_on_fuller(m, *j) : 0;
      while (j->queued > 0 && fits(m, *j, unproven)) {
        if (packs && j->queued * j->spec.cpus <= elsewhere) break;
        if (m.spare && room_elsewhere(m, *j, unproven)) break;
        m.spare = false;
        if (within && team_cpus_[j->team] + j->spec.cpus > teams_[j->team].cpus + kEps) break;
        start_one(m, *j, out);
      }
    }
  }
  // What still waits, after a moment in which another machine may have had room: it may stop
  // work of lower rank, and, within its guarantee, what other teams have borrowed.
  const Ms reclaim_after =
      std::max(constants::kReclaimSoonestMs, constants::kReclaimByMs - limits_.report_ms * 5 / 4);
  for (Job* j : order_) {
    if (!may_start(m, *j, proven, now) || better_elsewhere(m, *j, now)) continue;
    const Ms waited = now - j->waiting_since;
    if (j->spec.rank > Rank::standard && waited >= constants::kPreemptAfterMs)
      while (j->queued > 0 && preempt_for(m, *j, unproven, false, out)) {
      }
    if (waited >= reclaim_after)
      while (j->queued > 0 && team_cpus_[j->team] + j->spec.cpus <= teams_[j->team].cpus + kEps &&
             preempt_for(m, *j, unproven, true, out)) {
      }
  }
  if (!m.tasks.empty()) m.idle_since = now;
  return out;
}

Ms Part::park_ms(const std::string& machine) const {
  auto it = machines_.find(machine);
  if (it == machines_.end()) return 0;
  const Machine& m = *it->second;
  if (!m.proven || m.leaving || !m.type || m.taken_at) return 0;
  // A parked worker cannot tell of a finished task, so only one whose tasks do not finish by
  // themselves waits long. The others wait no longer than a worker would between two reports.
  // One that runs services has their images: the next service should find it waiting.
  bool quiet = m.tasks.empty() || std::any_of(m.tasks.begin(), m.tasks.end(), [](const auto& t) {
                 return t.second.job && t.second.job->spec.kind == Kind::service &&
                        t.second.phase == TaskPhase::running;
               });
  return quiet ? std::min(constants::kParkIdleMs, limits_.report_ms * 4 / 5)
               : constants::kParkBusyMs;
}

bool Part::has_waiting() const {
  return std::any_of(order_.begin(), order_.end(),
                     [](const Job* j) { return j->queued > 0 && !j->held; });
}

std::vector<Part::Kill> Part::take_kills() {
  std::vector<Kill> out;
  for (auto& [id, orders] : kills_) {
    auto it = machines_.find(id);
    if (it == machines_.end() || !it->second->reported || it->second->gone) continue;
    const Machine& m = *it->second;
    out.push_back({id, m.addr, m.tenure, term_of(id), std::move(orders)});
  }
  kills_.clear();
  return out;
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

PartNeed Part::need(Ms now) const {
  PartNeed n;
  std::vector<double> room(teams_.size());
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    room[i] = std::max(0.0, teams_[i].cpus_max - team_cpus_[i]);
    n.used_cpus += team_cpus_[i];
  }
  for (const Job* j : order_) {
    if (j->spec.kind == Kind::service) n.used_service_cpus += j->bound * j->spec.cpus;
    if (j->queued == 0 || j->held || j->not_before > now) continue;
    double want = std::min(j->queued * j->spec.cpus, room[j->team]);
    room[j->team] -= want;
    n.waiting_cpus += want;
    if (j->spec.spot) n.waiting_spot_cpus += want;
    if (j->spec.kind == Kind::service) n.waiting_service_cpus += want;
    n.waiting_core_s += j->queued * j->spec.cpus * j->spec.estimate_s;
  }
  for (const auto& [id, m] : machines_) {
    if (m->gone || !m->reported || !m->type) continue;
    n.total_cpus += m->type->cpus;
    if (m->proven && m->tasks.empty() && !m->leaving) n.idle.push_back(id);
  }
  std::sort(n.idle.begin(), n.idle.end());
  n.slack_s = slack_s_;
  return n;
}

}  // namespace eiderreel
