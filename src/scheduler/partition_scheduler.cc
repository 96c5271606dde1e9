#include "scheduler/partition_scheduler.h"

namespace eiderreel {
PartitionScheduler::PartitionScheduler(int index, std::uint64_t fencing_token, Ms claimed_at,
                                       SchedulingPolicy limits, std::vector<Team> teams)
    : index_(index),
      fencing_token_(fencing_token),
      now_(claimed_at),
      claimed_at_(claimed_at),
      limits_(limits),
      teams_(std::move(teams)),
      team_cpus_(teams_.size(), 0.0),
      team_gpus_(teams_.size(), 0.0) {}

int PartitionScheduler::team_index(const std::string& name) const {
  for (std::size_t i = 0; i < teams_.size(); ++i)
    if (teams_[i].name == name) return static_cast<int>(i);
  return -1;
}

// ---------------------------------------------------------------------------- machines

void PartitionScheduler::add_machine(const std::string& id, std::uint64_t revision, bool fresh,
                                     Ms now) {
  auto& m = machines_[id];
  if (m) {
    m->revision = std::max(m->revision, revision);
    return;
  }
  m = std::make_unique<Machine>();
  m->id = id;
  m->revision = revision;
  m->reconciled = fresh;
  unreconciled_known_ = false;
  // Invariant 5: the last answer another leader could have given is not later than our claim.
  m->last_reply = fresh ? now : claimed_at_;
  m->last_heartbeat = now;
  m->idle_since = now;
}

void PartitionScheduler::remove_machine(const std::string& id) {
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  release_all_tasks(*it->second);
  machines_.erase(it);
  unreconciled_known_ = false;
}

// Invariant 2: the fencing token of a machine is the newest revision of its partition's or its own
// key.
std::uint64_t PartitionScheduler::fencing_token_of(const std::string& id) const {
  auto it = machines_.find(id);
  return it == machines_.end() ? fencing_token_ : std::max(fencing_token_, it->second->revision);
}

void PartitionScheduler::set_types(const std::vector<MachineType>& types) {
  for (const auto& t : types) types_[t.name] = t;
  for (auto& [id, m] : machines_)
    if (auto it = types_.find(m->type_name); it != types_.end()) m->type = &it->second;
  unreconciled_known_ = false;
}

bool PartitionScheduler::idle(const std::string& id) const {
  auto it = machines_.find(id);
  return it != machines_.end() && it->second->reconciled && it->second->tasks.empty();
}

std::vector<std::string> PartitionScheduler::idle_machines(bool spot, double cpus, bool rested,
                                                           Ms now) const {
  std::vector<const Machine*> idle;
  for (const auto& [id, m] : machines_)
    // One that was let run empty is given away at once; its advice is renewed all the time.
    if (m->spot == spot && schedulable(*m, now) && m->tasks.empty() &&
        (!rested || now - m->idle_since >= idle_keep_ms()))
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

bool PartitionScheduler::begin_transfer(const std::string& id) {
  if (!idle(id)) return false;
  machines_[id]->transferring = true;
  return true;
}

void PartitionScheduler::end_transfer(const std::string& id) {
  if (auto it = machines_.find(id); it != machines_.end()) it->second->transferring = false;
}

void PartitionScheduler::release_all_tasks(Machine& m) {
  while (!m.tasks.empty()) release_task(m, m.tasks.begin()->first, true);
}

void PartitionScheduler::machine_terminated(const std::string& id, Ms) {
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  release_all_tasks(*it->second);
  mark_reconciled(*it->second);
  it->second->lease_expired = true;
}

void PartitionScheduler::mark_reconciled(Machine& m) {
  if (!m.reconciled) unreconciled_known_ = false;
  m.reconciled = true;
}

// A task of a job we no longer know: its size and team are unknown until it is gone.
void PartitionScheduler::add_unknown_tasks(Machine& m, int by) {
  m.unknown_tasks += by;
  unreconciled_known_ = false;
}

// Changes only while machines are heard of for the first time, so it is counted when asked for.
const PartitionScheduler::UnreconciledMachines& PartitionScheduler::unreconciled_machines() {
  if (unreconciled_known_) return unreconciled_machines_;
  double largest = 0;
  for (const auto& [n, t] : types_) largest = std::max(largest, t.cpus);
  unreconciled_machines_ = {};
  for (const auto& [id, m] : machines_) {
    if (m->reconciled && m->unknown_tasks == 0) continue;
    unreconciled_machines_.cpus += m->type ? m->type->cpus : largest;
    if (m->reconciled) continue;
    ++unreconciled_machines_.unreconciled;
    if (!m->spot) ++unreconciled_machines_.unreconciled_on_demand;
  }
  unreconciled_known_ = true;
  return unreconciled_machines_;
}

std::vector<std::string> PartitionScheduler::machine_names() const {
  std::vector<std::string> out;
  for (const auto& [id, m] : machines_) out.push_back(id);
  std::sort(out.begin(), out.end());
  return out;
}

// -------------------------------------------------------------------------------- jobs

void PartitionScheduler::open_job(const JobSpec& spec, std::uint64_t revision, bool predates_claim,
                                  const std::vector<std::uint32_t>& done, Ms age, Ms waited) {
  if (jobs_.count(spec.id)) return;
  auto j = std::make_unique<Job>();
  j->spec = spec;
  j->revision = revision;
  j->predates_claim = predates_claim;
  j->team = team_index(spec.team);
  if (j->team < 0) return;
  if (image_numbers_.size() >= constants::kImagesKnown + jobs_.size()) forget_images();
  j->image = image_number(spec.image);
  j->state.assign(spec.tasks, TaskState::queued);
  j->queued = spec.tasks;
  j->waiting_since = now_;
  for (auto i : done)
    if (i < spec.tasks && j->state[i] == TaskState::queued) {
      j->state[i] = TaskState::recorded;
      --j->queued;
      ++j->done;
    }
  if (spec.deadline_s && spec.kind == JobKind::array) {
    const double left_s = *spec.deadline_s - static_cast<double>(waited) / 1000;
    const double slack = std::max(0.0, left_s - spec.estimate_s);
    slack_s_ = slack_s_ == 0 ? slack : slack_s_ + (slack - slack_s_) * constants::kSlackWeight;
  }
  if (auto wait = limits_.start_objectives_s.find(spec.jobclass);
      wait != limits_.start_objectives_s.end() && wait->second > 0 && spec.kind == JobKind::array)
    wait_s_ = wait_s_ == 0 ? wait->second : std::min(wait_s_, wait->second);
  j->ready = now_ - age;
  j->submitted = j->ready - waited;
  j->priority = spec.priority;
  j->has_started = j->done > 0;
  set_target_times(*j);
  queue_.push_back(j.get());
  sort_queue(now_);
  jobs_[spec.id] = std::move(j);
}

void PartitionScheduler::set_target_times(Job& j) const {
  j.target_times.clear();
  const double due_s = j.spec.deadline_s.value_or(0);
  auto add = [&](Ms from, double s) {
    if (s > 0) j.target_times.push_back(from + static_cast<Ms>(s * 1000));
  };
  if (auto completion_objectives = limits_.completion_objectives.find(j.spec.jobclass);
      completion_objectives != limits_.completion_objectives.end())
    for (const CompletionObjective& aim : completion_objectives->second)
      aim.times > 0 ? add(j.submitted, aim.times * due_s) : add(j.ready, aim.within_s);
  if (j.target_times.empty()) add(j.submitted, due_s);
  if (j.finish_by) j.target_times.push_back(*j.finish_by);
  std::sort(j.target_times.begin(), j.target_times.end());
}

void PartitionScheduler::set_urgency(const std::string& id, Priority priority,
                                     std::optional<Ms> finish_by) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job& j = *it->second;
  j.priority = std::max(j.spec.priority, priority);
  j.finish_by = finish_by;
  set_target_times(j);
  sort_queue(now_);
}

std::optional<JobStatus> PartitionScheduler::status(const std::string& id) const {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return std::nullopt;
  const Job& j = *it->second;
  return JobStatus{j.running > 0 ? JobPhase::running : JobPhase::queued, j.done, j.running};
}

std::uint64_t PartitionScheduler::job_revision(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? 0 : it->second->revision;
}

std::uint32_t PartitionScheduler::task_count(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? 0 : it->second->spec.tasks;
}

void PartitionScheduler::begin_finalizing(const std::string& id) {
  if (auto it = jobs_.find(id); it != jobs_.end()) it->second->finalizing = true;
}

bool PartitionScheduler::is_finalizing(const std::string& id) const {
  auto it = jobs_.find(id);
  return it != jobs_.end() && it->second->finalizing;
}

void PartitionScheduler::kill_tasks(const std::string& id) {
  for (auto& [mid, m] : machines_)
    for (auto t = m->tasks.lower_bound({id, 0}); t != m->tasks.end() && t->first.first == id; ++t) {
      t->second.stop_grace_s = 0;
      kills_[mid].push_back({CommandType::kill, id, t->first.second, t->second.attempt, 0});
    }
}

void PartitionScheduler::cancel_job(const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second->cancelling) return;
  it->second->finalizing = it->second->cancelling = true;
  kill_tasks(id);
}

