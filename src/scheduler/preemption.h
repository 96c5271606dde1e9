// Room that is made by stopping other tasks.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "scheduler/capacity_totals.h"
#include "scheduler/delay_scheduling.h"
#include "scheduler/job_queue.h"
#include "scheduler/placement_rules.h"
#include "scheduler/reservation.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"
#include "scheduler/scheduling_policy.h"
#include "scheduler/task_commands.h"
#include "scheduler/team_usage.h"

namespace eiderreel {

/// What all decisions about preemption look at.
struct PreemptionInputs {
  const SchedulingPolicy& policy;
  const TeamUsage& teams;
  const CapacityTotals& totals;
  const PlacementRules& rules;
  const Reservation& reservation;
};

/// Preempts work of lower priority and, for a team below its fair share, what others have borrowed.
class Preemption {
 public:
  Preemption(PreemptionInputs inputs, JobQueue& jobs, DelayScheduling& delays,
             TaskLauncher& launcher)
      : inputs_(inputs), jobs_(jobs), delays_(delays), launcher_(launcher) {}

  /// Makes room on this machine for what has waited long enough, and starts it there.
  void make_room(ScheduledMachine& machine, const UnreconciledMachines& unreconciled, Ms now,
                 std::vector<Command>& out);
  /// Tasks preempted since the last call.
  std::uint64_t take_count() { return std::exchange(count_, 0); }
  /// Jobs looked at since the start.
  std::uint64_t steps() const { return steps_; }

 private:
  // What entitles a job to stop others.
  enum class Ground : std::uint8_t { priority, fair_share };
  using Victim = std::map<TaskKey, BoundTask>::value_type;

  bool within_fair_share(const ScheduledJob& job) const;
  bool may_preempt(const BoundTask& task, const ScheduledJob& job, Ground ground, Ms now) const;
  std::vector<Victim*> candidates(ScheduledMachine& machine, const ScheduledJob& job, Ground ground,
                                  Ms now) const;
  std::optional<std::vector<Victim*>> choose_victims(ScheduledMachine& machine,
                                                     const ScheduledJob& job, Ground ground,
                                                     Ms now) const;
  bool preempt_for(ScheduledMachine& machine, ScheduledJob& job, Ground ground,
                   const UnreconciledMachines& unreconciled, Ms now, std::vector<Command>& out);

  PreemptionInputs inputs_;
  JobQueue& jobs_;
  DelayScheduling& delays_;
  TaskLauncher& launcher_;
  std::uint64_t count_ = 0;
  std::uint64_t steps_ = 0;
};

}  // namespace eiderreel
