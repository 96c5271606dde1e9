// Predicates and estimates derived from the state of a machine.
#include "scheduler/scheduled_machine.h"

#include <algorithm>

#include "constants.h"
#include "scheduler/scheduled_job.h"

namespace eiderreel {

bool ScheduledMachine::schedulable(Ms now) const {
  return reconciled && heartbeat_received && !lease_expired && !transferring && type != nullptr &&
         !reclaim_at && quarantine_until <= now && unknown_tasks == 0;
}

FillLevel ScheduledMachine::fill_level() const {
  if (service_cpus > 0) return FillLevel::services;
  if (tasks.empty()) return FillLevel::idle;
  return type && used.cpus * 2 < type->cpus ? FillLevel::below_half : FillLevel::at_least_half;
}

// Without this headroom, array tasks would use the room beside services, and the next service would
// have to preempt them.
double ScheduledMachine::service_headroom_cpus() const {
  if (service_cpus <= 0 || !type) return 0;
  const double max_reserved_cpus = type->cpus * constants::kMaxServiceHeadroomShare;
  return largest_service_cpus <= max_reserved_cpus
             ? std::min(max_reserved_cpus,
                        constants::kServiceHeadroomReplicas * largest_service_cpus)
             : 0;
}

Ms ScheduledMachine::empty_at() const {
  Ms end = 0;
  for (const auto& [key, task] : tasks) end = std::max(end, task.estimated_end);
  return end;
}

Ms ScheduledMachine::arrays_end_at() const {
  Ms end = 0;
  for (const auto& [key, task] : tasks)
    if (!task.service) end = std::max(end, task.estimated_end);
  return end;
}

Ms ScheduledMachine::fetch_ms(const ScheduledJob& job) const {
  if (images.contains(job.image) || !type || type->fetch_gb_per_s <= 0) return 0;
  return static_cast<Ms>(job.spec.image_gb / type->fetch_gb_per_s * 1000);
}

}  // namespace eiderreel
