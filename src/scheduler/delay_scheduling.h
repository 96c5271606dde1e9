// Which tasks wait a moment for a better machine than the one that could take them now.
#pragma once
#include <cstdint>

#include "constants.h"
#include "scheduler/capacity_totals.h"
#include "scheduler/machine_pool.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/scheduling_policy.h"

namespace eiderreel {

/// Delay scheduling: a job passes over a machine for a short time, so that it finds one which has
/// its image, which is fuller, or which runs other services.
class DelayScheduling {
 public:
  DelayScheduling(const SchedulingPolicy& policy, const MachinePool& machines,
                  const CapacityTotals& totals)
      : policy_(policy), machines_(machines), totals_(totals) {}

  /// Whether the job waits for a machine that has its image or, as a service, runs more services.
  bool waits_for_image(const ScheduledMachine& machine, ScheduledJob& job, Ms now);
  /// Whether the job leaves this machine, which is consolidated, to run empty.
  bool spares_consolidating(const ScheduledMachine& machine, const ScheduledJob& job, Ms now) const;
  /// Whether the tasks that wait are left to machines that are fuller than this one.
  bool waits_for_fuller(const ScheduledMachine& machine, const ScheduledJob& job, Ms now) const;
  /// Machines looked at since the start.
  std::uint64_t steps() const { return steps_; }

 private:
  const ImageSurvey& survey_image(ScheduledJob& job, Ms now);
  Ms pack_ms() const;

  const SchedulingPolicy& policy_;
  const MachinePool& machines_;
  const CapacityTotals& totals_;
  std::uint64_t steps_ = 0;
};

}  // namespace eiderreel
