// Frees resources for waiting jobs by stopping running tasks.
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

/// Read-only inputs of all preemption decisions.
struct PreemptionInputs {
  const SchedulingPolicy& policy;
  const TeamUsage& teams;
  const CapacityTotals& totals;
  const PlacementRules& rules;
  const Reservation& reservation;
};

/// Preempts tasks of lower priority and, for a team below its fair share, tasks that run on
/// capacity borrowed by other teams.
class Preemption {
 public:
  Preemption(PreemptionInputs inputs, JobQueue& jobs, DelayScheduling& delays,
             TaskLauncher& launcher)
      : inputs_(inputs), jobs_(jobs), delays_(delays), launcher_(launcher) {}

  /// Preempts tasks on this machine for jobs that have waited long enough, and starts tasks of
  /// those jobs on it.
  void make_room(ScheduledMachine& machine, const UnreconciledMachines& unreconciled, Ms now,
                 std::vector<Command>& commands);
  /// Returns the number of tasks preempted since the last call.
  std::uint64_t take_preempted_count() { return std::exchange(preempted_count_, 0); }
  /// Number of waiting jobs examined since the start.
  std::uint64_t jobs_examined() const { return jobs_examined_; }

 private:
  // Why a job may preempt tasks of other jobs.
  enum class PreemptionReason : std::uint8_t { priority, fair_share };
  using Victim = std::map<TaskKey, BoundTask>::value_type;

  bool within_fair_share(const ScheduledJob& job) const;
  bool may_preempt(const BoundTask& task, const ScheduledJob& job, PreemptionReason reason,
                   Ms now) const;
  std::vector<Victim*> candidates(ScheduledMachine& machine, const ScheduledJob& job,
                                  PreemptionReason reason, Ms now) const;
  std::optional<std::vector<Victim*>> choose_victims(ScheduledMachine& machine,
                                                     const ScheduledJob& job,
                                                     PreemptionReason reason, Ms now) const;
  bool preempt_for(ScheduledMachine& machine, ScheduledJob& job, PreemptionReason reason,
                   const UnreconciledMachines& unreconciled, Ms now,
                   std::vector<Command>& commands);

  PreemptionInputs inputs_;
  JobQueue& jobs_;
  DelayScheduling& delays_;
  TaskLauncher& launcher_;
  std::uint64_t preempted_count_ = 0;
  std::uint64_t jobs_examined_ = 0;
};

}  // namespace eiderreel
