// Placement: what a machine is given when its heartbeat shows room. It looks at that machine alone;
// of the others it knows sums.
#include <cmath>

#include "scheduler/partition_scheduler.h"

namespace eiderreel {
namespace {
constexpr double kEps = 1e-9;
}

bool PartitionScheduler::fits(const Machine& m, const Job& j, double unreconciled) const {
  const JobSpec& s = j.spec;
  if (m.cpus + s.cpus > m.type->cpus + kEps || m.gpus + s.gpus > m.type->gpus + kEps ||
      m.memory_gb + s.memory_gb > m.type->memory_gb + kEps)
    return false;
  if (!may_host(s, *m.type, m.zone, m.spot)) return false;
  const Team& t = teams_[j.team];
  // Tasks that may run on machines not heard of yet count as if they filled them.
  if (team_cpus_[j.team] + s.cpus + unreconciled > t.quota_cpus + kEps) return false;
  if (s.gpus > 0 && team_gpus_[j.team] + s.gpus > t.quota_gpus + kEps) return false;
  if (s.one_zone && !j.zones.empty() && !j.zones.count(m.zone)) return false;
  if (s.spread) {
    auto z = j.zones.find(m.zone);
    int here = z == j.zones.end() ? 0 : z->second;
    if (here + 1 > static_cast<int>((s.tasks + 1) / 2)) return false;
  }
  return true;
}

// Whether the job would fit if of all that runs here only so many CPUs stayed.
bool PartitionScheduler::fits_if_only(Machine& m, const Job& j, double unreconciled,
                                      double cpus) const {
  const auto taken = std::tuple(m.cpus, m.gpus, m.memory_gb);
  std::tie(m.cpus, m.gpus, m.memory_gb) = std::tuple(cpus, 0.0, 0.0);
  const bool would_fit = fits(m, j, unreconciled);
  std::tie(m.cpus, m.gpus, m.memory_gb) = taken;
  return would_fit;
}

PartitionScheduler::FillLevel PartitionScheduler::fill_level(const Machine& m) {
  if (m.service_cpus > 0) return kServices;
  if (m.tasks.empty()) return kIdle;
  return m.type && m.cpus * 2 < m.type->cpus ? kEmptier : kFuller;
}

bool PartitionScheduler::schedulable(const Machine& m, Ms now) const {
  return m.reconciled && m.heartbeat_received && !m.lease_expired && !m.transferring && m.type &&
         !m.taken_at && m.quarantine_until <= now && m.unknown_tasks == 0;
}

bool PartitionScheduler::accepts_tasks(const Machine& m, Ms now) const {
  return schedulable(m, now) && m.cordoned_until <= now;
}

// The smallest task of the open arrays: less room than that is of no use to them.
double PartitionScheduler::smallest_array_task() const {
  double least = 0;
  for (const Job* j : queue_)
    if (j->spec.kind == JobKind::array && (least == 0 || j->spec.cpus < least))
      least = j->spec.cpus;
  return least;
}

// Free room that arrays can use here.
double PartitionScheduler::usable_free_cpus(const Machine& m) const {
  const double cpus = std::max(0.0, m.type->cpus - m.cpus - service_headroom(m));
  return smallest_array_task_ > 0
             ? std::floor(cpus / smallest_array_task_ + kEps) * smallest_array_task_
             : cpus;
}

// One pass over the machines.
void PartitionScheduler::update_totals(Ms now) {
  totals_ = {};
  totals_.with_image.resize(image_numbers_.size());
  smallest_array_task_ = smallest_array_task();
  double largest = 0;
  for (auto& [id, p] : machines_) {
    const Machine& m = *p;
    if (!accepts_tasks(m, now)) continue;
    totals_.cpus += m.type->cpus;
    totals_.free[m.spot][fill_level(m)] += usable_free_cpus(m);
    if (!m.consolidating) totals_.free_in_use += usable_free_cpus(m);
    if (usable_free_cpus(m) > 0)
      for (int image : m.images)
        totals_.with_image[static_cast<std::size_t>(image)] += usable_free_cpus(m);
    largest = std::max(largest, m.type->cpus);
  }
  // With more free room than the queue asks for, for a while, some machines are consolidated: they
  // run empty, and the cluster leader may move or return them. With less, some are taken into use
  // again.
  const double wanted = waiting_cpus();
  const double surplus =
      totals_.free_in_use - largest / 2 - constants::kConsolidateSpareRoom * totals_.cpus - wanted;
  if (surplus <= 0) surplus_since_ = now;
  if (wanted > totals_.free_in_use) {
    stop_consolidating(wanted - totals_.free_in_use, now);
  } else if (surplus > 0 && now - surplus_since_ >= constants::kConsolidateAfterMs) {
    consolidating(surplus, now);
    surplus_since_ = now - constants::kConsolidateAfterMs + constants::kConsolidateNextMs;
  }
}

// The machines without services that will be empty soonest, of about so much free room.
void PartitionScheduler::consolidating(double surplus, Ms now) {
  for (Machine* m : by_time_to_empty(now, false)) {
    if (m->service_cpus > 0) continue;
    if (usable_free_cpus(*m) > surplus) return;
    m->consolidating = true;
    surplus -= usable_free_cpus(*m);
    totals_.free_in_use -= usable_free_cpus(*m);
  }
}

// Those of the consolidated ones that stay busy longest: taken as their heartbeats come, all would
// hold a little for ever.
void PartitionScheduler::stop_consolidating(double wanted, Ms now) {
  const auto consolidating = by_time_to_empty(now, true);
  for (auto it = consolidating.rbegin(); it != consolidating.rend() && wanted > 0; ++it) {
    (*it)->consolidating = false;
    wanted -= usable_free_cpus(**it);
    totals_.free_in_use += usable_free_cpus(**it);
  }
}

// When all that runs here will have ended, by the submitters' estimates.
Ms PartitionScheduler::empty_at(const Machine& m) {
  Ms at = 0;
  for (const auto& [key, b] : m.tasks) at = std::max(at, b.ends);
  return at;
}

// The same of the arrays alone: services can be moved.
Ms PartitionScheduler::arrays_end(const Machine& m) {
  Ms at = 0;
  for (const auto& [key, b] : m.tasks)
    if (!b.service) at = std::max(at, b.ends);
  return at;
}

// Those that will be empty soonest first: one long task holds a machine as much as sixteen. Where
// cost saving pays, spot machines come last.
std::vector<PartitionScheduler::Machine*> PartitionScheduler::by_time_to_empty(Ms now,
                                                                               bool consolidating) {
  using Key = std::tuple<bool, Ms, double, std::string>;
  std::vector<std::pair<Key, Machine*>> keyed;
  const bool by_kind = cost_saving();
  for (auto& [id, m] : machines_)
    if (accepts_tasks(*m, now) && m->consolidating == consolidating)
      keyed.emplace_back(Key{by_kind && m->spot, empty_at(*m), m->cpus, id}, m.get());
  std::sort(keyed.begin(), keyed.end());
  std::vector<Machine*> out;
  out.reserve(keyed.size());
  for (const auto& [key, m] : keyed) out.push_back(m);
  return out;
}

// Whether other machines have the image of a waiting service, and room that no service takes.
void PartitionScheduler::look_for_image(Job& j, Ms now) {
  if (j.looked_at >= 0 && now - j.looked_at < constants::kTickMs) return;
  j.looked_at = now;
  j.image_elsewhere = false;
  j.most_services = 0;
  j.service_machines = 0;
  for (const auto& [id, o] : machines_) {
    ++steps_;
    if (!accepts_tasks(*o, now) || o->service_cpus + j.spec.cpus > o->type->cpus ||
        !o->images.count(j.image) || !may_host(j.spec, *o->type, o->zone, o->spot))
      continue;
    j.image_elsewhere = true;
    j.most_services = std::max(j.most_services, o->service_cpus);
    if (o->service_cpus > 0) ++j.service_machines;
  }
}

// A task waits a moment for a machine that has its image, since the fetch takes far longer, and a
// service a shorter one for a machine that runs more services, so that others can run empty.
bool PartitionScheduler::should_wait_for_better(const Machine& m, Job& j, Ms now) {
  const Ms waited = now - j.waiting_since;
  if (j.spec.kind == JobKind::array) {
    // Until all machines have sent a heartbeat, but no longer than the fetch would take.
    const auto image = static_cast<std::size_t>(j.image);
    return waited < std::min(fetch_ms(m, j), limits_.heartbeat_round_ms()) &&
           image < totals_.with_image.size() && totals_.with_image[image] >= j.spec.cpus;
  }
  const bool image = m.images.count(j.image) > 0;
  if (waited >= (image ? constants::kServicePackMs : constants::kImageWaitMs)) return false;
  look_for_image(j, now);
  if (!image) return j.image_elsewhere;
  // Joining pays only where the heartbeat of such a machine is likely within the wait.
  return j.service_machines >= constants::kServiceMachines &&
         m.service_cpus < j.most_services * constants::kServicesAlike;
}

// Free room for the job on machines that are to be filled before this one. What fits there waits
// a moment for their heartbeats, so that other machines run empty: only an idle machine can be
// given to a partition in need, or returned.
double PartitionScheduler::free_on_fuller_machines(const Machine& m, const Job& j) const {
  double room = 0;
  for (int f = 0; f < kFillLevels; ++f) {
    const bool fuller = f > fill_level(m);
    if (fuller) room += totals_.free[0][f];
    // Where cost saving pays, spot machines are filled before dearer ones.
    if (j.spec.spot && (fuller || (!m.spot && cost_saving()))) room += totals_.free[1][f];
  }
  return room;
}

void PartitionScheduler::cordon(double cpus, bool drain, Ms now) {
  std::vector<Machine*> candidates;
  for (auto& [id, m] : machines_)
    if (m->reconciled && m->heartbeat_received && !m->lease_expired && !m->transferring &&
        m->type && (drain || m->service_cpus == 0))
      candidates.push_back(m.get());
  // Those that run empty already first, then the emptiest; to be drained, the soonest empty.
  auto key = [now, drain](const Machine* m) {
    return std::tuple((drain ? m->drain_until : m->cordoned_until) < now,
                      drain ? std::max(now, arrays_end(*m)) : 0, m->service_cpus, m->cpus, m->id);
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const Machine* a, const Machine* b) { return key(a) < key(b); });
  for (Machine* m : candidates) {
    if (m->type->cpus > cpus) continue;
    cpus -= m->type->cpus;
    m->cordoned_until = now + constants::kCordonMs;
    if (drain) m->drain_until = m->cordoned_until;
  }
}

