// Placement: what a machine is given when its report shows room. It looks at that machine alone;
// of the others it knows sums.
#include <cmath>

#include "scheduler/partition_scheduler.h"

namespace eiderreel {
namespace {
constexpr double kEps = 1e-9;
}

bool Part::fits(const Machine& m, const Job& j, double unproven) const {
  const JobSpec& s = j.spec;
  if (m.cpus + s.cpus > m.type->cpus + kEps || m.gpus + s.gpus > m.type->gpus + kEps ||
      m.memory_gb + s.memory_gb > m.type->memory_gb + kEps)
    return false;
  if (!allowed(s, *m.type, m.zone, m.spot)) return false;
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

// Whether the job would fit if of all that runs here only so many CPUs stayed.
bool Part::fits_beside(Machine& m, const Job& j, double unproven, double cpus) const {
  const auto taken = std::tuple(m.cpus, m.gpus, m.memory_gb);
  std::tie(m.cpus, m.gpus, m.memory_gb) = std::tuple(cpus, 0.0, 0.0);
  const bool would_fit = fits(m, j, unproven);
  std::tie(m.cpus, m.gpus, m.memory_gb) = taken;
  return would_fit;
}

Part::Fill Part::fill(const Machine& m) {
  if (m.service_cpus > 0) return kServices;
  if (m.tasks.empty()) return kIdle;
  return m.type && m.cpus * 2 < m.type->cpus ? kEmptier : kFuller;
}

bool Part::usable(const Machine& m, Ms now) const {
  return m.proven && m.reported && !m.gone && !m.leaving && m.type && !m.taken_at &&
         m.quarantine_until <= now && m.unknown == 0;
}

bool Part::takes_work(const Machine& m, Ms now) const {
  return usable(m, now) && m.shed_until <= now;
}

// The smallest task of the open arrays: less room than that is of no use to them.
double Part::unit() const {
  double least = 0;
  for (const Job* j : order_)
    if (j->spec.kind == Kind::array && (least == 0 || j->spec.cpus < least)) least = j->spec.cpus;
  return least;
}

// Free room that arrays can use here.
double Part::left(const Machine& m) const {
  const double cpus = std::max(0.0, m.type->cpus - m.cpus - reserve(m));
  return unit_ > 0 ? std::floor(cpus / unit_ + kEps) * unit_ : cpus;
}

// One pass over the machines.
void Part::survey(Ms now) {
  totals_ = {};
  totals_.with_image.resize(image_numbers_.size());
  unit_ = unit();
  double largest = 0;
  for (auto& [id, p] : machines_) {
    const Machine& m = *p;
    if (!takes_work(m, now)) continue;
    totals_.cpus += m.type->cpus;
    totals_.free[m.spot][fill(m)] += left(m);
    if (!m.spare) totals_.kept += left(m);
    if (left(m) > 0)
      for (int image : m.images) totals_.with_image[static_cast<std::size_t>(image)] += left(m);
    largest = std::max(largest, m.type->cpus);
  }
  // With more free room than the queue asks for, for a while, some machines are spared: they run
  // empty, and the leader may move or return them. With less, some are taken into use again.
  const double wanted = waiting_cpus();
  const double surplus = totals_.kept - largest / 2 - constants::kSpareRoom * totals_.cpus - wanted;
  if (surplus <= 0) surplus_since_ = now;
  if (wanted > totals_.kept) {
    use_spared(wanted - totals_.kept, now);
  } else if (surplus > 0 && now - surplus_since_ >= constants::kSpareAfterMs) {
    spare(surplus, now);
    surplus_since_ = now - constants::kSpareAfterMs + constants::kSpareNextMs;
  }
}

// The machines without services that will be empty soonest, of about so much free room.
void Part::spare(double surplus, Ms now) {
  for (Machine* m : by_emptiness(now, false)) {
    if (m->service_cpus > 0) continue;
    if (left(*m) > surplus) return;
    m->spare = true;
    surplus -= left(*m);
    totals_.kept -= left(*m);
  }
}

// Those of the spared ones that stay busy longest: taken as they report, all would hold a little
// for ever.
void Part::use_spared(double wanted, Ms now) {
  const auto spared = by_emptiness(now, true);
  for (auto it = spared.rbegin(); it != spared.rend() && wanted > 0; ++it) {
    (*it)->spare = false;
    wanted -= left(**it);
    totals_.kept += left(**it);
  }
}

// When all that runs here will have ended, by the owners' estimates.
Ms Part::empty_at(const Machine& m) {
  Ms at = 0;
  for (const auto& [key, b] : m.tasks) at = std::max(at, b.ends);
  return at;
}

// The same of the arrays alone: services can be moved.
Ms Part::arrays_end(const Machine& m) {
  Ms at = 0;
  for (const auto& [key, b] : m.tasks)
    if (!b.service) at = std::max(at, b.ends);
  return at;
}

// Those that will be empty soonest first: one long task holds a machine as much as sixteen. Where
// cost saving pays, spot machines come last.
std::vector<Part::Machine*> Part::by_emptiness(Ms now, bool spared) {
  using Key = std::tuple<bool, Ms, double, std::string>;
  std::vector<std::pair<Key, Machine*>> keyed;
  const bool by_kind = saves_cost();
  for (auto& [id, m] : machines_)
    if (takes_work(*m, now) && m->spare == spared)
      keyed.emplace_back(Key{by_kind && m->spot, empty_at(*m), m->cpus, id}, m.get());
  std::sort(keyed.begin(), keyed.end());
  std::vector<Machine*> out;
  out.reserve(keyed.size());
  for (const auto& [key, m] : keyed) out.push_back(m);
  return out;
}

// Whether other machines have the image of a waiting service, and room that no service takes.
void Part::look_for_image(Job& j, Ms now) {
  if (j.looked_at >= 0 && now - j.looked_at < constants::kTickMs) return;
  j.looked_at = now;
  j.image_elsewhere = false;
  j.most_services = 0;
  j.service_machines = 0;
  for (const auto& [id, o] : machines_) {
    ++steps_;
    if (!takes_work(*o, now) || o->service_cpus + j.spec.cpus > o->type->cpus ||
        !o->images.count(j.image) || !allowed(j.spec, *o->type, o->zone, o->spot))
      continue;
    j.image_elsewhere = true;
    j.most_services = std::max(j.most_services, o->service_cpus);
    if (o->service_cpus > 0) ++j.service_machines;
  }
}

// A task waits a moment for a machine that has its image, since the fetch takes far longer, and a
// service a shorter one for a machine that runs more services, so that others can run empty.
bool Part::better_elsewhere(const Machine& m, Job& j, Ms now) {
  const Ms waited = now - j.waiting_since;
  if (j.spec.kind == Kind::array) {
    // Until all machines have reported, but no longer than the fetch would take.
    const auto image = static_cast<std::size_t>(j.image);
    return waited < std::min(fetch_ms(m, j), limits_.all_reported_ms()) &&
           image < totals_.with_image.size() && totals_.with_image[image] >= j.spec.cpus;
  }
  const bool image = m.images.count(j.image) > 0;
  if (waited >= (image ? constants::kServicePackMs : constants::kImageWaitMs)) return false;
  look_for_image(j, now);
  if (!image) return j.image_elsewhere;
  // Joining pays only where the report of such a machine is likely within the wait.
  return j.service_machines >= constants::kServiceMachines &&
         m.service_cpus < j.most_services * constants::kServicesAlike;
}

// Free room for the job on machines that are to be filled before this one. What fits there waits
// a moment for their reports, so that other machines run empty: only an idle machine can be given
// to a part in need, or returned.
double Part::room_on_fuller(const Machine& m, const Job& j) const {
  double room = 0;
  for (int f = 0; f < kFills; ++f) {
    const bool fuller = f > fill(m);
    if (fuller) room += totals_.free[0][f];
    // Where cost saving pays, spot machines are filled before dearer ones.
    if (j.spec.spot && (fuller || (!m.spot && saves_cost()))) room += totals_.free[1][f];
  }
  return room;
}

void Part::shed(double cpus, bool drain, Ms now) {
  std::vector<Machine*> candidates;
  for (auto& [id, m] : machines_)
    if (m->proven && m->reported && !m->gone && !m->leaving && m->type &&
        (drain || m->service_cpus == 0))
      candidates.push_back(m.get());
  // Those that run empty already first, then the emptiest; to be drained, the soonest empty.
  auto key = [now, drain](const Machine* m) {
    return std::tuple((drain ? m->drain_until : m->shed_until) < now,
                      drain ? std::max(now, arrays_end(*m)) : 0, m->service_cpus, m->cpus, m->id);
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const Machine* a, const Machine* b) { return key(a) < key(b); });
  for (Machine* m : candidates) {
    if (m->type->cpus > cpus) continue;
    cpus -= m->type->cpus;
    m->shed_until = now + constants::kShedMs;
    if (drain) m->drain_until = m->shed_until;
  }
}

// A replica that another machine of the part has room for, and the image, is stopped here and
// starts there; one at a time, so that a service of several is never down.
void Part::drain(Machine& m, const Proof& proof, Ms now, std::vector<Command>& out) {
  if (m.drain_until <= now || !usable(m, now)) return;
  for (const auto& [key, b] : m.tasks)
    if (b.stop_grace_s) return;
  for (auto& [key, b] : m.tasks) {
    if (!b.service || !b.job || b.job->held || !room_beside(m, *b.job, proof, now)) continue;
    stop(key, b, out);
    return;
  }
}

// Tells a task to end; true when it is gone at once, since it has nothing to save.
bool Part::stop(const TaskKey& key, Bound& task, std::vector<Command>& out) {
  const JobSpec& spec = task.job->spec;
  const bool saves = spec.checkpoint_s > 0 && task.phase == TaskPhase::running;
  task.stop_grace_s = saves ? spec.save_s : 0;
  out.push_back({Verb::kill, key.first, key.second, task.attempt, *task.stop_grace_s});
  return !saves;
}

bool Part::room_beside(const Machine& m, const Job& j, const Proof& proof, Ms now) const {
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& other) {
    const Machine& o = *other.second;
    return &o != &m && takes_work(o, now) && o.images.count(j.image) > 0 && fits(o, j, proof.cpus);
  });
}

