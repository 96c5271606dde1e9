// The order of the queue, and statistics of the objectives of its jobs.
#include "scheduler/job_queue.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "constants.h"
#include "model/job.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {
namespace {

// Sort key of a job; the smallest key is served first. `delay_ms` is added to the job's latest
// start, so that the job counts as less urgent.
auto queue_position(const ScheduledJob& job, Ms delay_ms) {
  // Best-effort jobs starved behind an endless supply of jobs with higher priority, so a starved
  // job is served with at least standard priority.
  const Priority priority = job.starved ? std::max(job.priority, Priority::standard) : job.priority;
  return std::tuple(-static_cast<int>(priority), !job.starved, job.missed_objectives,
                    job.latest_start + delay_ms, job.revision);
}

}  // namespace

ScheduledJob* JobQueue::find(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

void JobQueue::open(std::unique_ptr<ScheduledJob> job, Ms now) {
  update_objective_stats(*job);
  order_.push_back(job.get());
  sort(now);
  jobs_[job->spec.id] = std::move(job);
}

void JobQueue::update_objective_stats(const ScheduledJob& job) {
  if (job.is_service()) return;
  const JobSpec& spec = job.spec;
  if (spec.deadline_s) {
    const double remaining_s =
        *spec.deadline_s - static_cast<double>(job.ready_at - job.submitted_at) / 1000;
    const double slack = std::max(0.0, remaining_s - spec.estimate_s);
    slack_s_ =
        slack_s_ == 0 ? slack : slack_s_ + (slack - slack_s_) * constants::kSlackAverageWeight;
  }
  const auto objective = policy_.start_objectives_s.find(spec.jobclass);
  if (objective == policy_.start_objectives_s.end() || objective->second <= 0) return;
  wait_s_ = wait_s_ == 0 ? objective->second : std::min(wait_s_, objective->second);
}

void JobQueue::close(const std::string& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  order_.erase(std::find(order_.begin(), order_.end(), found->second.get()));
  waiting_jobs_valid_ = false;
  jobs_.erase(found);
}

void JobQueue::requeue(ScheduledJob& job, std::uint32_t index, Ms now) {
  if (job.tasks[index] != TaskState::bound) return;
  job.tasks[index] = TaskState::queued;
  if (job.queued++ == 0) {
    job.waiting_since = now;
    waiting_jobs_valid_ = false;
  }
  job.first_queued = std::min(job.first_queued, index);
}

// Within a priority, jobs without objective or deadline are served oldest first. For a job with an
// objective or a deadline the latest start replaces the age; this extends the design (measurements
// in docs/design.md). A job that can no longer meet an objective is served after those that can,
// but only for a limited time (see `ScheduledJob::update_urgency`).
void JobQueue::sort(Ms now) {
  sorted_at_ = now;
  waiting_jobs_valid_ = false;
  for (ScheduledJob* job : order_) job->update_urgency(now);
  std::stable_sort(order_.begin(), order_.end(), [](const ScheduledJob* a, const ScheduledJob* b) {
    return queue_position(*a, 0) < queue_position(*b, 0);
  });
}

void JobQueue::sort_if_due(Ms now) {
  if (now - sorted_at_ >= constants::kQueueSortIntervalMs) sort(now);
}

const std::vector<ScheduledJob*>& JobQueue::waiting_jobs() {
  if (waiting_jobs_valid_) return waiting_jobs_;
  waiting_jobs_.clear();
  smallest_waiting_cpus_ = 0;
  for (ScheduledJob* job : order_) {
    if (job->queued == 0) continue;
    smallest_waiting_cpus_ =
        waiting_jobs_.empty() ? job->spec.cpus : std::min(smallest_waiting_cpus_, job->spec.cpus);
    waiting_jobs_.push_back(job);
  }
  waiting_jobs_valid_ = true;
  return waiting_jobs_;
}

// Jobs whose image the machine would have to fetch are served after jobs that are nearly as urgent
// and need no fetch. Room held during a fetch is idle: with 23 images on 390 machines a fifth of
// all room was held by fetches.
std::vector<ScheduledJob*> JobQueue::waiting_jobs_for(const ScheduledMachine& machine) {
  std::vector<std::pair<ScheduledJob*, Ms>> ranked;
  bool fetch_needed = false;
  for (ScheduledJob* job : waiting_jobs()) {
    ++steps_;
    ranked.emplace_back(job, machine.fetch_ms(*job) * constants::kFetchPenaltyFactor);
    fetch_needed |= ranked.back().second > 0;
  }
  if (fetch_needed)
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
      return queue_position(*a.first, a.second) < queue_position(*b.first, b.second);
    });
  std::vector<ScheduledJob*> jobs;
  jobs.reserve(ranked.size());
  for (const auto& [job, delay_ms] : ranked) jobs.push_back(job);
  return jobs;
}

bool JobQueue::has_waiting_tasks() {
  const auto& jobs = waiting_jobs();
  return std::any_of(jobs.begin(), jobs.end(),
                     [](const ScheduledJob* job) { return job->queued > 0 && !job->finalizing; });
}

double JobQueue::waiting_cpus(Ms now) const {
  double sum = 0;
  for (const ScheduledJob* job : order_)
    if (!job->finalizing && job->not_before <= now) sum += job->queued_cpus();
  return sum;
}

double JobQueue::smallest_array_task_cpus() const {
  double smallest = 0;
  for (const ScheduledJob* job : order_)
    if (!job->is_service() && (smallest == 0 || job->spec.cpus < smallest))
      smallest = job->spec.cpus;
  return smallest;
}

}  // namespace eiderreel