// A replica that another machine of the partition has room for, and the image, is stopped here and
// starts there; one at a time, so that a service of several is never down.
void PartitionScheduler::drain(Machine& m, const UnreconciledMachines& unreconciled_machines,
                               Ms now, std::vector<Command>& out) {
  if (m.drain_until <= now || !schedulable(m, now)) return;
  for (const auto& [key, b] : m.tasks)
    if (b.stop_grace_s) return;
  for (auto& [key, b] : m.tasks) {
    if (!b.service || !b.job || b.job->finalizing ||
        !can_run_elsewhere(m, *b.job, unreconciled_machines, now))
      continue;
    stop_task(key, b, out);
    return;
  }
}

// Tells a task to end; true when it is gone at once, since it has nothing to save.
bool PartitionScheduler::stop_task(const TaskKey& key, BoundTask& task, std::vector<Command>& out) {
  const JobSpec& spec = task.job->spec;
  const bool saves = spec.checkpoint_s > 0 && task.phase == TaskPhase::running;
  task.stop_grace_s = saves ? spec.save_s : 0;
  out.push_back({CommandType::kill, key.first, key.second, task.attempt, *task.stop_grace_s});
  return !saves;
}

bool PartitionScheduler::can_run_elsewhere(const Machine& m, const Job& j,
                                           const UnreconciledMachines& unreconciled_machines,
                                           Ms now) const {
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& other) {
    const Machine& o = *other.second;
    return &o != &m && accepts_tasks(o, now) && o.images.count(j.image) > 0 &&
           fits(o, j, unreconciled_machines.cpus);
  });
}