// The order in which machines are to be filled: the most services first, then the fullest, so that
// others run empty.
std::vector<std::string> Part::fullest_first(std::vector<std::string> ids) const {
  using Key = std::tuple<Fill, double, double>;
  std::vector<std::pair<Key, std::string>> keyed;
  for (auto& id : ids)
    if (auto it = machines_.find(id); it != machines_.end()) {
      const Machine& m = *it->second;
      keyed.emplace_back(Key{fill(m), m.service_cpus, m.cpus}, std::move(id));
    }
  std::sort(keyed.begin(), keyed.end(), std::greater<>());
  ids.clear();
  for (auto& [key, id] : keyed) ids.push_back(std::move(id));
  return ids;
}

void Part::start_one(Machine& m, Job& j, std::vector<Command>& out) {
  std::uint32_t i = j.first_queued;
  while (j.state[i] != State::queued) ++i;
  j.first_queued = i;
  std::uint64_t attempt = (term_of(m.id) << constants::kAttemptBits) + ++counter_;
  const bool starved = j.starved;
  const Ms fetch = fetch_ms(m, j);
  bind(m, j, i, attempt, TaskPhase::pulling);
  if (starved) {
    m.tasks[{j.spec.id, i}].kept_until = now_ + fetch + constants::kBegunMs;
    j.starved = false;  // it has begun: the next task takes its turn
    if (reservation_.job == j.spec.id) reservation_ = {};
  }
  out.push_back({Verb::launch, j.spec.id, i, attempt, 0});
}

