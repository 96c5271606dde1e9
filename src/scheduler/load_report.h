// What a partition lacks and what it can give away.
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

/// Looks at a partition for the cluster leader. Changes nothing.
class LoadReport {
 public:
  LoadReport(const TeamUsage& teams, const MachinePool& machines, const JobQueue& jobs,
             const CapacityTotals& totals)
      : teams_(teams), machines_(machines), jobs_(jobs), totals_(totals) {}

  /// What the cluster leader is told.
  PartitionLoad measure(Ms now) const;
  /// Idle machines of one kind, the longest idle first, of up to so many CPUs together. `rested`:
  /// only those that have held nothing for so long that they may go back.
  std::vector<std::string> idle_machines(bool spot, double cpus, bool rested, Ms now) const;

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
