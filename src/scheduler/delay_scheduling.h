// Lets jobs wait a short time for a better machine than the one that has room for them now.
#pragma once
#include <cstdint>

#include "constants.h"
#include "scheduler/capacity_totals.h"
#include "scheduler/machine_pool.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/scheduling_policy.h"

namespace eiderreel {

/// Delay scheduling: for a short time a job declines machines with room, in order to start on one
/// that has its image, is fuller, or runs other services.
class DelayScheduling {
 public:
  DelayScheduling(const SchedulingPolicy& policy, const MachinePool& machines,
                  const CapacityTotals& totals)
      : policy_(policy), machines_(machines), totals_(totals) {}

  /// Whether the job declines this machine in favour of one that has its image or, if the job is a
  /// service, of one that runs more services.
  bool waits_for_preferred_machine(const ScheduledMachine& machine, ScheduledJob& job, Ms now);
  /// Whether the job declines this machine because the machine is consolidated and should run
  /// empty.
  bool avoids_consolidating_machine(const ScheduledMachine& machine, const ScheduledJob& job,
                                    Ms now) const;
  /// Whether the job declines this machine because fuller ones have room for all its waiting tasks.
  bool waits_for_fuller_machine(const ScheduledMachine& machine, const ScheduledJob& job,
                                Ms now) const;
  /// Number of machines examined in image surveys since the start.
  std::uint64_t machines_examined() const { return machines_examined_; }

 private:
  const ImageSurvey& survey_image(ScheduledJob& job, Ms now);
  Ms packing_wait_ms() const;

  const SchedulingPolicy& policy_;
  const MachinePool& machines_;
  const CapacityTotals& totals_;
  std::uint64_t machines_examined_ = 0;
};

}  // namespace eiderreel