bool Part::may_stop(const Bound& victim, const Job& j, bool by_guarantee) const {
  if (!victim.job || victim.stop_grace_s || victim.phase == TaskPhase::flushing ||
      now_ < victim.kept_until)
    return false;
  const JobSpec& v = victim.job->spec;
  if (by_guarantee)
    return victim.team != j.team && v.kind == Kind::array && victim.job->priority <= j.priority &&
           team_cpus_[victim.team] - victim.cpus >= teams_[victim.team].cpus - kEps;
  return victim.job->priority < j.priority;
}

// Stops tasks here and starts one of the job in their room, in the same answer: the worker obeys
// in order, and a task that cannot save is gone at once. One that can save is told to, and its
// room is used when it is seen to be gone.
bool Part::preempt_for(Machine& m, Job& j, double unproven, bool by_guarantee,
                       std::vector<Command>& out) {
  std::vector<std::pair<TaskKey, Bound*>> victims;
  // What is told to stop without saving goes before the starts of the same answer.
  double cpus = m.type->cpus, gpus = m.type->gpus, memory = m.type->memory_gb;
  for (const auto& [key, b] : m.tasks) {
    if (b.stop_grace_s == 0.0) continue;
    cpus -= b.cpus;
    gpus -= b.gpus;
    memory -= b.memory_gb;
  }
  std::vector<std::pair<TaskKey, Bound*>> candidates;
  for (auto& [key, b] : m.tasks)
    if (may_stop(b, j, by_guarantee)) candidates.emplace_back(key, &b);
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
  if (!fits_beside(m, j, unproven, 0)) return false;
  bool at_once = true;
  for (auto& [key, b] : victims) {
    at_once &= stop(key, *b, out);
    ++preemptions_;
  }
  if (at_once) start_one(m, j, out);
  return at_once;
}