// The order in which machines are to be filled: the most services first, then the fullest, so that
// others run empty.
std::vector<std::string> PartitionScheduler::fullest_first(std::vector<std::string> ids) const {
  using Key = std::tuple<FillLevel, double, double>;
  std::vector<std::pair<Key, std::string>> keyed;
  for (auto& id : ids)
    if (auto it = machines_.find(id); it != machines_.end()) {
      const Machine& m = *it->second;
      keyed.emplace_back(Key{fill_level(m), m.service_cpus, m.cpus}, std::move(id));
    }
  std::sort(keyed.begin(), keyed.end(), std::greater<>());
  ids.clear();
  for (auto& [key, id] : keyed) ids.push_back(std::move(id));
  return ids;
}

void PartitionScheduler::start_task(Machine& m, Job& j, std::vector<Command>& out) {
  std::uint32_t i = j.first_queued;
  while (j.state[i] != TaskState::queued) ++i;
  j.first_queued = i;
  std::uint64_t attempt = (fencing_token_of(m.id) << constants::kAttemptBits) + ++counter_;
  const bool starved = j.starved;
  const Ms fetch = fetch_ms(m, j);
  bind(m, j, i, attempt, TaskPhase::pulling);
  if (starved) {
    m.tasks[{j.spec.id, i}].kept_until = now_ + fetch + constants::kBegunMs;
    j.starved = false;  // it has begun: the next task takes its turn
    if (reservation_.job == j.spec.id) reservation_ = {};
  }
  out.push_back({CommandType::launch, j.spec.id, i, attempt, 0});
}

