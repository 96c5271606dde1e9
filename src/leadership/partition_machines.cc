// The machines of the led partitions: added, transferred, cordoned or lost.
#include "leadership/partition_machines.h"

#include <spdlog/spdlog.h>

#include "runtime/http_status.h"

namespace eiderreel {

void PartitionMachines::machine_changed(const std::string& machine) {
  const auto& machines = state_store_.view().machines;
  const auto entry = machines.find(machine);
  for (auto& [partition, led] : led_partitions_) {
    if (!led.active) continue;  // the activation reads all machines from the view
    PartitionScheduler& scheduler = *led.scheduler;
    if (entry != machines.end() && entry->second.record.partition == partition) {
      const std::uint64_t revision = entry->second.revision;
      scheduler.add_machine(machine, revision, revision > scheduler.fencing_token(),
                            runtime_.now());
    } else if (scheduler.has_machine(machine)) {
      // The machine was transferred away while idle, by a commit of this controller, or released.
      // No task of this partition runs on it.
      if (const auto reply = led.take_deferred(machine))
        reply(http_status::kServiceUnavailable, "");
      scheduler.remove_machine(machine);
    }
  }
}

void PartitionMachines::machines_terminated(const std::vector<std::string>& machines) {
  for (auto& [partition, led] : led_partitions_)
    for (const auto& machine : machines) {
      if (!led.scheduler->has_machine(machine)) continue;
      spdlog::info("machine lost machine={} partition={} proof=cloud", machine, partition);
      led.scheduler->machine_terminated(machine, runtime_.now());
    }
}

void PartitionMachines::cordon(const peer_rpc::CordonRequest& request) {
  if (LedPartition* led = led_partitions_.find_acting(request.partition))
    led->scheduler->cordon(request.cpus, request.drain, runtime_.now());
}

// While this controller may not act, the machines send their heartbeats to another one, so an
// expired lease does not count as a lost machine.
void PartitionMachines::expire_leases(LedPartition& led) {
  PartitionScheduler& scheduler = *led.scheduler;
  const bool acting = led_partitions_.is_acting_leader(scheduler.index());
  for (const auto& machine : scheduler.tick(runtime_.now())) {
    if (!acting) continue;
    ++counters_.lease_expiries;
    spdlog::info("machine lost machine={} partition={} fencing_token={} proof=lease-expiry",
                 machine, scheduler.index(), scheduler.fencing_token_of(machine));
  }
}

}  // namespace eiderreel
