// Which machines are consolidated, and for how long.
#include "scheduler/consolidation.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "constants.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

void Consolidation::update(Ms now) {
  const double wanted = jobs_.waiting_cpus(now);
  const double surplus = totals_.free_in_use() - totals_.largest_machine_cpus() / 2 -
                         constants::kConsolidationSpareShare * totals_.total_cpus() - wanted;
  if (surplus <= 0) surplus_since_ = now;
  if (wanted > totals_.free_in_use()) {
    stop(wanted - totals_.free_in_use(), now);
  } else if (surplus > 0 && now - surplus_since_ >= constants::kConsolidationDelayMs) {
    start(surplus, now);
    surplus_since_ = now - constants::kConsolidationDelayMs + constants::kConsolidationIntervalMs;
  }
}

// The machines without services that will be empty soonest, of about so much free room.
void Consolidation::start(double surplus, Ms now) {
  for (ScheduledMachine* machine : by_time_to_empty(now, false)) {
    if (machine->service_cpus > 0) continue;
    const double usable = totals_.usable_free_cpus(*machine);
    if (usable > surplus) return;
    surplus -= usable;
    totals_.set_consolidating(*machine, true);
  }
}

// The machines that stay busy longest are taken into use first. If any machine were, as its
// heartbeat comes, each would get a few tasks, and none would ever run empty.
void Consolidation::stop(double wanted, Ms now) {
  const auto machines = by_time_to_empty(now, true);
  for (auto machine = machines.rbegin(); machine != machines.rend() && wanted > 0; ++machine) {
    wanted -= totals_.usable_free_cpus(**machine);
    totals_.set_consolidating(**machine, false);
  }
}

// One long task holds a machine as much as sixteen, so their number does not count. Where cost
// saving pays, spot machines come last.
std::vector<ScheduledMachine*> Consolidation::by_time_to_empty(Ms now, bool consolidating) const {
  using Key = std::tuple<bool, Ms, double, std::string>;
  std::vector<std::pair<Key, ScheduledMachine*>> keyed;
  const bool by_kind = totals_.cost_saving();
  for (const auto& [id, machine] : machines_)
    if (machine->accepts_tasks(now) && machine->consolidating == consolidating)
      keyed.emplace_back(
          Key{by_kind && machine->spot, machine->empty_at(), machine->taken.cpus, id},
          machine.get());
  std::sort(keyed.begin(), keyed.end());
  std::vector<ScheduledMachine*> machines;
  machines.reserve(keyed.size());
  for (const auto& [key, machine] : keyed) machines.push_back(machine);
  return machines;
}

}  // namespace eiderreel
