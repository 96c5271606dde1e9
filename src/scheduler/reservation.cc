// The reservation of a machine for a starved job.
#include "scheduler/reservation.h"

#include "constants.h"
#include "scheduler/machine_pool.h"
#include "scheduler/resources.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/scheduled_machine.h"

namespace eiderreel {

void Reservation::update(const ScheduledMachine& machine, const UnreconciledMachines& unreconciled,
                         Ms now) {
  if (held_ && !still_needed(now)) held_.reset();
  if (held_) return;
  // By then every machine has sent a heartbeat since the job starves.
  const Ms after = constants::kStarvationAgeMs + policy_.heartbeat_round_ms();
  for (const ScheduledJob* job : jobs_.waiting()) {
    if (!job->starved || now - job->ready < after ||
        !rules_.may_start(machine, *job, unreconciled, now) ||
        rules_.fits(machine, *job, unreconciled))
      continue;
    const Resources services{machine.service_cpus, 0, 0};
    if (!rules_.fits_beside(services, machine, *job, unreconciled)) continue;
    held_ = Held{machine.id, job->spec.id};
    return;
  }
}

bool Reservation::still_needed(Ms now) const {
  const ScheduledJob* job = jobs_.find(held_->job);
  const ScheduledMachine* machine = machines_.find(held_->machine);
  return job != nullptr && job->starved && !job->finalizing && machine != nullptr &&
         machine->schedulable(now);
}

bool Reservation::admits(const ScheduledMachine& machine, const ScheduledJob& job) const {
  return !held_ || machine.id != held_->machine || job.spec.id == held_->job || job.is_service();
}

void Reservation::job_started(const ScheduledJob& job) {
  if (held_ && held_->job == job.spec.id) held_.reset();
}

}  // namespace eiderreel
