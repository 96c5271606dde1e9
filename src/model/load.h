// Load figures that controllers send to each other.
#pragma once
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace eiderreel {

/// A partition's demand and spare capacity, as reported to the cluster leader.
struct PartitionLoad {
  double waiting_cpus = 0;          // CPUs of tasks that could start now if there were room
  double waiting_spot_cpus = 0;     // the part of waiting_cpus that may run on spot machines
  double waiting_service_cpus = 0;  // the part of waiting_cpus that belongs to services
  double waiting_core_s = 0;  // CPU seconds of the waiting tasks, by the submitters' estimates
  double slack_s = 0;         // average time between a job's estimate and its deadline; 0: unknown
  double start_objective_s = 0;  // shortest start objective of a job array so far; 0: none
  double used_cpus = 0;
  double used_service_cpus = 0;
  double total_cpus = 0;  // CPUs of all machines
  double spot_cpus = 0;   // CPUs of the spot machines
  // CPUs of idle machines, and of those that have been idle for so long that they may be scaled in;
  // on-demand and spot machines separately. These are sums instead of lists of machines, as a
  // partition may have hundreds of them.
  double idle_cpus = 0;
  double idle_spot_cpus = 0;
  double releasable_cpus = 0;
  double releasable_spot_cpus = 0;
  std::uint32_t idle_machines = 0;
  double longest_wait_s = 0;  // the longest wait of a job that has no running task
  // Ids of jobs that are restricted to a zone or to machine types, and the CPUs that they lack on
  // such machines; free CPUs on other machines can't be used by them. The list holds only the first
  // few such jobs in queue order.
  std::vector<std::pair<std::string, double>> unschedulable;
};

/// The part of the state store's rate limits that a controller uses.
struct StoreUsage {
  double requests_per_s = 0;
  double changes_per_s = 0;  // keys written or deleted
};

/// How far the conversion of stored task progress has advanced in the partitions that a controller
/// leads.
struct ConversionProgress {
  std::uint64_t values_left = 0;       // values still stored in the form that is being replaced
  std::uint64_t values_converted = 0;  // values converted by this process since its start
  std::uint64_t unreadable = 0;        // values in neither form; they are left unchanged
  double values_per_s = 0;
};

}  // namespace eiderreel
