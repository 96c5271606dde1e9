// Decides which machines are consolidated and when they are put back into use.
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
  const double needed_cpus = jobs_.waiting_cpus(now);
  const double surplus_cpus =
      totals_.unconsolidated_free_cpus() - totals_.largest_machine_cpus() / 2 -
      constants::kConsolidationSpareShare * totals_.total_cpus() - needed_cpus;
  if (surplus_cpus <= 0) surplus_since_ = now;
  if (needed_cpus > totals_.unconsolidated_free_cpus()) {
    resume_machines(needed_cpus - totals_.unconsolidated_free_cpus(), now);
  } else if (surplus_cpus > 0 && now - surplus_since_ >= constants::kConsolidationDelayMs) {
    consolidate_machines(surplus_cpus, now);
    surplus_since_ = now - constants::kConsolidationDelayMs + constants::kConsolidationIntervalMs;
  }
}

// Consolidates the machines without services that will be empty soonest, with free CPUs of up to
// `surplus_cpus` in total.
void Consolidation::consolidate_machines(double surplus_cpus, Ms now) {
  for (ScheduledMachine* machine : sorted_by_time_to_empty(now, false)) {
    if (machine->service_cpus > 0) continue;
    const double usable = totals_.usable_free_cpus(*machine);
    if (usable > surplus_cpus) return;
    surplus_cpus -= usable;
    totals_.set_consolidating(*machine, true);
  }
}

// Puts machines back into use, those that stay busy longest first. If machines were put back in the
// order of their heartbeats, each would get a few tasks, and none would ever become idle.
void Consolidation::resume_machines(double needed_cpus, Ms now) {
  const auto machines = sorted_by_time_to_empty(now, true);
  for (auto machine = machines.rbegin(); machine != machines.rend() && needed_cpus > 0; ++machine) {
    needed_cpus -= totals_.usable_free_cpus(**machine);
    totals_.set_consolidating(**machine, false);
  }
}

// One long task keeps a machine busy as long as sixteen, so the number of tasks is not part of the
// order. Where cost saving pays, spot machines come last.
std::vector<ScheduledMachine*> Consolidation::sorted_by_time_to_empty(Ms now,
                                                                      bool consolidating) const {
  using Key = std::tuple<bool, Ms, double, std::string>;
  std::vector<std::pair<Key, ScheduledMachine*>> keyed;
  const bool spot_last = totals_.cost_saving_pays();
  for (const auto& [id, machine] : machines_)
    if (machine->accepts_tasks(now) && machine->consolidating == consolidating)
      keyed.emplace_back(
          Key{spot_last && machine->spot, machine->empty_at(), machine->used.cpus, id},
          machine.get());
  std::sort(keyed.begin(), keyed.end());
  std::vector<ScheduledMachine*> machines;
  machines.reserve(keyed.size());
  for (const auto& [key, machine] : keyed) machines.push_back(machine);
  return machines;
}

}  // namespace eiderreel
