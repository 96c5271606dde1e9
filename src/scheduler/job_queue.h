// The queue of a partition: in which order its jobs are served, and which of them wait.
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

/// Owns the open jobs of a partition and keeps them in order.
class JobQueue {
 public:
  explicit JobQueue(const SchedulingPolicy& policy) : policy_(policy) {}

  /// The job of that id; null: it is not open here.
  ScheduledJob* find(const std::string& id) const;
  /// How many jobs are open.
  std::size_t size() const { return jobs_.size(); }
  /// All open jobs in the order in which they are served.
  const std::vector<ScheduledJob*>& jobs() const { return order_; }

  /// Takes in a job. Its times, its priority and its tasks are set already.
  void open(std::unique_ptr<ScheduledJob> job, Ms now);
  /// Removes a job; an unknown one is ignored.
  void close(const std::string& id);
  /// Puts a task that was bound back into the queue.
  void requeue(ScheduledJob& job, std::uint32_t index, Ms now);

  /// Brings the jobs into order.
  void sort(Ms now);
  /// Sorts if the order is older than it may be.
  void sort_if_due(Ms now);

  /// The jobs that have tasks to start, in order. Those that have none any more may still be there.
  const std::vector<ScheduledJob*>& waiting();
  /// CPUs of the smallest task of the jobs that `waiting` has returned last.
  double smallest_waiting_cpus() const { return smallest_waiting_cpus_; }
  /// The waiting jobs in the order in which this machine serves them.
  std::vector<ScheduledJob*> waiting_for(const ScheduledMachine& machine);
  /// Whether some task could start now.
  bool has_waiting();

  /// CPUs of all tasks that could start now.
  double waiting_cpus(Ms now) const;
  /// CPUs of the smallest task of the open arrays; 0: there are none.
  double smallest_array_task() const;

  /// The usual time in seconds between a job's estimate and its deadline; 0: unknown.
  double slack_s() const { return slack_s_; }
  /// The shortest time in seconds in which an array should start; 0: none is stated.
  double wait_s() const { return wait_s_; }
  /// Jobs looked at by `waiting_for` since the start.
  std::uint64_t steps() const { return steps_; }

 private:
  void learn_expectations(const ScheduledJob& job);

  const SchedulingPolicy& policy_;
  std::unordered_map<std::string, std::unique_ptr<ScheduledJob>> jobs_;
  std::vector<ScheduledJob*> order_;
  Ms sorted_at_ = 0;
  std::vector<ScheduledJob*> waiting_;  // as long as `waiting_valid_`
  bool waiting_valid_ = false;
  double smallest_waiting_cpus_ = 0;
  double slack_s_ = 0;
  double wait_s_ = 0;
  std::uint64_t steps_ = 0;
};

}  // namespace eiderreel