void PartitionScheduler::close_job(const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job* j = it->second.get();
  if (!j->cancelling) kill_tasks(id);
  // An orphan keeps its room and its team's share until it is seen to be gone.
  for (auto& [mid, m] : machines_)
    for (auto t = m->tasks.lower_bound({id, 0}); t != m->tasks.end() && t->first.first == id; ++t) {
      t->second.job = nullptr;
      t->second.stop_grace_s = 0;
    }
  queue_.erase(std::find(queue_.begin(), queue_.end(), j));
  waiting_jobs_valid_ = false;
  jobs_.erase(it);
}

std::vector<std::uint32_t> PartitionScheduler::unrecorded(const std::string& id) const {
  std::vector<std::uint32_t> out;
  auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second->unrecorded == 0) return out;
  for (std::uint32_t i = 0; i < it->second->spec.tasks; ++i)
    if (it->second->state[i] == TaskState::done) out.push_back(i);
  return out;
}

void PartitionScheduler::mark_recorded(const std::string& id,
                                       const std::vector<std::uint32_t>& tasks) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job& j = *it->second;
  for (auto i : tasks)
    if (j.state[i] == TaskState::done) {
      j.state[i] = TaskState::recorded;
      --j.unrecorded;
    }
}

std::vector<std::string> PartitionScheduler::jobs_to_record() const {
  std::vector<std::string> out;
  for (const Job* j : queue_)
    if (j->unrecorded > 0 || j->done == j->spec.tasks || j->finalizing) out.push_back(j->spec.id);
  return out;
}

