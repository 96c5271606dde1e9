// The job queue of a partition: the order in which jobs are served, and which of them are waiting.
#pragma once
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "constants.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/scheduling_policy.h"

namespace eiderreel {

/// Owns the open jobs of a partition and keeps them in the order in which they are served.
class JobQueue {
 public:
  explicit JobQueue(const SchedulingPolicy& policy) : policy_(policy) {}

  /// The job with this id; null if it is not open in this partition.
  ScheduledJob* find(const std::string& id) const;
  /// The number of open jobs.
  std::size_t size() const { return jobs_.size(); }
  /// All open jobs in the order in which they are served.
  const std::vector<ScheduledJob*>& jobs() const { return order_; }

  /// Adds a job, whose times, priority and tasks have been set by the caller.
  void open(std::unique_ptr<ScheduledJob> job, Ms now);
  /// Removes a job; an unknown one is ignored.
  void close(const std::string& id);
  /// Puts a bound task back into the queue.
  void requeue(ScheduledJob& job, std::uint32_t index, Ms now);

  /// Updates the urgency of all jobs and sorts them.
  void sort(Ms now);
  /// Sorts if the last sort is `kQueueSortIntervalMs` or longer ago.
  void sort_if_due(Ms now);

  /// The jobs with queued tasks, in order. The list is cached: jobs whose last queued task has been
  /// bound since may still be in it.
  const std::vector<ScheduledJob*>& waiting_jobs();
  /// CPUs of the smallest task among the jobs that the last call of `waiting_jobs` returned.
  double smallest_waiting_cpus() const { return smallest_waiting_cpus_; }
  /// The waiting jobs in the order in which this machine serves them.
  std::vector<ScheduledJob*> waiting_jobs_for(const ScheduledMachine& machine);
  /// Whether any task is queued whose job is not finalizing.
  bool has_waiting_tasks();

  /// CPUs of all queued tasks whose job is not finalizing and not backing off.
  double waiting_cpus(Ms now) const;
  /// CPUs of the smallest task among the open array jobs; 0 if there are none.
  double smallest_array_task_cpus() const;

  /// The usual slack of jobs in seconds: the moving average of the time left until the deadline,
  /// less the estimated run time; 0 if unknown.
  double slack_s() const { return slack_s_; }
  /// The shortest start objective of array jobs, in seconds; 0 if none is set.
  double wait_s() const { return wait_s_; }
  /// Number of jobs examined by `waiting_jobs_for` since the start.
  std::uint64_t steps() const { return steps_; }

 private:
  void update_objective_stats(const ScheduledJob& job);

  const SchedulingPolicy& policy_;
  std::unordered_map<std::string, std::unique_ptr<ScheduledJob>> jobs_;
  std::vector<ScheduledJob*> order_;
  Ms sorted_at_ = 0;
  std::vector<ScheduledJob*> waiting_jobs_;  // cache, valid while `waiting_jobs_valid_`
  bool waiting_jobs_valid_ = false;
  double smallest_waiting_cpus_ = 0;
  double slack_s_ = 0;
  double wait_s_ = 0;
  std::uint64_t steps_ = 0;
};

}  // namespace eiderreel
