// Activates partitions after their claim is committed: loads stored progress, machines and jobs.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leadership/leadership_counters.h"
#include "leadership/led_partitions.h"
#include "leadership/partition_jobs.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Creates the schedulers of newly claimed partitions.
class PartitionActivation {
 public:
  PartitionActivation(Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
                      LedPartitions& led, PartitionJobs& jobs, LeadershipCounters& counters)
      : runtime_(runtime),
        settings_(settings),
        state_store_(state_store),
        led_partitions_(led),
        jobs_(jobs),
        counters_(counters) {}

  /// Begins a term. Does nothing if this controller already leads the partition.
  void activate(const LeadershipTerm& term);
  /// Sets the machine types of the cloud for all led partitions, also those claimed later.
  void set_types(const std::vector<MachineType>& types);

 private:
  using DoneTasks = std::map<std::string, std::vector<std::uint32_t>>;  // by job

  SchedulingPolicy scheduling_policy() const;
  void load_progress(const LeadershipTerm& term);
  DoneTasks parse_progress(LedPartition& led, const std::vector<codec::StateRow>& rows) const;
  void complete_activation(LedPartition& led, const DoneTasks& done);

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  LedPartitions& led_partitions_;
  PartitionJobs& jobs_;
  LeadershipCounters& counters_;
  std::vector<MachineType> types_;
};

}  // namespace eiderreel