std::vector<std::uint32_t> PartitionScheduler::done_tasks(const std::string& id,
                                                          std::uint32_t first,
                                                          std::uint32_t count) const {
  std::vector<std::uint32_t> out;
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return out;
  const Job& j = *it->second;
  const std::uint32_t end = std::min(j.spec.tasks, first + count);
  for (std::uint32_t i = first; i < end; ++i)
    if (j.state[i] >= TaskState::done) out.push_back(i);
  return out;
}

bool PartitionScheduler::is_complete(const std::string& id) const {
  auto it = jobs_.find(id);
  return it != jobs_.end() && it->second->done == it->second->spec.tasks;
}

// ------------------------------------------------------------------- binding and proof

void PartitionScheduler::bind(Machine& m, Job& j, std::uint32_t i, std::uint64_t attempt,
                              TaskPhase p) {
  const bool service = j.spec.kind == JobKind::service;
  BoundTask b;
  b.job = &j;
  b.attempt = attempt;
  b.phase = p;
  b.cpus = j.spec.cpus;
  b.gpus = j.spec.gpus;
  b.memory_gb = j.spec.memory_gb;
  b.team = j.team;
  b.service = service;
  b.ends = now_ + static_cast<Ms>(j.spec.estimate_s * 1000);
  m.tasks[{j.spec.id, i}] = b;
  totals_.free[m.spot][fill_level(m)] -= b.cpus;
  if (!m.consolidating) totals_.free_in_use -= b.cpus;
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
  if (j.state[i] == TaskState::queued) {
    j.state[i] = TaskState::bound;
    --j.queued;
  }
  ++j.bound;
  j.has_started = true;
  if (p == TaskPhase::running) ++j.running;
  ++j.zones[m.zone];
}

