// The queue of a partition: in which order its jobs are served, and which of them wait.
#include <cmath>

#include "scheduler/partition_scheduler.h"

namespace eiderreel {
namespace {

// Who goes first: the smaller one. `later`: so much less urgent than it is.
template <class J>
auto urgency(const J& j, Ms later) {
  // Idle-time work starved behind a queue of higher priority that never ended.
  const Priority priority = j.starved ? std::max(j.priority, Priority::standard) : j.priority;
  return std::tuple(-static_cast<int>(priority), !j.starved, j.missed_objectives,
                    j.latest_start + later, j.revision);
}

}  // namespace

// Within a priority, oldest first among jobs that nothing is expected of. Where an objective or a
// deadline stands, its latest start takes the place of the age: an extension of the design,
// measured (see docs/design.md). A job that can no longer meet an objective lets those that can go
// first, but not for ever.
void PartitionScheduler::sort_queue(Ms now) {
  queue_sorted_at_ = now;
  waiting_jobs_valid_ = false;
  for (Job* j : queue_) {
    const Ms run = static_cast<Ms>(j->spec.estimate_s * 1000) + constants::kStartAllowanceMs;
    j->missed_objectives = 0;
    // Whatever its objectives, and however many others are more urgent, a job begins in time.
    j->starved = !j->has_started && now - j->ready >= constants::kStarvedMs;
    j->latest_start = j->ready + constants::kUnboundedMs;
    if (j->target_times.empty()) continue;
    const std::size_t n = j->target_times.size();
    std::size_t i = 0;
    while (i < n && now + run > j->target_times[i]) ++i;
    j->missed_objectives = static_cast<int>(i);
    j->latest_start = i < n ? j->target_times[i] - run : j->ready;
    const Ms span = j->target_times.back() - j->submitted;
    if (span > 0 && now - j->submitted > constants::kPatienceTargets * span)
      j->missed_objectives = 0;
  }
  std::stable_sort(queue_.begin(), queue_.end(),
                   [](const Job* a, const Job* b) { return urgency(*a, 0) < urgency(*b, 0); });
}

// With an image for every job the numbers would grow for ever. What machines have cached is
// learned again; until then a fetch may be expected that is none.
void PartitionScheduler::forget_images() {
  image_numbers_.clear();
  totals_.with_image.clear();
  for (Job* j : queue_) j->image = image_number(j->spec.image);
  for (auto& [id, m] : machines_) {
    m->images.clear();
    for (const auto& [key, b] : m->tasks)
      if (b.job) m->images.insert(b.job->image);
  }
}

int PartitionScheduler::image_number(const std::string& image) {
  return image_numbers_.try_emplace(image, static_cast<int>(image_numbers_.size())).first->second;
}

// How long this machine would take to fetch the job's image; nothing if it has it.
Ms PartitionScheduler::fetch_ms(const Machine& m, const Job& j) {
  if (m.images.count(j.image) || !m.type || m.type->fetch_gb_per_s <= 0) return 0;
  return static_cast<Ms>(j.spec.image_gb / m.type->fetch_gb_per_s * 1000);
}

// The waiting jobs in the order in which this machine serves them: one whose image it would have to
// fetch lets those go first that are nearly as urgent and need no fetch. Room held for a fetch does
// no work; with 23 images on 390 machines a fifth of all room was held so.
std::vector<PartitionScheduler::Job*> PartitionScheduler::queue_for(const Machine& m) {
  std::vector<std::pair<Job*, Ms>> keyed;
  bool missing = false;
  for (Job* j : waiting_jobs()) {
    ++steps_;
    keyed.emplace_back(j, fetch_ms(m, *j) * constants::kFetchWeight);
    missing |= keyed.back().second > 0;
  }
  if (missing)
    std::stable_sort(keyed.begin(), keyed.end(), [](const auto& a, const auto& b) {
      return urgency(*a.first, a.second) < urgency(*b.first, b.second);
    });
  std::vector<Job*> out;
  out.reserve(keyed.size());
  for (const auto& [j, later] : keyed) out.push_back(j);
  return out;
}

// The jobs that have tasks to start, in order. Those that have none any more may still be there.
const std::vector<PartitionScheduler::Job*>& PartitionScheduler::waiting_jobs() {
  if (waiting_jobs_valid_) return waiting_jobs_;
  waiting_jobs_.clear();
  least_cpus_ = 0;
  for (Job* j : queue_) {
    if (j->queued == 0) continue;
    least_cpus_ = waiting_jobs_.empty() ? j->spec.cpus : std::min(least_cpus_, j->spec.cpus);
    waiting_jobs_.push_back(j);
  }
  waiting_jobs_valid_ = true;
  return waiting_jobs_;
}

bool PartitionScheduler::has_waiting() {
  return std::any_of(waiting_jobs().begin(), waiting_jobs().end(),
                     [](const Job* j) { return j->queued > 0 && !j->finalizing; });
}

bool PartitionScheduler::may_start(const Machine& m, const Job& j,
                                   const UnreconciledMachines& unreconciled_machines,
                                   Ms now) const {
  if (j.queued == 0 || j.finalizing || j.not_before > now) return false;
  // Invariant 5: an older job's tasks may run on any machine not heard of yet that could hold them.
  if (j.predates_claim && (j.spec.spot ? unreconciled_machines.unreconciled
                                       : unreconciled_machines.unreconciled_on_demand) > 0)
    return false;
  auto bad = j.avoided_machines.find(m.id);
  return bad == j.avoided_machines.end() || bad->second <= now ||
         j.avoided_machines.size() >= machines_.size();
}

// Where the usual slack before a deadline is long beside a boot time, a machine let go costs
// little: it is there again before a job is late.
bool PartitionScheduler::cost_saving() const {
  double boot = 0;
  for (const auto& [name, t] : types_) boot = std::max(boot, t.boot_s);
  return slack_s_ >= constants::kCostSavingBoots * boot;
}

Ms PartitionScheduler::idle_keep_ms() const {
  return cost_saving() ? constants::kIdleReturnMs : constants::kIdleKeepMs;
}

double PartitionScheduler::waiting_cpus() const {
  double sum = 0;
  for (const Job* j : queue_)
    if (!j->finalizing && j->not_before <= now_) sum += j->queued * j->spec.cpus;
  return sum;
}

// What a job that is bound to a zone or to types waits for beyond the room on machines that fit.
double PartitionScheduler::unschedulable_cpus(const Job& j, Ms now) const {
  if ((j.spec.zone.empty() && j.spec.types.empty()) ||
      now - j.waiting_since < constants::kUnschedulableAfterMs)
    return 0;
  double lack = j.queued * j.spec.cpus;
  for (const auto& [id, m] : machines_)
    if (lack > 0 && accepts_tasks(*m, now) && may_host(j.spec, *m->type, m->zone, m->spot))
      lack -= std::floor((m->type->cpus - m->cpus) / j.spec.cpus) * j.spec.cpus;
  return std::max(0.0, lack);
}

PartitionLoad PartitionScheduler::load(Ms now) const {
  PartitionLoad n;
  std::vector<double> room(teams_.size());
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    room[i] = std::max(0.0, teams_[i].quota_cpus - team_cpus_[i]);
    n.used_cpus += team_cpus_[i];
  }
  for (const Job* j : queue_) {
    if (j->spec.kind == JobKind::service) n.used_service_cpus += j->bound * j->spec.cpus;
    if (j->queued == 0 || j->finalizing || j->not_before > now) continue;
    double want = std::min(j->queued * j->spec.cpus, room[j->team]);
    room[j->team] -= want;
    n.waiting_cpus += want;
    // A job that waits beside room of other partitions, on machines that never run empty.
    if (j->bound == 0 && want >= j->spec.cpus)
      n.waited_s = std::max(n.waited_s, static_cast<double>(now - j->waiting_since) / 1000);
    if (j->spec.spot) n.waiting_spot_cpus += want;
    if (j->spec.kind == JobKind::service) n.waiting_service_cpus += want;
    n.waiting_core_s += j->queued * j->spec.cpus * j->spec.estimate_s;
    if (n.unschedulable.size() < constants::kUnschedulableMost)
      if (const double lack = std::min(want, unschedulable_cpus(*j, now)); lack > 0)
        n.unschedulable.emplace_back(j->spec.id, lack);
  }
  for (const auto& [id, m] : machines_) {
    if (m->lease_expired || !m->heartbeat_received || !m->type || m->transferring) continue;
    const double cpus = m->type->cpus;
    n.total_cpus += cpus;
    if (m->spot) n.spot_cpus += cpus;
    if (!schedulable(*m, now) || !m->tasks.empty()) continue;
    ++n.idle_machines;
    (m->spot ? n.idle_spot_cpus : n.idle_cpus) += cpus;
    if (now - m->idle_since >= idle_keep_ms())
      (m->spot ? n.releasable_spot_cpus : n.releasable_cpus) += cpus;
  }
  n.slack_s = slack_s_;
  n.wait_s = wait_s_;
  return n;
}

}  // namespace eiderreel
