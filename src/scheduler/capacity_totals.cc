// Computes the capacity totals of a partition.
#include "scheduler/capacity_totals.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "constants.h"
#include "scheduler/resources.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

void CapacityTotals::update(Ms now) {
  free_on_demand_cpus_ = {};
  free_spot_cpus_ = {};
  unconsolidated_free_cpus_ = 0;
  total_cpus_ = 0;
  largest_machine_cpus_ = 0;
  free_by_image_.assign(images_.size(), 0.0);
  smallest_array_task_cpus_ = jobs_.smallest_array_task_cpus();
  for (const auto& [id, entry] : machines_) {
    const ScheduledMachine& machine = *entry;
    if (!machine.accepts_tasks(now)) continue;
    total_cpus_ += machine.type->cpus;
    largest_machine_cpus_ = std::max(largest_machine_cpus_, machine.type->cpus);
    const double usable = usable_free_cpus(machine);
    free_of_kind(machine.spot)[static_cast<std::size_t>(machine.fill_level())] += usable;
    if (!machine.consolidating) unconsolidated_free_cpus_ += usable;
    if (usable <= 0) continue;
    for (const std::size_t image : machine.images) free_by_image_[image] += usable;
  }
}

void CapacityTotals::add_free_cpus(const ScheduledMachine& machine, double cpus) {
  free_of_kind(machine.spot)[static_cast<std::size_t>(machine.fill_level())] += cpus;
  if (!machine.consolidating) unconsolidated_free_cpus_ += cpus;
}

void CapacityTotals::set_consolidating(ScheduledMachine& machine, bool consolidating) {
  machine.consolidating = consolidating;
  const double usable = usable_free_cpus(machine);
  unconsolidated_free_cpus_ += consolidating ? -usable : usable;
}

double CapacityTotals::usable_free_cpus(const ScheduledMachine& machine) const {
  const double cpus =
      std::max(0.0, machine.type->cpus - machine.used.cpus - machine.service_headroom_cpus());
  if (smallest_array_task_cpus_ <= 0) return cpus;
  return std::floor(cpus / smallest_array_task_cpus_ + kRoundingTolerance) *
         smallest_array_task_cpus_;
}

double CapacityTotals::free_cpus_for(const ScheduledJob& job) const {
  double free_cpus = 0;
  for (std::size_t level = 0; level < kFillLevelCount; ++level)
    free_cpus += free_on_demand_cpus_[level] + (job.spec.spot ? free_spot_cpus_[level] : 0);
  return free_cpus;
}

double CapacityTotals::free_cpus_on_fuller_machines(const ScheduledMachine& machine,
                                                    const ScheduledJob& job) const {
  const auto own_level = static_cast<std::size_t>(machine.fill_level());
  double free_cpus = 0;
  for (std::size_t level = 0; level < kFillLevelCount; ++level) {
    const bool fuller = level > own_level;
    if (fuller) free_cpus += free_on_demand_cpus_[level];
    // Where cost saving pays, spot machines are filled before on-demand ones, which cost more.
    if (job.spec.spot && (fuller || (!machine.spot && cost_saving_pays())))
      free_cpus += free_spot_cpus_[level];
  }
  return free_cpus;
}

bool CapacityTotals::has_room_with_image(const ScheduledJob& job) const {
  return job.image < free_by_image_.size() && free_by_image_[job.image] >= job.spec.cpus;
}

bool CapacityTotals::cost_saving_pays() const {
  return jobs_.slack_s() >= constants::kCostSavingBootFactor * machines_.longest_boot_s();
}

Ms CapacityTotals::min_idle_ms() const {
  return cost_saving_pays() ? constants::kIdleReleaseMs : constants::kShortSlackIdleReleaseMs;
}

}  // namespace eiderreel
