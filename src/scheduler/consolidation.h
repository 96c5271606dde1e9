// Lets machines run empty while there is more room than the queue asks for.
#pragma once
#include <vector>

#include "constants.h"
#include "scheduler/capacity_totals.h"
#include "scheduler/job_queue.h"
#include "scheduler/machine_pool.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

/// Chooses the machines that are consolidated: they take no work that others can take, so that they
/// run empty and the cluster leader may move or return them.
class Consolidation {
 public:
  Consolidation(const MachinePool& machines, const JobQueue& jobs, CapacityTotals& totals)
      : machines_(machines), jobs_(jobs), totals_(totals) {}

  /// Consolidates more machines, or takes some into use again. Follows an update of the totals.
  void update(Ms now);

 private:
  void start(double surplus, Ms now);
  void stop(double wanted, Ms now);
  std::vector<ScheduledMachine*> by_time_to_empty(Ms now, bool consolidating) const;

  const MachinePool& machines_;
  const JobQueue& jobs_;
  CapacityTotals& totals_;
  Ms surplus_since_ = 0;
};

}  // namespace eiderreel
