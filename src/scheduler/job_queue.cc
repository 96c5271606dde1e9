// The order of the queue, and what the jobs in it expect.
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

// The job with the smaller value goes first. `delay`: the job counts as if it could start so much
// later than it can.
auto queue_position(const ScheduledJob& job, Ms delay) {
  // Best-effort work starved behind a queue of higher priority that never ended.
  const Priority priority = job.starved ? std::max(job.priority, Priority::standard) : job.priority;
  return std::tuple(-static_cast<int>(priority), !job.starved, job.missed_objectives,
                    job.latest_start + delay, job.revision);
}

}  // namespace

ScheduledJob* JobQueue::find(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

void JobQueue::open(std::unique_ptr<ScheduledJob> job, Ms now) {
  learn_expectations(*job);
  order_.push_back(job.get());
  sort(now);
  jobs_[job->spec.id] = std::move(job);
}

void JobQueue::learn_expectations(const ScheduledJob& job) {
  if (job.is_service()) return;
  const JobSpec& spec = job.spec;
  if (spec.deadline_s) {
    const double left_s = *spec.deadline_s - static_cast<double>(job.ready - job.submitted) / 1000;
    const double slack = std::max(0.0, left_s - spec.estimate_s);
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
  waiting_valid_ = false;
  jobs_.erase(found);
}

void JobQueue::requeue(ScheduledJob& job, std::uint32_t index, Ms now) {
  if (job.tasks[index] != TaskState::bound) return;
  job.tasks[index] = TaskState::queued;
  if (job.queued++ == 0) {
    job.waiting_since = now;
    waiting_valid_ = false;
  }
  job.first_queued = std::min(job.first_queued, index);
}

// Within a priority, the oldest job goes first if nothing is expected of it. Where an objective or
// a deadline stands, the latest start takes the place of the age: an extension of the design,
// measured (see docs/design.md). A job that can no longer meet an objective lets those that can go
// first, but not for ever.
void JobQueue::sort(Ms now) {
  sorted_at_ = now;
  waiting_valid_ = false;
  for (ScheduledJob* job : order_) job->update_urgency(now);
  std::stable_sort(order_.begin(), order_.end(), [](const ScheduledJob* a, const ScheduledJob* b) {
    return queue_position(*a, 0) < queue_position(*b, 0);
  });
}

void JobQueue::sort_if_due(Ms now) {
  if (now - sorted_at_ >= constants::kQueueSortIntervalMs) sort(now);
}

const std::vector<ScheduledJob*>& JobQueue::waiting() {
  if (waiting_valid_) return waiting_;
  waiting_.clear();
  smallest_waiting_cpus_ = 0;
  for (ScheduledJob* job : order_) {
    if (job->queued == 0) continue;
    smallest_waiting_cpus_ =
        waiting_.empty() ? job->spec.cpus : std::min(smallest_waiting_cpus_, job->spec.cpus);
    waiting_.push_back(job);
  }
  waiting_valid_ = true;
  return waiting_;
}

// A job whose image the machine would have to fetch lets those go first that are nearly as urgent
// and need no fetch. Room held for a fetch does no work: with 23 images on 390 machines a fifth of
// all room was held so.
std::vector<ScheduledJob*> JobQueue::waiting_for(const ScheduledMachine& machine) {
  std::vector<std::pair<ScheduledJob*, Ms>> delayed;
  bool any_fetch = false;
  for (ScheduledJob* job : waiting()) {
    ++steps_;
    delayed.emplace_back(job, machine.fetch_ms(*job) * constants::kFetchPenaltyFactor);
    any_fetch |= delayed.back().second > 0;
  }
  if (any_fetch)
    std::stable_sort(delayed.begin(), delayed.end(), [](const auto& a, const auto& b) {
      return queue_position(*a.first, a.second) < queue_position(*b.first, b.second);
    });
  std::vector<ScheduledJob*> jobs;
  jobs.reserve(delayed.size());
  for (const auto& [job, delay] : delayed) jobs.push_back(job);
  return jobs;
}

bool JobQueue::has_waiting() {
  const auto& jobs = waiting();
  return std::any_of(jobs.begin(), jobs.end(),
                     [](const ScheduledJob* job) { return job->queued > 0 && !job->finalizing; });
}

double JobQueue::waiting_cpus(Ms now) const {
  double sum = 0;
  for (const ScheduledJob* job : order_)
    if (!job->finalizing && job->not_before <= now) sum += job->queued_cpus();
  return sum;
}

double JobQueue::smallest_array_task() const {
  double smallest = 0;
  for (const ScheduledJob* job : order_)
    if (!job->is_service() && (smallest == 0 || job->spec.cpus < smallest))
      smallest = job->spec.cpus;
  return smallest;
}

}  // namespace eiderreel
