// Lets machines run empty while the partition has more free capacity than its queue needs.
#pragma once
#include <vector>

#include "constants.h"
#include "scheduler/capacity_totals.h"
#include "scheduler/job_queue.h"
#include "scheduler/machine_pool.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

/// Chooses the machines that are consolidated. Such a machine takes no tasks that other machines
/// can take, so that it becomes idle, and the cluster leader may move it to another partition or
/// return it to the cloud.
class Consolidation {
 public:
  Consolidation(const MachinePool& machines, const JobQueue& jobs, CapacityTotals& totals)
      : machines_(machines), jobs_(jobs), totals_(totals) {}

  /// Consolidates more machines, or puts some back into use. Must be called after
  /// `CapacityTotals::update`.
  void update(Ms now);

 private:
  void consolidate_machines(double surplus_cpus, Ms now);
  void resume_machines(double needed_cpus, Ms now);
  std::vector<ScheduledMachine*> sorted_by_time_to_empty(Ms now, bool consolidating) const;

  const MachinePool& machines_;
  const JobQueue& jobs_;
  CapacityTotals& totals_;
  Ms surplus_since_ = 0;
};

}  // namespace eiderreel