bool PartitionScheduler::may_preempt(const BoundTask& victim, const Job& j,
                                     bool by_fair_share) const {
  if (!victim.job || victim.stop_grace_s || victim.phase == TaskPhase::flushing ||
      now_ < victim.kept_until)
    return false;
  const JobSpec& v = victim.job->spec;
  if (by_fair_share)
    return victim.team != j.team && v.kind == JobKind::array &&
           victim.job->priority <= j.priority &&
           team_cpus_[victim.team] - victim.cpus >= teams_[victim.team].fair_share_cpus - kEps;
  return victim.job->priority < j.priority;
}

// Stops tasks here and starts one of the job in their room, in the same answer: the worker obeys
// in order, and a task that cannot save is gone at once. One that can save is told to, and its
// room is used when it is seen to be gone.
bool PartitionScheduler::preempt_for(Machine& m, Job& j, double unreconciled, bool by_fair_share,
                                     std::vector<Command>& out) {
  std::vector<std::pair<TaskKey, BoundTask*>> victims;
  // What is told to stop without saving goes before the starts of the same answer.
  double cpus = m.type->cpus, gpus = m.type->gpus, memory = m.type->memory_gb;
  for (const auto& [key, b] : m.tasks) {
    if (b.stop_grace_s == 0.0) continue;
    cpus -= b.cpus;
    gpus -= b.gpus;
    memory -= b.memory_gb;
  }
  std::vector<std::pair<TaskKey, BoundTask*>> candidates;
  for (auto& [key, b] : m.tasks)
    if (may_preempt(b, j, by_fair_share)) candidates.emplace_back(key, &b);
  // The lowest priority first, then the youngest: the least work is lost.
  std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    const Priority ra = a.second->job->priority, rb = b.second->job->priority;
    return ra != rb ? ra < rb : a.second->attempt > b.second->attempt;
  });
  const JobSpec& s = j.spec;
  auto enough = [&] {
    return cpus + kEps >= s.cpus && gpus + kEps >= s.gpus && memory + kEps >= s.memory_gb;
  };
  double given = 0;
  for (auto& c : candidates) {
    if (enough()) break;
    const BoundTask& b = *c.second;
    if (by_fair_share &&
        team_cpus_[b.team] - given - b.cpus < teams_[b.team].fair_share_cpus - kEps)
      continue;  // a team keeps its own fair share
    if (by_fair_share) given += b.cpus;
    cpus += b.cpus;
    gpus += b.gpus;
    memory += b.memory_gb;
    victims.push_back(c);
  }
  if (!enough()) return false;
  if (!fits_if_only(m, j, unreconciled, 0)) return false;
  bool at_once = true;
  for (auto& [key, b] : victims) {
    at_once &= stop_task(key, *b, out);
    ++preemptions_;
  }
  if (at_once) start_task(m, j, out);
  return at_once;
}

