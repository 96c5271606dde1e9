// The components of a partition's scheduler and their dependencies.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "constants.h"
#include "model/heartbeat.h"
#include "model/team.h"
#include "scheduler/capacity_totals.h"
#include "scheduler/consolidation.h"
#include "scheduler/delay_scheduling.h"
#include "scheduler/draining.h"
#include "scheduler/heartbeat_reconciler.h"
#include "scheduler/image_catalog.h"
#include "scheduler/job_queue.h"
#include "scheduler/load_report.h"
#include "scheduler/machine_pool.h"
#include "scheduler/placement.h"
#include "scheduler/placement_rules.h"
#include "scheduler/preemption.h"
#include "scheduler/reservation.h"
#include "scheduler/scheduling_policy.h"
#include "scheduler/task_bindings.h"
#include "scheduler/task_commands.h"
#include "scheduler/team_usage.h"

namespace eiderreel {

/// Owns the components of one partition: first the state, then the components that make decisions
/// on it. Components hold references to those declared before them, so the struct can't be copied
/// or moved, and the order of its members matters.
struct PartitionComponents {
  PartitionComponents(int partition, std::uint64_t fencing_token, Ms claimed_at,
                      SchedulingPolicy scheduling_policy, std::vector<Team> partition_teams)
      : index(partition),
        now(claimed_at),
        policy(std::move(scheduling_policy)),
        teams(std::move(partition_teams)),
        machines(fencing_token, claimed_at) {}
  ~PartitionComponents() = default;
  PartitionComponents(const PartitionComponents&) = delete;
  PartitionComponents& operator=(const PartitionComponents&) = delete;
  PartitionComponents(PartitionComponents&&) = delete;
  PartitionComponents& operator=(PartitionComponents&&) = delete;

  int index;
  Ms now;  // time of the newest event
  SchedulingPolicy policy;
  TeamUsage teams;
  ImageCatalog images;
  MachinePool machines;
  JobQueue jobs{policy};
  std::map<std::string, std::vector<Command>> kills;  // kill commands not sent yet, by machine

  CapacityTotals totals{machines, jobs, images};
  Consolidation consolidation{machines, jobs, totals};
  TaskBindings bindings{teams, machines, jobs, totals};
  HeartbeatReconciler reconciler{policy, machines, jobs, bindings};
  PlacementRules rules{teams, machines};
  Reservation reservation{policy, machines, jobs, rules};
  TaskLauncher launcher{machines, bindings, reservation};
  DelayScheduling delays{policy, machines, totals};
  Preemption preemption{{policy, teams, totals, rules, reservation}, jobs, delays, launcher};
  Draining draining{machines, rules};
  Placement placement{
      teams, machines, jobs, {rules, reservation, delays, draining, launcher, preemption}};
  LoadReport load_report{teams, machines, jobs, totals};
};

}  // namespace eiderreel