void PartitionScheduler::requeue(Job& j, std::uint32_t i) {
  if (j.state[i] != TaskState::bound) return;
  j.state[i] = TaskState::queued;
  if (j.queued++ == 0) {
    j.waiting_since = now_;
    waiting_jobs_valid_ = false;
  }
  j.first_queued = std::min(j.first_queued, i);
}

// The task is proven gone from this machine. The key is a copy: callers pass one that goes with it.
void PartitionScheduler::release_task(Machine& m, TaskKey key, bool again) {
  auto it = m.tasks.find(key);
  if (it == m.tasks.end()) return;
  BoundTask b = it->second;
  m.tasks.erase(it);
  m.cpus -= b.cpus;
  m.gpus -= b.gpus;
  m.memory_gb -= b.memory_gb;
  if (b.service) m.service_cpus -= b.cpus;
  if (b.team < 0) add_unknown_tasks(m, -1);
  if (m.tasks.empty()) m.cpus = m.gpus = m.memory_gb = m.service_cpus = 0;  // no rounding is kept
  totals_.free[m.spot][fill_level(m)] += b.cpus;
  if (!m.consolidating) totals_.free_in_use += b.cpus;
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

void PartitionScheduler::set_done(Job& j, std::uint32_t i) {
  if (j.state[i] >= TaskState::done) return;
  if (j.state[i] == TaskState::queued) --j.queued;
  j.state[i] = TaskState::done;
  ++j.done;
  ++j.unrecorded;
}

void PartitionScheduler::heartbeat_answered(const std::string& machine, Ms now) {
  if (auto it = machines_.find(machine); it != machines_.end()) it->second->last_reply = now;
}

std::vector<std::string> PartitionScheduler::tick(Ms now) {
  now_ = now;
  std::vector<std::string> lost;
  const Ms limit =
      static_cast<Ms>(limits_.lease_ms * (1 + constants::kDrift)) + constants::kProofMarginMs;
  for (auto& [id, m] : machines_) {
    if (m->lease_expired || now - m->last_reply <= limit) continue;
    // Invariant 5: no answer could have renewed the lease; the worker has killed all it had.
    release_all_tasks(*m);
    mark_reconciled(*m);
    m->lease_expired = true;
    m->token_announcements = 0;
    lost.push_back(id);
  }
  update_totals(now);
  if (now - queue_sorted_at_ >= constants::kReorderMs) sort_queue(now);
  return lost;
}

std::vector<PartitionScheduler::KillBatch> PartitionScheduler::take_kills() {
  std::vector<KillBatch> out;
  for (auto& [id, commands] : kills_) {
    auto it = machines_.find(id);
    if (it == machines_.end() || !it->second->heartbeat_received || it->second->lease_expired)
      continue;
    const Machine& m = *it->second;
    out.push_back({id, m.addr, m.incarnation, fencing_token_of(id), std::move(commands)});
  }
  kills_.clear();
  return out;
}

void PartitionScheduler::retry_kills(const std::string& id) {
  auto it = machines_.find(id);
  if (it == machines_.end()) return;
  for (const auto& [key, b] : it->second->tasks)
    if (b.stop_grace_s == 0.0)
      kills_[id].push_back({CommandType::kill, key.first, key.second, b.attempt, 0});
}

PartitionScheduler::TaskCounts PartitionScheduler::task_counts() const {
  TaskCounts c;
  for (const Job* j : queue_) {
    ++(j->running > 0 ? c.jobs_running : c.jobs_queued);
    c.queued += j->queued;
    c.bound += j->bound;
    c.running += j->running;
    c.done += j->done;
  }
  return c;
}

}  // namespace eiderreel