// A machine with services keeps room for the next ones: without it arrays would take what a service
// leaves, and the next service would have to stop them.
double PartitionScheduler::service_headroom(const Machine& m) {
  if (m.service_cpus <= 0 || !m.type) return 0;
  const double most = m.type->cpus * constants::kReserveShare;
  return m.service_size <= most ? std::min(most, constants::kReserveReplicas * m.service_size) : 0;
}

// Work within a fair share goes first, then borrowing; each in the order of the queue. The tasks of
// a job are alike, so they are decided together.
void PartitionScheduler::launch_tasks(Machine& m, const std::vector<Job*>& order,
                                      bool within_fair_share,
                                      const UnreconciledMachines& unreconciled_machines, Ms now,
                                      std::vector<Command>& out) {
  const Ms pack_ms = std::min(constants::kPackWaitMs, limits_.heartbeat_round_ms());
  // By then every other machine has sent a heartbeat.
  const Ms consolidation_wait_ms = pack_ms + limits_.heartbeat_round_ms();
  for (Job* j : order) {
    if (m.cpus + least_cpus_ > m.type->cpus + kEps) return;
    if (!reservation_admits(m, *j) || !may_start(m, *j, unreconciled_machines, now) ||
        should_wait_for_better(m, *j, now))
      continue;
    const Ms waited = now - j->waiting_since;
    const bool packs = j->spec.kind == JobKind::array && waited < pack_ms;
    // A consolidated machine is left alone, but not for longer than all others take to send a
    // heartbeat. Services have no such time: they wait for those that run services already, and no
    // longer.
    if (m.consolidating && waited < (j->spec.kind == JobKind::array ? consolidation_wait_ms
                                                                    : constants::kServicePackMs))
      continue;
    while (j->queued > 0 && fits(m, *j, unreconciled_machines.cpus)) {
      const double wanted = j->queued * j->spec.cpus;
      if (packs && wanted <= free_on_fuller_machines(m, *j)) break;
      if (j->spec.kind == JobKind::array &&
          m.cpus + j->spec.cpus + service_headroom(m) > m.type->cpus + kEps)
        break;
      if (within_fair_share && !j->starved &&
          team_cpus_[j->team] + j->spec.cpus > teams_[j->team].fair_share_cpus + kEps)
        break;
      m.consolidating = false;
      const bool starved = j->starved;
      start_task(m, *j, out);
      // One task on trial, also on one that has failed all since it was quarantined.
      if (m.lost_replies > 0 || m.quarantine_ms > 0) return;
      if (starved) break;
    }
  }
}

// Room that frees here is held for a job that starves and fits on no machine as it stands, until it
// has begun; one machine at a time. A task that needs a whole machine never met one, as
// whatever freed was taken by smaller tasks at once.
void PartitionScheduler::update_reservation(Machine& m,
                                            const UnreconciledMachines& unreconciled_machines,
                                            Ms now) {
  auto job = jobs_.find(reservation_.job);
  auto machine = machines_.find(reservation_.machine);
  if (job == jobs_.end() || !job->second->starved || job->second->finalizing ||
      machine == machines_.end() || !schedulable(*machine->second, now))
    reservation_ = {};
  if (!reservation_.machine.empty()) return;
  // By then every machine has sent a heartbeat since it starves.
  const Ms after = constants::kStarvedMs + limits_.heartbeat_round_ms();
  for (Job* j : waiting_jobs()) {
    if (!j->starved || now - j->ready < after || !may_start(m, *j, unreconciled_machines, now) ||
        fits(m, *j, unreconciled_machines.cpus))
      continue;
    if (!fits_if_only(m, *j, unreconciled_machines.cpus, m.service_cpus)) continue;
    reservation_ = {m.id, j->spec.id};
    return;
  }
}