// A machine with services keeps room for the next ones: without it arrays would take what a service
// leaves, and the next service would have to stop them.
double Part::reserve(const Machine& m) {
  if (m.service_cpus <= 0 || !m.type) return 0;
  const double most = m.type->cpus * constants::kReserveShare;
  return m.service_size <= most ? std::min(most, constants::kReserveReplicas * m.service_size) : 0;
}

// Work within a guarantee goes first, then borrowing; each in the order of the queue. The tasks of
// a job are alike, so they are decided together.
void Part::launch(Machine& m, const std::vector<Job*>& order, bool within, const Proof& proof,
                  Ms now, std::vector<Command>& out) {
  const Ms pack_ms = std::min(constants::kPackWaitMs, limits_.all_reported_ms());
  // By then every other machine has reported.
  const Ms spare_ms = pack_ms + limits_.all_reported_ms();
  for (Job* j : order) {
    if (m.cpus + least_cpus_ > m.type->cpus + kEps) return;
    if (!open_to(m, *j) || !may_start(m, *j, proof, now) || better_elsewhere(m, *j, now)) continue;
    const Ms waited = now - j->waiting_since;
    const bool packs = j->spec.kind == Kind::array && waited < pack_ms;
    // A spared machine is left alone, but not for longer than all others take to report.
    // Services have no such time: they wait for those that run services already, and no longer.
    if (m.spare && waited < (j->spec.kind == Kind::array ? spare_ms : constants::kServicePackMs))
      continue;
    while (j->queued > 0 && fits(m, *j, proof.cpus)) {
      const double wanted = j->queued * j->spec.cpus;
      if (packs && wanted <= room_on_fuller(m, *j)) break;
      if (j->spec.kind == Kind::array && m.cpus + j->spec.cpus + reserve(m) > m.type->cpus + kEps)
        break;
      if (within && !j->starved && team_cpus_[j->team] + j->spec.cpus > teams_[j->team].cpus + kEps)
        break;
      m.spare = false;
      const bool starved = j->starved;
      start_one(m, *j, out);
      // One task on trial, also on one that has failed all since it was quarantined.
      if (m.lost_answers > 0 || m.quarantine_ms > 0) return;
      if (starved) break;
    }
  }
}

