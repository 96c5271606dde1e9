// The unmet demand and the idle capacity of a partition.
#pragma once
#include <string>
#include <vector>

#include "constants.h"
#include "model/load.h"
#include "scheduler/capacity_totals.h"
#include "scheduler/job_queue.h"
#include "scheduler/machine_pool.h"
#include "scheduler/team_usage.h"

namespace eiderreel {

/// Measures the load of a partition for the cluster leader. Read-only.
class LoadReport {
 public:
  LoadReport(const TeamUsage& teams, const MachinePool& machines, const JobQueue& jobs,
             const CapacityTotals& totals)
      : teams_(teams), machines_(machines), jobs_(jobs), totals_(totals) {}

  /// The load that is reported to the cluster leader.
  PartitionLoad measure(Ms now) const;
  /// Idle machines, either spot or on-demand, the longest idle first, with at most `cpus` CPUs in
  /// total. `only_releasable`: only those that have been idle long enough to be returned to the
  /// cloud.
  std::vector<std::string> idle_machines(bool spot, double cpus, bool only_releasable,
                                         Ms now) const;

 private:
  void add_jobs(PartitionLoad& load, Ms now) const;
  void add_machines(PartitionLoad& load, Ms now) const;
  double unschedulable_cpus(const ScheduledJob& job, Ms now) const;

  const TeamUsage& teams_;
  const MachinePool& machines_;
  const JobQueue& jobs_;
  const CapacityTotals& totals_;
};

}  // namespace eiderreel