bool PartitionScheduler::reservation_admits(const Machine& m, const Job& j) const {
  return m.id != reservation_.machine || j.spec.id == reservation_.job ||
         j.spec.kind == JobKind::service;
}

double PartitionScheduler::free_for(const Job& j) const {
  double room = 0;
  for (int f = 0; f < kFillLevels; ++f)
    room += totals_.free[0][f] + (j.spec.spot ? totals_.free[1][f] : 0);
  return room;
}

// What still waits, after a moment in which another machine may have had room: it may stop work of
// lower priority here, and, within its fair share, what other teams have borrowed.
void PartitionScheduler::preempt_for_waiting(Machine& m,
                                             const UnreconciledMachines& unreconciled_machines,
                                             Ms now, std::vector<Command>& out) {
  // A fair share is reclaimed no sooner than its objective asks for. What borrows ends by itself in
  // most cases; stopped at once, most arrays that were late had lost their last tasks again and
  // again.
  const Ms reclaim_after = std::max(
      constants::kReclaimSoonestMs,
      limits_.fair_share_start_ms - constants::kReclaimMarginMs - limits_.heartbeat_round_ms());
  for (Job* j : waiting_jobs()) {
    ++steps_;
    auto within_fair_share = [&] {
      return team_cpus_[j->team] + j->spec.cpus <= teams_[j->team].fair_share_cpus + kEps;
    };
    const Ms waited = now - j->waiting_since;
    const bool by_priority =
        j->priority > Priority::standard && waited >= constants::kPreemptAfterMs;
    // What fits into room that is free on machines which have not sent a heartbeat yet needs no
    // victims. On jelajah-grown some jobs had each of their tasks stopped for nothing.
    const bool by_fair_share =
        waited >= reclaim_after && within_fair_share() && j->queued * j->spec.cpus > free_for(*j);
    if ((!by_priority && !by_fair_share) || !reservation_admits(m, *j) ||
        !may_start(m, *j, unreconciled_machines, now) || should_wait_for_better(m, *j, now))
      continue;
    while (by_priority && j->queued > 0 &&
           preempt_for(m, *j, unreconciled_machines.cpus, false, out)) {
    }
    while (by_fair_share && j->queued > 0 && within_fair_share() &&
           preempt_for(m, *j, unreconciled_machines.cpus, true, out)) {
    }
  }
}

std::vector<Command> PartitionScheduler::place_tasks(const std::string& machine, Ms now) {
  std::vector<Command> out;
  now_ = now;
  auto it = machines_.find(machine);
  if (it == machines_.end()) return out;
  Machine& m = *it->second;
  drain(m, unreconciled_machines(), now, out);
  if (!accepts_tasks(m, now) || waiting_jobs().empty()) return out;
  const UnreconciledMachines known = unreconciled_machines();
  update_reservation(m, known, now);
  if (m.cpus + least_cpus_ <= m.type->cpus + kEps) {
    const auto order = queue_for(m);
    for (bool within_fair_share : {true, false})
      if (out.empty() || m.lost_replies == 0)
        launch_tasks(m, order, within_fair_share, known, now, out);
  }
  if (m.lost_replies == 0) preempt_for_waiting(m, known, now, out);
  if (!m.tasks.empty()) m.idle_since = now;
  return out;
}

Ms PartitionScheduler::defer_ms(const std::string& machine) const {
  auto it = machines_.find(machine);
  if (it == machines_.end()) return 0;
  const Machine& m = *it->second;
  if (!m.reconciled || m.transferring || !m.type || m.taken_at) return 0;
  // A deferred worker cannot tell of a finished task, so only one whose tasks do not finish by
  // themselves waits long. The others wait no longer than a worker would between two heartbeats.
  // One that runs services has their images: the next service should find it waiting.
  const bool quiet = m.tasks.empty() || m.service_cpus > 0;
  return quiet ? std::min(constants::kDeferIdleMs, limits_.heartbeat_interval_ms * 4 / 5)
               : constants::kDeferBusyMs;
}

}  // namespace eiderreel