// Room that frees here is held for a job that starves and fits on no machine as it stands, until it
// has begun; one machine at a time. Guard: a task that needs a whole machine never met one, as
// whatever freed was taken by smaller tasks at once.
void Part::reserve_room(Machine& m, const Proof& proof, Ms now) {
  auto job = jobs_.find(reservation_.job);
  auto machine = machines_.find(reservation_.machine);
  if (job == jobs_.end() || !job->second->starved || job->second->held ||
      machine == machines_.end() || !usable(*machine->second, now))
    reservation_ = {};
  if (!reservation_.machine.empty()) return;
  // By then every machine has reported since it starves.
  const Ms after = constants::kStarvedMs + limits_.all_reported_ms();
  for (Job* j : waiting()) {
    if (!j->starved || now - j->ready < after || !may_start(m, *j, proof, now) ||
        fits(m, *j, proof.cpus))
      continue;
    if (!fits_beside(m, *j, proof.cpus, m.service_cpus)) continue;
    reservation_ = {m.id, j->spec.id};
    return;
  }
}

bool Part::open_to(const Machine& m, const Job& j) const {
  return m.id != reservation_.machine || j.spec.id == reservation_.job ||
         j.spec.kind == Kind::service;
}

double Part::free_for(const Job& j) const {
  double room = 0;
  for (int f = 0; f < kFills; ++f)
    room += totals_.free[0][f] + (j.spec.spot ? totals_.free[1][f] : 0);
  return room;
}

// What still waits, after a moment in which another machine may have had room: it may stop work of
// lower priority here, and, within its guarantee, what other teams have borrowed.
void Part::make_room(Machine& m, const Proof& proof, Ms now, std::vector<Command>& out) {
  // Guard: a guarantee is reclaimed no sooner than its aim asks for. What borrows ends by itself in
  // most cases; stopped at once, most arrays that were late had lost their last tasks again and
  // again.
  const Ms reclaim_after =
      std::max(constants::kReclaimSoonestMs,
               limits_.guarantee_ms - constants::kReclaimMarginMs - limits_.all_reported_ms());
  for (Job* j : waiting()) {
    ++steps_;
    auto within = [&] { return team_cpus_[j->team] + j->spec.cpus <= teams_[j->team].cpus + kEps; };
    const Ms waited = now - j->waiting_since;
    const bool by_priority =
        j->priority > Priority::standard && waited >= constants::kPreemptAfterMs;
    // Guard: what fits into room that is free on machines which have not reported yet needs no
    // victims. On jelajah-grown some jobs had each of their tasks stopped for nothing.
    const bool by_guarantee =
        waited >= reclaim_after && within() && j->queued * j->spec.cpus > free_for(*j);
    if ((!by_priority && !by_guarantee) || !open_to(m, *j) || !may_start(m, *j, proof, now) ||
        better_elsewhere(m, *j, now))
      continue;
    while (by_priority && j->queued > 0 && preempt_for(m, *j, proof.cpus, false, out)) {
    }
    while (by_guarantee && j->queued > 0 && within() && preempt_for(m, *j, proof.cpus, true, out)) {
    }
  }
}

std::vector<Command> Part::place(const std::string& machine, Ms now) {
  std::vector<Command> out;
  now_ = now;
  auto it = machines_.find(machine);
  if (it == machines_.end()) return out;
  Machine& m = *it->second;
  drain(m, proof(), now, out);
  if (!takes_work(m, now) || waiting().empty()) return out;
  const Proof known = proof();
  reserve_room(m, known, now);
  if (m.cpus + least_cpus_ <= m.type->cpus + kEps) {
    const auto order = order_for(m);
    for (bool within : {true, false})
      if (out.empty() || m.lost_answers == 0) launch(m, order, within, known, now, out);
  }
  if (m.lost_answers == 0) make_room(m, known, now, out);
  if (!m.tasks.empty()) m.idle_since = now;
  return out;
}

Ms Part::defer_ms(const std::string& machine) const {
  auto it = machines_.find(machine);
  if (it == machines_.end()) return 0;
  const Machine& m = *it->second;
  if (!m.proven || m.leaving || !m.type || m.taken_at) return 0;
  // A deferred worker cannot tell of a finished task, so only one whose tasks do not finish by
  // themselves waits long. The others wait no longer than a worker would between two reports.
  // One that runs services has their images: the next service should find it waiting.
  const bool quiet = m.tasks.empty() || m.service_cpus > 0;
  return quiet ? std::min(constants::kDeferIdleMs, limits_.report_ms * 4 / 5)
               : constants::kDeferBusyMs;
}

}  // namespace eiderreel
