// What controllers tell each other of their load.
#pragma once
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace eiderreel {

/// What a partition lacks and what it can give away, told to the cluster leader.
struct PartitionLoad {
  double waiting_cpus = 0;          // of tasks that could start now if there were room
  double waiting_spot_cpus = 0;     // of those, what may run on spot machines
  double waiting_service_cpus = 0;  // of those, what belongs to services
  double waiting_core_s = 0;        // work of the waiting tasks by their submitters' estimates
  double slack_s = 0;  // usual time between a job's estimate and its deadline; 0: unknown
  double wait_s = 0;   // the shortest in which a job array should start; 0: none stated
  double used_cpus = 0;
  double used_service_cpus = 0;
  double total_cpus = 0;  // of all machines
  double spot_cpus = 0;   // of spot machines
  // Of machines that hold nothing, and of those that have held nothing for so long that they may be
  // scaled in; on-demand and spot ones. Never by name: a partition may have hundreds.
  double idle_cpus = 0;
  double idle_spot_cpus = 0;
  double releasable_cpus = 0;
  double releasable_spot_cpus = 0;
  std::uint32_t idle_machines = 0;
  double waited_s = 0;  // the longest that a job of which nothing runs has waited
  // Jobs bound to a zone or to types, and the CPUs that they lack there; room elsewhere is of no
  // use to them. The first few in the order of the queue.
  std::vector<std::pair<std::string, double>> unschedulable;
};

/// What a controller takes of the state store's rate limits.
struct StoreUsage {
  double requests = 0;  // a second
  double changes = 0;   // a second
};

/// How far the conversion of stored progress has come in the partitions of a controller.
struct ConversionProgress {
  std::uint64_t values_left = 0;       // in the form that is to go
  std::uint64_t values_converted = 0;  // by this process
  std::uint64_t unreadable = 0;        // in neither form; left as they are
  double values_per_s = 0;
};

}  // namespace eiderreel
