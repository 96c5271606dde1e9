// What a machine's state says of the work that it may take.
#include "scheduler/scheduled_machine.h"

#include <algorithm>

#include "constants.h"
#include "scheduler/scheduled_job.h"

namespace eiderreel {

bool ScheduledMachine::schedulable(Ms now) const {
  return reconciled && heartbeat_received && !lease_expired && !transferring && type != nullptr &&
         !taken_at && quarantine_until <= now && unknown_tasks == 0;
}

FillLevel ScheduledMachine::fill_level() const {
  if (service_cpus > 0) return FillLevel::services;
  if (tasks.empty()) return FillLevel::idle;
  return type && taken.cpus * 2 < type->cpus ? FillLevel::emptier : FillLevel::fuller;
}

// Without this room arrays would take what a service leaves, and the next service would have to
// preempt them.
double ScheduledMachine::service_headroom() const {
  if (service_cpus <= 0 || !type) return 0;
  const double most = type->cpus * constants::kMaxServiceHeadroomShare;
  return service_size <= most ? std::min(most, constants::kServiceHeadroomReplicas * service_size)
                              : 0;
}

Ms ScheduledMachine::empty_at() const {
  Ms end = 0;
  for (const auto& [key, task] : tasks) end = std::max(end, task.ends);
  return end;
}

Ms ScheduledMachine::arrays_end() const {
  Ms end = 0;
  for (const auto& [key, task] : tasks)
    if (!task.service) end = std::max(end, task.ends);
  return end;
}

Ms ScheduledMachine::fetch_ms(const ScheduledJob& job) const {
  if (images.contains(job.image) || !type || type->fetch_gb_per_s <= 0) return 0;
  return static_cast<Ms>(job.spec.image_gb / type->fetch_gb_per_s * 1000);
}

}  // namespace eiderreel
