// Delegates events and queries to the components of a partition's scheduler.
#include "scheduler/partition_scheduler.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "model/job.h"
#include "model/load.h"
#include "model/machine.h"
#include "model/team.h"
#include "scheduler/heartbeat_reply.h"
#include "scheduler/partition_components.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/scheduling_policy.h"
#include "scheduler/task_commands.h"

namespace eiderreel {

namespace {

// Calls `action` with the key and the task for each task of the job on this machine.
template <class Action>
void for_each_task_of_job(ScheduledMachine& machine, const std::string& job, const Action& action) {
  for (auto task = machine.tasks.lower_bound({job, 0});
       task != machine.tasks.end() && task->first.job == job; ++task)
    action(task->first, task->second);
}

}  // namespace

PartitionScheduler::PartitionScheduler(int index, std::uint64_t fencing_token, Ms claimed_at,
                                       SchedulingPolicy policy, std::vector<Team> teams)
    : components_(std::make_unique<PartitionComponents>(index, fencing_token, claimed_at,
                                                        std::move(policy), std::move(teams))) {}

PartitionScheduler::~PartitionScheduler() = default;
PartitionScheduler::PartitionScheduler(PartitionScheduler&& other) noexcept = default;
PartitionScheduler& PartitionScheduler::operator=(PartitionScheduler&& other) noexcept = default;

int PartitionScheduler::index() const { return components_->index; }

std::uint64_t PartitionScheduler::fencing_token() const {
  return components_->machines.fencing_token();
}

// ---------------------------------------------------------------------------- machines

void PartitionScheduler::add_machine(const std::string& id, std::uint64_t revision,
                                     bool assigned_after_claim, Ms now) {
  components_->machines.add(id, revision, assigned_after_claim, now);
}

void PartitionScheduler::remove_machine(const std::string& id) {
  ScheduledMachine* const machine = components_->machines.find(id);
  if (!machine) return;
  components_->bindings.release_all(*machine, components_->now);
  components_->machines.erase(id);
}

bool PartitionScheduler::has_machine(const std::string& id) const {
  return components_->machines.find(id) != nullptr;
}

std::vector<std::string> PartitionScheduler::machine_names() const {
  return components_->machines.names();
}

std::uint64_t PartitionScheduler::fencing_token_of(const std::string& id) const {
  const ScheduledMachine* machine = components_->machines.find(id);
  return machine ? components_->machines.fencing_token_of(*machine) : fencing_token();
}

void PartitionScheduler::set_types(const std::vector<MachineType>& types) {
  components_->machines.set_types(types);
}

bool PartitionScheduler::begin_transfer(const std::string& id) {
  if (!is_idle(id)) return false;
  components_->machines.find(id)->transferring = true;
  return true;
}

void PartitionScheduler::cancel_transfer(const std::string& id) {
  if (ScheduledMachine* const machine = components_->machines.find(id))
    machine->transferring = false;
}

bool PartitionScheduler::is_idle(const std::string& id) const {
  const ScheduledMachine* machine = components_->machines.find(id);
  return machine != nullptr && machine->reconciled && machine->tasks.empty();
}

std::vector<std::string> PartitionScheduler::idle_machines(bool spot, double cpus,
                                                           bool only_releasable, Ms now) const {
  return components_->load_report.idle_machines(spot, cpus, only_releasable, now);
}

void PartitionScheduler::cordon(double cpus, bool drain, Ms now) {
  components_->draining.cordon(cpus, drain, now);
}

std::vector<std::string> PartitionScheduler::fullest_first(
    std::vector<std::string> machines) const {
  return components_->machines.fullest_first(std::move(machines));
}

// -------------------------------------------------------------------------------- jobs

void PartitionScheduler::open_job(const JobSpec& spec, std::uint64_t revision, bool predates_claim,
                                  const std::vector<std::uint32_t>& done, Ms time_since_ready,
                                  Ms time_before_ready) {
  if (has_job(spec.id)) return;
  const std::optional<std::size_t> team = components_->teams.find(spec.team);
  if (!team) return;
  if (components_->images.size() >= constants::kMaxRetainedImages + components_->jobs.size())
    reset_image_numbers();
  auto job = std::make_unique<ScheduledJob>();
  job->spec = spec;
  job->revision = revision;
  job->predates_claim = predates_claim;
  job->team = *team;
  job->image = components_->images.number(spec.image);
  job->tasks.assign(spec.tasks, TaskState::queued);
  job->queued = spec.tasks;
  job->restore_done(done);
  job->has_started = job->done > 0;
  job->waiting_since = components_->now;
  job->ready_at = components_->now - time_since_ready;
  job->submitted_at = job->ready_at - time_before_ready;
  job->priority = spec.priority;
  job->set_target_times(components_->policy);
  components_->jobs.open(std::move(job), components_->now);
}

// Numbers the images anew. With a new image for every job the numbers would otherwise grow without
// bound. Only the images of bound tasks stay known as cached on their machines; for other images a
// fetch may be expected that is not needed, until a task with the image is bound to the machine
// again.
void PartitionScheduler::reset_image_numbers() {
  components_->images.clear();
  components_->totals.forget_images();
  for (ScheduledJob* job : components_->jobs.jobs())
    job->image = components_->images.number(job->spec.image);
  for (const auto& [id, machine] : components_->machines) {
    machine->images.clear();
    for (const auto& [key, task] : machine->tasks)
      if (task.job) machine->images.insert(task.job->image);
  }
}

void PartitionScheduler::set_urgency(const std::string& id, Priority priority,
                                     std::optional<Ms> finish_by) {
  ScheduledJob* const job = components_->jobs.find(id);
  if (!job) return;
  job->priority = std::max(job->spec.priority, priority);
  job->finish_by = finish_by;
  job->set_target_times(components_->policy);
  components_->jobs.sort(components_->now);
}

bool PartitionScheduler::has_job(const std::string& id) const {
  return components_->jobs.find(id) != nullptr;
}

std::size_t PartitionScheduler::job_count() const { return components_->jobs.size(); }

std::optional<JobStatus> PartitionScheduler::status(const std::string& id) const {
  const ScheduledJob* job = components_->jobs.find(id);
  if (!job) return std::nullopt;
  return JobStatus{job->running > 0 ? JobPhase::running : JobPhase::queued, job->done,
                   job->running};
}

std::uint64_t PartitionScheduler::job_revision(const std::string& id) const {
  const ScheduledJob* job = components_->jobs.find(id);
  return job ? job->revision : 0;
}

std::uint32_t PartitionScheduler::task_count(const std::string& id) const {
  const ScheduledJob* job = components_->jobs.find(id);
  return job ? job->spec.tasks : 0;
}

bool PartitionScheduler::is_complete(const std::string& id) const {
  const ScheduledJob* job = components_->jobs.find(id);
  return job != nullptr && job->is_complete();
}

void PartitionScheduler::begin_finalizing(const std::string& id) {
  if (ScheduledJob* const job = components_->jobs.find(id)) job->finalizing = true;
}

bool PartitionScheduler::is_finalizing(const std::string& id) const {
  const ScheduledJob* job = components_->jobs.find(id);
  return job != nullptr && job->finalizing;
}

void PartitionScheduler::kill_tasks(const std::string& job) {
  for (const auto& entry : components_->machines) {
    ScheduledMachine& machine = *entry.second;
    for_each_task_of_job(machine, job, [this, &machine](const TaskKey& key, BoundTask& task) {
      task.stop_grace_s = 0;
      components_->kills[machine.id].push_back(kill_command(key, task.attempt, 0));
    });
  }
}

void PartitionScheduler::cancel_job(const std::string& id) {
  ScheduledJob* const job = components_->jobs.find(id);
  if (!job || job->cancelling) return;
  job->finalizing = true;
  job->cancelling = true;
  kill_tasks(id);
}

void PartitionScheduler::close_job(const std::string& id) {
  const ScheduledJob* job = components_->jobs.find(id);
  if (!job) return;
  if (!job->cancelling) kill_tasks(id);
  // An orphan holds its room and counts towards its team's usage until it is proven gone.
  for (const auto& [name, machine] : components_->machines)
    for_each_task_of_job(*machine, id, [](const TaskKey&, BoundTask& task) {
      task.job = nullptr;
      task.stop_grace_s = 0;
    });
  components_->jobs.close(id);
}

std::vector<std::uint32_t> PartitionScheduler::unrecorded_tasks(const std::string& id) const {
  std::vector<std::uint32_t> indexes;
  const ScheduledJob* job = components_->jobs.find(id);
  if (!job || job->unrecorded == 0) return indexes;
  for (std::uint32_t index = 0; index < job->spec.tasks; ++index)
    if (job->tasks[index] == TaskState::done) indexes.push_back(index);
  return indexes;
}

void PartitionScheduler::mark_recorded(const std::string& id,
                                       const std::vector<std::uint32_t>& tasks) {
  if (ScheduledJob* const job = components_->jobs.find(id)) job->set_recorded(tasks);
}

std::vector<std::string> PartitionScheduler::jobs_to_record() const {
  std::vector<std::string> ids;
  for (const ScheduledJob* job : components_->jobs.jobs())
    if (job->unrecorded > 0 || job->is_complete() || job->finalizing) ids.push_back(job->spec.id);
  return ids;
}

std::vector<std::uint32_t> PartitionScheduler::done_tasks(const std::string& id,
                                                          std::uint32_t first,
                                                          std::uint32_t count) const {
  std::vector<std::uint32_t> indexes;
  const ScheduledJob* job = components_->jobs.find(id);
  if (!job) return indexes;
  const std::uint32_t end = std::min(job->spec.tasks, first + count);
  for (std::uint32_t index = first; index < end; ++index)
    if (job->tasks[index] >= TaskState::done) indexes.push_back(index);
  return indexes;
}

// ------------------------------------------------------------------------------ events

HeartbeatReply PartitionScheduler::on_heartbeat(const Heartbeat& heartbeat, Ms now) {
  components_->now = now;
  return components_->reconciler.reconcile(heartbeat, now);
}

std::vector<Command> PartitionScheduler::place_tasks(const std::string& machine, Ms now) {
  components_->now = now;
  ScheduledMachine* const found = components_->machines.find(machine);
  if (!found) return {};
  return components_->placement.place(*found, now);
}

void PartitionScheduler::heartbeat_answered(const std::string& machine, Ms now) {
  if (ScheduledMachine* const found = components_->machines.find(machine))
    found->last_ok_reply_at = now;
}

std::vector<std::string> PartitionScheduler::tick(Ms now) {
  components_->now = now;
  std::vector<std::string> expired;
  const Ms lease_limit_ms = static_cast<Ms>(static_cast<double>(components_->policy.lease_ms) *
                                            (1 + constants::kClockDriftShare)) +
                            constants::kWorkerLeaseMarginMs;
  for (const auto& [id, machine] : components_->machines) {
    if (machine->lease_expired || now - machine->last_ok_reply_at <= lease_limit_ms) continue;
    // Invariant 5: no reply can have renewed the lease in this time, so the worker's lease has
    // expired and it has killed all its tasks.
    components_->bindings.release_all(*machine, now);
    components_->machines.mark_reconciled(*machine);
    machine->lease_expired = true;
    machine->token_announcements = 0;
    expired.push_back(id);
  }
  components_->totals.update(now);
  components_->consolidation.update(now);
  components_->jobs.sort_if_due(now);
  return expired;
}

void PartitionScheduler::machine_terminated(const std::string& id, Ms /*now*/) {
  ScheduledMachine* const machine = components_->machines.find(id);
  if (!machine) return;
  components_->bindings.release_all(*machine, components_->now);
  components_->machines.mark_reconciled(*machine);
  machine->lease_expired = true;
}

Ms PartitionScheduler::defer_ms(const std::string& machine) const {
  const ScheduledMachine* found = components_->machines.find(machine);
  if (!found || !found->reconciled || found->transferring || !found->type || found->reclaim_at)
    return 0;
  // A worker whose reply is deferred cannot report a finished task, so the deferral is long only
  // for idle machines and machines with services, whose tasks do not finish by themselves. For
  // others it is no longer than a worker would wait between two heartbeats. A machine with services
  // has their images cached: with a deferred reply, the next service can be placed on it at once.
  const bool long_deferral = found->tasks.empty() || found->service_cpus > 0;
  return long_deferral ? std::min(constants::kMaxIdleDeferralMs,
                                  components_->policy.heartbeat_interval_ms * 4 / 5)
                       : constants::kMaxBusyDeferralMs;
}

bool PartitionScheduler::has_waiting_tasks() { return components_->jobs.has_waiting_tasks(); }

std::vector<PartitionScheduler::KillBatch> PartitionScheduler::take_kills() {
  std::vector<KillBatch> batches;
  for (auto& [id, commands] : std::exchange(components_->kills, {})) {
    const ScheduledMachine* machine = components_->machines.find(id);
    if (!machine || !machine->heartbeat_received || machine->lease_expired) continue;
    batches.push_back({id, machine->addr, machine->incarnation,
                       components_->machines.fencing_token_of(*machine), std::move(commands)});
  }
  return batches;
}

void PartitionScheduler::retry_kills(const std::string& machine) {
  const ScheduledMachine* found = components_->machines.find(machine);
  if (!found) return;
  for (const auto& [key, task] : found->tasks)
    if (task.stop_grace_s == 0.0)
      components_->kills[machine].push_back(kill_command(key, task.attempt, 0));
}

// ------------------------------------------------------------------------ measurements

PartitionLoad PartitionScheduler::load(Ms now) const {
  return components_->load_report.measure(now);
}

PartitionScheduler::TaskCounts PartitionScheduler::task_counts() const {
  TaskCounts counts;
  for (const ScheduledJob* job : components_->jobs.jobs()) {
    ++(job->running > 0 ? counts.jobs_running : counts.jobs_queued);
    counts.queued += job->queued;
    counts.bound += job->bound;
    counts.running += job->running;
    counts.done += job->done;
  }
  return counts;
}

std::uint64_t PartitionScheduler::steps() const {
  return components_->jobs.steps() + components_->delays.machines_examined() +
         components_->preemption.jobs_examined();
}

std::size_t PartitionScheduler::numbered_image_count() const { return components_->images.size(); }

std::uint64_t PartitionScheduler::take_preemptions() {
  return components_->preemption.take_preempted_count();
}

}  // namespace eiderreel
