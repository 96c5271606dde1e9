// Adds up the machines of a partition.
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
  free_on_demand_ = {};
  free_spot_ = {};
  free_in_use_ = 0;
  total_cpus_ = 0;
  largest_machine_cpus_ = 0;
  with_image_.assign(images_.size(), 0.0);
  smallest_array_task_ = jobs_.smallest_array_task();
  for (const auto& [id, entry] : machines_) {
    const ScheduledMachine& machine = *entry;
    if (!machine.accepts_tasks(now)) continue;
    total_cpus_ += machine.type->cpus;
    largest_machine_cpus_ = std::max(largest_machine_cpus_, machine.type->cpus);
    const double usable = usable_free_cpus(machine);
    free_of_kind(machine.spot)[static_cast<std::size_t>(machine.fill_level())] += usable;
    if (!machine.consolidating) free_in_use_ += usable;
    if (usable <= 0) continue;
    for (const std::size_t image : machine.images) with_image_[image] += usable;
  }
}

void CapacityTotals::add_free(const ScheduledMachine& machine, double cpus) {
  free_of_kind(machine.spot)[static_cast<std::size_t>(machine.fill_level())] += cpus;
  if (!machine.consolidating) free_in_use_ += cpus;
}

void CapacityTotals::set_consolidating(ScheduledMachine& machine, bool consolidating) {
  machine.consolidating = consolidating;
  const double usable = usable_free_cpus(machine);
  free_in_use_ += consolidating ? -usable : usable;
}

double CapacityTotals::usable_free_cpus(const ScheduledMachine& machine) const {
  const double cpus =
      std::max(0.0, machine.type->cpus - machine.taken.cpus - machine.service_headroom());
  if (smallest_array_task_ <= 0) return cpus;
  return std::floor(cpus / smallest_array_task_ + kRounding) * smallest_array_task_;
}

double CapacityTotals::free_for(const ScheduledJob& job) const {
  double room = 0;
  for (std::size_t level = 0; level < kFillLevels; ++level)
    room += free_on_demand_[level] + (job.spec.spot ? free_spot_[level] : 0);
  return room;
}

double CapacityTotals::free_on_fuller_machines(const ScheduledMachine& machine,
                                               const ScheduledJob& job) const {
  const auto own_level = static_cast<std::size_t>(machine.fill_level());
  double room = 0;
  for (std::size_t level = 0; level < kFillLevels; ++level) {
    const bool fuller = level > own_level;
    if (fuller) room += free_on_demand_[level];
    // Where cost saving pays, spot machines are filled before dearer ones.
    if (job.spec.spot && (fuller || (!machine.spot && cost_saving()))) room += free_spot_[level];
  }
  return room;
}

bool CapacityTotals::free_with_image(const ScheduledJob& job) const {
  return job.image < with_image_.size() && with_image_[job.image] >= job.spec.cpus;
}

bool CapacityTotals::cost_saving() const {
  return jobs_.slack_s() >= constants::kCostSavingBootFactor * machines_.longest_boot_s();
}

Ms CapacityTotals::idle_keep_ms() const {
  return cost_saving() ? constants::kIdleReleaseMs : constants::kShortSlackIdleReleaseMs;
}

}  // namespace eiderreel
